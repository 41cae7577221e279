package main

import (
	"net/netip"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/explain"
	"github.com/plantainseam/plantainseam/platform/standin"
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
// kinds of failure that docs/OPERATIONS.md walks through.
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

	front := standin.Front(s.site.Host(images.machine).Service)
	for _, c := range []struct {
		name, kind, cause string
		fail, repair      func()
	}{
		{"request ran into its time limit", "timed out", "overloaded, stuck or gone",
			func() { s.site.Host(images.machine).Hang(true) }, func() { s.site.Host(images.machine).Hang(false) }},
		{"agent was lost", "reset", "down, frozen or cut off",
			func() { images.signal(syscall.SIGSTOP) }, func() { images.signal(syscall.SIGCONT) }},
		{"request was refused", "refused", "no upstream took the flow",
			func() { s.site.Host(images.machine).Drain() }, func() { replace(g, s.site, images.machine) }},
		// The new upstream returns the packets of the flows of the old one, if that held any.
		{"upstream was replaced", "reset", "has ended or was replaced",
			func() { replace(g, s.site, images.machine) }, func() {}},
	} {
		var ids []string
		g.Eventually(func() []string {
			c.repair()
			serves(g, s.site.Host(images.machine))
			c.fail()
			failed := time.Now() // what was sent before may have failed for another reason
			time.Sleep(lookInterval)
			ids = failuresSince(watch.Failures(c.kind), front, failed)
			return ids
		}, patience).ShouldNot(gomega.BeEmpty(), c.name)
		id := ids[0]
		g.Eventually(func() string {
			lines, err := explain.Read(folder)
			if err != nil {
				return err.Error()
			}
			return explain.Cause(explain.FlowTimeline(lines, id), id)
		}, patience).Should(gomega.ContainSubstring(c.cause), "%s: flow %s", c.name, id)
		c.repair()
	}
}

// serves waits until callers hold flows to the host and are answered there.
func serves(g *gomega.WithT, h *standin.Host) {
	before := h.Answered()
	g.Eventually(h.Answered, patience).Should(gomega.BeNumerically(">", before+10))
}

// lookInterval is how long a cause of failures lasts before failures are looked for: longer than callers wait for an answer
// (3 s).
const lookInterval = 4 * time.Second

// replace ends the upstream of a machine and starts a new one.
func replace(g *gomega.WithT, s *standin.Site, m *standin.Machine) {
	s.Host(m).Stop()
	g.Expect(s.StartHost(m)).To(gomega.Succeed())
}

// failuresSince returns the ids of the flows to a front address that failed with a request sent after a time.
func failuresSince(all []standin.Failure, front netip.AddrPort, after time.Time) []string {
	var out []string
	for _, f := range all {
		if f.Front == front && f.Began.After(after) {
			out = append(out, f.Caller.String())
		}
	}
	return out
}
