package declared_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/declared"
)

// In whatever order versions are committed, the highest one must be in force with the content of its first commit, and a
// restored snapshot must give the same state.
func TestHighestVersionHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := declared.New(nil)
		first := map[uint64]string{}
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			version := rapid.Uint64Range(1, 6).Draw(t, "version")
			content := rapid.StringN(0, 4, 8).Draw(t, "content")
			m.Apply(1, time.Unix(0, 0), declared.Command(version, []byte(content)))
			if version > highest {
				highest, first[version] = version, content
			}
			latest, got := m.Latest()
			if latest != highest || string(got) != first[highest] {
				t.Fatalf("version %d %q is in force, want %d %q", latest, got, highest, first[highest])
			}
		}
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := declared.New(nil)
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if v, c := restored.Latest(); v != highest || string(c) != first[highest] {
			t.Fatalf("restored %d %q", v, c)
		}
	})
}

// Malformed commands and snapshots must change nothing, and the empty first snapshot of a log must not count as a declaration.
func TestDamagedInput(t *testing.T) {
	g := gomega.NewWithT(t)
	changes := 0
	m := declared.New(func(uint64) { changes++ })
	g.Expect(m.Apply(1, time.Unix(0, 0), []byte("short"))).To(gomega.BeNil())
	g.Expect(m.Restore(nil)).To(gomega.Succeed())
	g.Expect(m.Restore([]byte("short"))).NotTo(gomega.Succeed())
	version, _ := m.Latest()
	g.Expect(version).To(gomega.BeZero())
	g.Expect(changes).To(gomega.BeZero())
}

// Unpack must return the packed content byte for byte, and an error for damaged input or a decompression bomb.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := []byte(rapid.String().Draw(t, "content"))
		packed, err := declared.Pack(content)
		if err != nil {
			t.Fatal(err)
		}
		got, err := declared.Unpack(packed)
		if err != nil || string(got) != string(content) {
			t.Fatalf("%q came back as %q, error %v", content, got, err)
		}
	})
	g := gomega.NewWithT(t)
	packed, err := declared.Pack(make([]byte, 64<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = declared.Unpack(packed)
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = declared.Unpack(packed[:len(packed)/2])
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = declared.Unpack([]byte("no packed declaration"))
	g.Expect(err).To(gomega.HaveOccurred())
}
