package agent_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/standin/caller"
)

// patience bounds every wait in the tests. It is far above what a run needs, so that a busy machine does not fail it.
const patience = 60 * time.Second

// openLines opens count connections to the line service.
func openLines(t testing.TB, host *caller.Host, count int, wait time.Duration) []*caller.Terminal {
	t.Helper()
	flows := make([]*caller.Terminal, count)
	each(count, func(i int) {
		f, err := host.OpenTerminal(linesAddr, wait)
		if err != nil {
			t.Errorf("open flow %d: %v", i, err)
		}
		flows[i] = f
	})
	NewWithT(t).Expect(t.Failed()).To(BeFalse(), "all flows open")
	return flows
}

// checkAll expects every flow to work with its first upstream.
func checkAll(t testing.TB, flows []*caller.Terminal) {
	t.Helper()
	each(len(flows), func(i int) {
		if err := flows[i].Check(); err != nil {
			t.Error(err)
		}
	})
	NewWithT(t).Expect(t.Failed()).To(BeFalse(), "all flows work")
}

// each runs f for 0 to count-1 at once.
func each(count int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// byServer counts flows by upstream.
func byServer(flows []*caller.Terminal) map[string]int {
	count := map[string]int{}
	for _, f := range flows {
		count[f.Server]++
	}
	return count
}
