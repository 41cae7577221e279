package daemon

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Guards against a scrape that omits a result code's count or exports it under another code.
var _ = It("exports counts by result code", func() {
	registry := prometheus.NewRegistry()
	registry.MustRegister(newCodeCollector("agent", "ended_flows_total", "help", func() map[result.Code]uint64 {
		return map[result.Code]uint64{result.OK: 7, result.FlowSilent: 2}
	}))
	want := `
# HELP plantainseam_agent_ended_flows_total help
# TYPE plantainseam_agent_ended_flows_total counter
plantainseam_agent_ended_flows_total{code="0",result="ok"} 7
plantainseam_agent_ended_flows_total{code="2108",result="flow-silent"} 2
`
	Expect(testutil.GatherAndCompare(registry, strings.NewReader(want))).To(Succeed())
})
