package main

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

const finished = `{"id":"%","cmd":"score","at":["2026-12-04T10:0%:00Z"],"site":"s","score":0.%,"days":[{"name":"quiet-1","G":0.8},{"name":"fresh-%","G":0.1}]}`

// A run that did not finish, or another command, must not appear as a low score; days that were drawn for one run only have
// no line; and there must be a picture to look at.
func TestRunDrawsWholeRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	journal, out := t.TempDir(), filepath.Join(t.TempDir(), "plots")
	write := func(name, content string) {
		g.Expect(os.WriteFile(filepath.Join(journal, name), []byte(content), 0o600)).To(gomega.Succeed())
	}
	for _, n := range []string{"2", "1"} {
		write(n+".json", string(bytes.ReplaceAll([]byte(finished), []byte("%"), []byte(n))))
	}
	write("3.json", `{"cmd":"score","at":["2026-12-04T10:03:00Z"],"site":"s","score":null,"error":"the run did not finish"}`)
	write("4.json", `{"cmd":"hunt","at":["2026-12-04T10:04:00Z"],"site":"s","score":0.9}`)
	sites, err := read(journal)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sites["s"]).To(gomega.HaveLen(2))
	g.Expect(sites["s"][0].score).To(gomega.Equal(0.1))
	g.Expect(standard(sites["s"])).To(gomega.Equal([]string{"quiet-1"}))
	var text bytes.Buffer
	g.Expect(run(options{Journal: journal, Out: out}, &text)).To(gomega.Succeed())
	picture, err := os.Open(filepath.Join(out, "s.png"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = picture.Close() }()
	_, err = png.Decode(picture)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// An empty journal is a fault of the call, not an empty page.
func TestRunWithoutEntries(t *testing.T) {
	gomega.NewWithT(t).Expect(run(options{Journal: t.TempDir(), Out: t.TempDir()}, new(bytes.Buffer))).NotTo(gomega.Succeed())
}
