package agent_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/standin/caller"
)

// testTimeout limits every wait in the tests. It is far longer than a run needs, so that the tests pass on a busy
// machine.
const testTimeout = 60 * time.Second

// openLines opens count connections to the line service at the same time. Each request waits for its answer at most for
// the given time.
func openLines(t testing.TB, host *caller.Host, count int, wait time.Duration) []*caller.Terminal {
	t.Helper()
	flows := make([]*caller.Terminal, count)
	forEachConcurrently(count, func(i int) {
		f, err := host.OpenTerminal(linesAddr, wait)
		if err != nil {
			t.Errorf("open flow %d: %v", i, err)
		}
		flows[i] = f
	})
	NewWithT(t).Expect(t.Failed()).To(BeFalse(), "all flows open")
	return flows
}

// checkAll expects every flow to still reach the upstream that it was opened with.
func checkAll(t testing.TB, flows []*caller.Terminal) {
	t.Helper()
	forEachConcurrently(len(flows), func(i int) {
		if err := flows[i].Check(); err != nil {
			t.Error(err)
		}
	})
	NewWithT(t).Expect(t.Failed()).To(BeFalse(), "all flows work")
}

// forEachConcurrently runs f for 0 to count-1 at the same time and waits for all calls.
func forEachConcurrently(count int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// countByServer counts flows by upstream.
func countByServer(flows []*caller.Terminal) map[string]int {
	count := map[string]int{}
	for _, f := range flows {
		count[f.Server]++
	}
	return count
}
