package agent_test

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"

	"github.com/plantainseam/plantainseam/standin/caller"
)

// patience bounds every wait in the tests. It is far above what a run needs, so that a busy machine does not fail it.
const patience = 60 * time.Second

// lineFlow is an open connection of a caller to the line service.
type lineFlow struct {
	conn   *gonet.TCPConn
	in     *bufio.Reader
	server string // upstream that answered first
	sent   int
	wait   time.Duration // for an answer
}

// dialLines opens a connection and learns which upstream serves it.
func dialLines(host *caller.Host, to netip.AddrPort) (*lineFlow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	conn, err := host.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	f := &lineFlow{conn: conn, in: bufio.NewReader(conn), wait: patience}
	server, err := f.ask()
	f.server = server
	return f, err
}

// ask sends one line and returns the server that answered it.
func (f *lineFlow) ask() (string, error) {
	f.sent++
	line := fmt.Sprintf("line-%d", f.sent)
	_ = f.conn.SetDeadline(time.Now().Add(f.wait))
	if _, err := fmt.Fprintln(f.conn, line); err != nil {
		return "", err
	}
	answer, err := f.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	server, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
	if rest != line {
		return "", fmt.Errorf("answer %q to line %q", answer, line)
	}
	return server, nil
}

// check asks once more and expects the same upstream.
func (f *lineFlow) check() error {
	server, err := f.ask()
	if err != nil {
		return fmt.Errorf("flow %s of %s: %w", f.conn.LocalAddr(), f.server, err)
	}
	if server != f.server {
		return fmt.Errorf("flow of %s was answered by %s", f.server, server)
	}
	return nil
}

// caller is the flow's source address.
func (f *lineFlow) caller() netip.AddrPort {
	return netip.MustParseAddrPort(f.conn.LocalAddr().String())
}

// openLines opens count connections.
func openLines(t testing.TB, host *caller.Host, count int) []*lineFlow {
	t.Helper()
	g := NewWithT(t)
	flows := make([]*lineFlow, count)
	each(count, func(i int) {
		f, err := dialLines(host, linesAddr)
		if err != nil {
			t.Errorf("open flow %d: %v", i, err)
			return
		}
		flows[i] = f
	})
	g.Expect(t.Failed()).To(BeFalse(), "all flows open")
	return flows
}

// checkAll expects every flow to work with its first upstream.
func checkAll(t testing.TB, flows []*lineFlow) {
	t.Helper()
	each(len(flows), func(i int) {
		if err := flows[i].check(); err != nil {
			t.Error(err)
		}
	})
	if t.Failed() {
		t.FailNow()
	}
}

// each runs f for 0 to count-1 at once.
func each(count int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}

// byServer counts flows by upstream.
func byServer(flows []*lineFlow) map[string]int {
	count := map[string]int{}
	for _, f := range flows {
		count[f.server]++
	}
	return count
}
