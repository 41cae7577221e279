package durable_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Guards against a replaced file that keeps part of its old content, and against a leftover temporary file.
func TestWriteFileReplaces(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "f")
	g.Expect(durable.WriteFile(path, []byte("a long first content"))).To(gomega.Succeed())
	g.Expect(durable.WriteFile(path, []byte("second"))).To(gomega.Succeed())
	g.Expect(os.ReadFile(path)).To(gomega.Equal([]byte("second")))
	g.Expect(filepath.Glob(path + "*")).To(gomega.Equal([]string{path}))
}

// Guards against a process that uses a corrupt file: a change of any byte and a truncation at any length are detected.
func TestReadCheckedNoticesDamage(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "f")
	_, err := durable.ReadChecked(path, "MAGIC1")
	g.Expect(errors.Is(err, fs.ErrNotExist)).To(gomega.BeTrue())
	g.Expect(durable.WriteChecked(path, "MAGIC1", []byte("body"))).To(gomega.Succeed())
	g.Expect(durable.ReadChecked(path, "MAGIC1")).To(gomega.Equal([]byte("body")))
	intact, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range intact {
		damaged := append([]byte(nil), intact...)
		damaged[i] ^= 1
		g.Expect(os.WriteFile(path, damaged, 0o600)).To(gomega.Succeed())
		_, err := durable.ReadChecked(path, "MAGIC1")
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StoreCorrupt), "byte %d", i)
		g.Expect(os.WriteFile(path, intact[:i], 0o600)).To(gomega.Succeed())
		_, err = durable.ReadChecked(path, "MAGIC1")
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StoreCorrupt), "truncated to %d bytes", i)
	}
}
