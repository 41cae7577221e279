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

// Guards against a timeline or cause that cannot be derived from the logs and the id of a flow alone.
func TestExplain(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	for name, content := range map[string]string{"e1.log": entryLog, "a1.log": agentLog} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(gomega.Succeed())
	}
	lines, err := explain.Read(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	timeline := explain.FlowTimeline(lines, "100.64.0.7:1043")
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

// Guards against an unknown id or an empty folder that is shown as a flow without faults.
func TestNothingFound(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := explain.Read(t.TempDir())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(explain.Cause(nil, "1.2.3.4:5")).To(gomega.ContainSubstring("no line names this flow"))
}

// Guards against a stopped agent that is explained as a slow upstream. A caller sends its last retransmission 1.4 s after
// the first packet; if the agent had reported shortly before, only a silence logged later tells the two apart.
func TestSilenceLoggedAfterLastRetransmission(t *testing.T) {
	unanswered := `time=2026-05-21T17:00:04.4Z node=e1 event=flow_unanswered flow=100.64.0.7:1043>198.18.0.1:443 agent=10.1.0.2:8000 age_ms=1100
`
	for name, c := range map[string]struct{ line, cause string }{
		"the agent stopped reporting": {
			"time=2026-05-21T17:00:09.0Z node=e1 event=agent_silent agent=10.1.0.2:8000 age_ms=5700", "did not report from 17:00:03.300"},
		"another agent was silent": {
			"time=2026-05-21T17:00:05.4Z node=e1 event=agent_silent agent=10.1.0.3:8000 age_ms=2100", "overloaded, stuck or gone"},
		"the agent reported again before": {
			"time=2026-05-21T17:00:04.1Z node=e1 event=agent_silent agent=10.1.0.2:8000 age_ms=2100", "overloaded, stuck or gone"},
		"the agent reported again and was silent later": {
			"time=2026-05-21T17:00:07.0Z node=e1 event=agent_silent agent=10.1.0.2:8000 age_ms=2100", "overloaded, stuck or gone"},
		"the age cannot be read": {
			"time=2026-05-21T17:00:05.4Z node=e1 event=agent_silent agent=10.1.0.2:8000 age_ms=?", "overloaded, stuck or gone"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := t.TempDir()
			g.Expect(os.WriteFile(filepath.Join(dir, "e1.log"), []byte(unanswered+c.line+"\n"), 0o600)).To(gomega.Succeed())
			lines, err := explain.Read(dir)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			id := "100.64.0.7:1043"
			g.Expect(explain.Cause(explain.FlowTimeline(lines, id), id)).To(gomega.ContainSubstring(c.cause))
		})
	}
}

// Guards against a reset by the agent of a restarted upstream that is explained by the line that opened the flow.
func TestResetByAgentOfRestartedUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	log := `time=2026-05-21T17:00:02Z node=a1 event=flow_opened flow=100.64.0.7:1043>198.18.0.1:443 flows=1
time=2026-05-21T17:00:09Z node=a1 event=flow_refused flow=100.64.0.7:1043>198.18.0.1:443 reason=upstream_started_anew reset=true
`
	g.Expect(os.WriteFile(filepath.Join(dir, "a1.log"), []byte(log), 0o600)).To(gomega.Succeed())
	lines, err := explain.Read(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	id := "100.64.0.7:1043"
	g.Expect(explain.Cause(explain.FlowTimeline(lines, id), id)).To(gomega.ContainSubstring("has ended or was replaced"))
}
