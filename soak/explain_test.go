package main

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/explain"
)

// patience bounds each wait for the real processes; only a run that hangs takes as long.
const patience = time.Minute

// startSite runs the real programs of a small site in a folder, with one agent for the second service.
func startSite(t *testing.T, network byte) (*soak, string) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	daemon := filepath.Join(t.TempDir(), "plantainseamd")
	build := exec.Command("go", "build", "-o", daemon, "../cmd/plantainseamd")
	out, err := build.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	s, err := newSoak(options{Seed: 1, Edges: 2, Sides: 3, Cores: 3, Callers: 4, Network: network, Daemon: daemon}, folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.end)
	g.Expect(s.surround()).To(gomega.Succeed())
	return s, folder
}

// An engineer who has only the logs of the real processes must get from the id of a failed request to its cause, for the
// three kinds of failure that docs/OPERATIONS.md walks through.
func TestExplainFailuresOfRealProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	s, folder := startSite(t, 91)
	var images *process // the only agent of the second service
	for _, m := range s.site.Machines {
		if m.Name == "side-3" {
			images = s.processes[m.Name]
		}
	}
	watch := s.site.Watch
	g.Eventually(func() int { return watch.Counts()["answered"] }, patience).Should(gomega.BeNumerically(">", 100))

	for _, c := range []struct {
		name, kind, cause string
		fail, repair      func()
	}{
		{"request ran into its time limit", "timed out", "down, frozen or cut off",
			func() { images.signal(syscall.SIGSTOP) }, func() { images.signal(syscall.SIGCONT) }},
		{"request was refused", "refused", "no upstream took the flow",
			func() { s.site.Host(images.machine).Drain() }, func() {}},
		{"upstream was replaced", "reset", "has ended or was replaced",
			func() { s.site.Host(images.machine).Stop() }, func() { _ = s.site.StartHost(images.machine) }},
	} {
		before := len(watch.Failures(c.kind))
		c.fail()
		if c.kind == "reset" {
			c.repair() // the new upstream returns the packets of the old one's flows
		}
		g.Eventually(func() int { return len(watch.Failures(c.kind)) }, patience).Should(gomega.BeNumerically(">", before), c.name)
		if c.kind != "reset" {
			c.repair()
		}
		id := watch.Failures(c.kind)[before].String()
		g.Eventually(func() string {
			lines, err := explain.Read(folder)
			if err != nil {
				return err.Error()
			}
			return explain.Cause(explain.Flow(lines, id), id)
		}, patience).Should(gomega.ContainSubstring(c.cause), "%s: flow %s", c.name, id)
	}
}
