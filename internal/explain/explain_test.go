package explain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/explain"
)

const entryLog = `time=2026-05-21T17:00:01Z node=e1 event=declaration_in_force version=7 routes=2
time=2026-05-21T17:00:02Z node=e1 event=flow_placed flow=100.64.0.7:1043>198.18.0.1:443 agent=10.1.0.2:8000 load=0.3 version=7
panic: something else
  36.1 e1 time=2026-05-21T17:00:09Z node=e1 event=flow_searched flow=100.64.0.7:1043>198.18.0.1:443 opens=false reason=search
time=2026-05-21T17:00:02Z node=e1 event=flow_placed flow=100.64.0.7:10431>198.18.0.1:443 agent=10.1.0.3:8000
`

const agentLog = `time=2026-05-21T17:00:02.004Z node=a1 event=flow_opened flow=100.64.0.7:1043>198.18.0.1:443 flows=1
time=2026-05-21T17:00:08Z node=a1 event=upstream_announced upstream=i-2 outcome=restarted
time=2026-05-21T17:00:09.005Z node=a1 event=flow_refused flow=100.64.0.7:1043>198.18.0.1:443 reason=held_nowhere reset=true
`

// An engineer who has only the logs must get from the id of a flow to the cause of its end.
func TestExplain(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	for name, content := range map[string]string{"e1.log": entryLog, "a1.log": agentLog} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(gomega.Succeed())
	}
	lines, err := explain.Read(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	timeline := explain.Flow(lines, "100.64.0.7:1043")
	var events []string
	for _, l := range timeline {
		events = append(events, l.Event)
	}
	g.Expect(events).To(gomega.Equal([]string{"declaration_in_force", "flow_placed", "flow_opened", "upstream_announced",
		"flow_searched", "flow_refused"}))
	g.Expect(explain.Cause(timeline, "100.64.0.7:1043")).To(gomega.ContainSubstring("has ended or was replaced"))
	var out bytes.Buffer
	g.Expect(explain.Write(&out, timeline)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("8.0050  a1"))
}

// An unknown id or an empty folder must be said, not shown as a flow without faults.
func TestNothingFound(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := explain.Read(t.TempDir())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(explain.Cause(nil, "1.2.3.4:5")).To(gomega.ContainSubstring("no line names this flow"))
}
