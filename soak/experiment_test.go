package main

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A description with a slip must be refused with the name of the field, not played as something else.
func TestReadExperiment(t *testing.T) {
	good := "name: n\nparameter: callers\nvalues: [1, 2]\nseconds: 1\nedges: 1\nsides: 3\ncores: 1\ncallers: 1\n"
	for _, c := range []struct{ name, content, fault string }{
		{"good", good, ""},
		{"unknown field", good + "speed: 3\n", "speed"},
		{"no such parameter", "name: n\nparameter: speed\nvalues: [1]\nseconds: 1\n", "parameter"},
		{"no values", "name: n\nparameter: callers\nseconds: 1\n", "values"},
		{"no agents", "name: n\nparameter: sides\nvalues: [3, 0]\nseconds: 1\nedges: 1\ncores: 1\ncallers: 1\n", "sides = 0"},
		{"too many processes", "name: n\nparameter: sides\nvalues: [300]\nseconds: 1\nedges: 1\ncores: 1\ncallers: 1\n", "at most"},
		{"more failing upstreams than there are", "name: n\nparameter: failing\nvalues: [4]\nseconds: 1\nedges: 1\nsides: 3\ncores: 1\ncallers: 1\n", "failing = 4"},
		{"name with a folder", "name: ../n\nparameter: callers\nvalues: [1]\nseconds: 1\n", "name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "e.yaml")
			g.Expect(os.WriteFile(path, []byte(c.content), 0o600)).To(gomega.Succeed())
			_, err := readExperiment(path)
			if c.fault == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.fault)))
		})
	}
}

// The table and the picture must hold what was measured.
func TestExperimentResults(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &experiment{Name: "n", Parameter: "callers"}
	outcomes := []outcome{
		{value: 2, perS: 10.25, p50: 5 * time.Millisecond, p99: 50 * time.Millisecond, ratio: 1.04, failed: 3},
		{value: 4, perS: 20, p50: 6 * time.Millisecond, p99: 60 * time.Millisecond, ratio: 1.1},
	}
	g.Expect(e.table(outcomes)).To(gomega.ContainSubstring("| 2 | 10.2 | 5.0 | 50.0 | 1.04 | 3 |\n| 4 | 20.0 | 6.0 | 60.0 | 1.10 | 0 |\n"))
	path := filepath.Join(t.TempDir(), "n.png")
	g.Expect(e.draw(outcomes, path)).To(gomega.Succeed())
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = png.Decode(bytes.NewReader(content))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sorted := []time.Duration{1, 2, 3, 4}
	g.Expect([]time.Duration{percentile(sorted, 50), percentile(sorted, 99), percentile(nil, 50)}).To(gomega.Equal([]time.Duration{3, 4, 0}))
}
