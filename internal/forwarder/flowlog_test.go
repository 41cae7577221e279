package forwarder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
)

// The log must show when an entry stops and resumes placing new flows on an agent that does not report, once for each
// change.
func TestSilenceOfAgentsIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	e, _, agent := newStartedEntry(t)
	var out bytes.Buffer
	e.cfg.Logger = log.NewLogfmtLogger(&out)
	for _, age := range []time.Duration{0, 1900, 2100, 2500, 300, 200} {
		agent.Age = age * time.Millisecond
		e.update(roster.View{Records: []roster.Record{agent}, Settled: true})
	}
	var lines []string
	for _, l := range strings.Split(out.String(), "\n") {
		if strings.HasPrefix(l, "event=agent_") {
			lines = append(lines, l)
		}
	}
	at := agent.Address.String()
	g.Expect(lines).To(gomega.HaveLen(2))
	g.Expect(lines[0]).To(gomega.And(gomega.HavePrefix("event=agent_silent agent="+at), gomega.HaveSuffix("age_ms=2100")))
	g.Expect(lines[1]).To(gomega.And(gomega.HavePrefix("event=agent_regained agent="+at), gomega.HaveSuffix("age_ms=300")))
}
