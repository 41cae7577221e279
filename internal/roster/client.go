package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// callTimeout bounds one call. A call crosses two failure domains in less than 20 ms; the rest is room for one TCP
// retransmission (200 ms) and a busy process.
const callTimeout = 500 * time.Millisecond

// View is what a process learns from a control VM.
type View struct {
	Records     []Record
	Settled     bool
	Quiet       bool
	Version     uint64
	Declaration []byte // set if newer than the one held
	From        netip.AddrPort
}

// ClientConfig holds what a client needs.
type ClientConfig struct {
	Seeds   []netip.AddrPort // RPC addresses of control VMs
	RPCPort uint16           // of every control VM
	Domain  string
	Self    func() Record
	Held    func() uint64 // version of the declaration in force
	Update  func(View)
	Logger  log.Logger
}

// Client reports the record of this process to one control VM and fetches the roster and the declaration from it. It
// moves to another one after a failure or when the present one does not hear the leader of its group.
type Client struct {
	cfg  ClientConfig
	wake chan struct{}

	mu       sync.Mutex
	seeds    []netip.AddrPort
	known    []netip.AddrPort // control VMs of the last roster, nearest first
	at       netip.AddrPort   // in use; zero before the first call
	client   pb.Roster
	closer   func()
	failures int
	failed   map[netip.AddrPort]time.Time
	last     []Record  // of the last settled roster
	lastAt   time.Time // when it arrived
	teach    bool      // the control VM in use has just started
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, seeds: cfg.Seeds, wake: make(chan struct{}, 1), failed: map[netip.AddrPort]time.Time{}}
}

// SetSeeds replaces the seeds after a reload.
func (c *Client) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Wake reports at once, because the record of this process has changed.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Controls returns the RPC addresses of all control VMs that this process knows, nearest first.
func (c *Client) Controls() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls()
}

func (c *Client) controls() []netip.AddrPort {
	out := append([]netip.AddrPort(nil), c.known...)
	for _, s := range c.seeds {
		found := false
		for _, k := range out {
			found = found || k == s
		}
		if !found {
			out = append(out, s)
		}
	}
	return out
}

// Run reports until ctx is done.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
		}
		wait := Interval
		if !c.Report(ctx) || c.cfg.Held() == 0 {
			wait = retryInterval
		}
		timer.Reset(wait)
	}
}

// retryInterval is the pause before another control VM is asked, or the same one for the first declaration.
const retryInterval = 50 * time.Millisecond

// Report makes one call and reports whether it reached a control VM that hears its leader.
func (c *Client) Report(ctx context.Context) bool {
	at, client := c.target()
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &pb.SyncRequest{Self: ToWire(c.cfg.Self()), Declared: c.cfg.Held(), Known: c.lesson()}
	response, err := client.Sync(ctx, request)
	if err != nil {
		c.leave(at, "call_failed", err)
		return false
	}
	c.accept(at, response)
	if !response.GetCurrent() {
		c.leave(at, "no_leader_heard", nil)
		return false
	}
	c.mu.Lock()
	regained := c.failures > 0
	c.failures = 0
	c.mu.Unlock()
	if regained {
		_ = c.cfg.Logger.Log("event", "control_regained", "control", at)
	}
	return true
}

// lesson returns what this process knows of others, for a control VM that has just started.
func (c *Client) lesson() []*pb.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.teach {
		return nil
	}
	passed := time.Since(c.lastAt)
	out := make([]*pb.Record, 0, len(c.last))
	for _, r := range c.last {
		r.Age += passed
		out = append(out, ToWire(r))
	}
	return out
}

func (c *Client) accept(at netip.AddrPort, response *pb.SyncResponse) {
	v := View{Settled: response.GetSettled(), Quiet: response.GetQuiet(), Version: response.GetDeclared(), Declaration: response.GetDeclaration(), From: at}
	var controls []Record
	for _, m := range response.GetRecords() {
		r := FromWire(m)
		v.Records = append(v.Records, r)
		if r.Kind == KindControl && !r.Leaving {
			controls = append(controls, r)
		}
	}
	sort.Slice(controls, func(i, j int) bool {
		a, b := controls[i], controls[j]
		if near := a.FailureDomain == c.cfg.Domain; near != (b.FailureDomain == c.cfg.Domain) {
			return near
		}
		return a.Address.Less(b.Address)
	})
	c.mu.Lock()
	c.teach = !v.Settled && len(c.last) > 0
	if v.Settled {
		c.last, c.lastAt = v.Records, time.Now()
	}
	c.known = c.known[:0]
	for _, r := range controls {
		c.known = append(c.known, netip.AddrPortFrom(r.Address, c.cfg.RPCPort))
	}
	c.mu.Unlock()
	c.cfg.Update(v)
}

// target returns the control VM to call.
func (c *Client) target() (netip.AddrPort, pb.Roster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.at, c.client
	}
	all := c.controls()
	if len(all) == 0 {
		return netip.AddrPort{}, nil
	}
	// The one that failed longest ago, or never, comes first.
	best := all[0]
	for _, a := range all[1:] {
		if c.failed[a].Before(c.failed[best]) {
			best = a
		}
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnection,
	}
	c.at = best
	c.client = pb.NewRosterProtobufClient("http://"+best.String(), &http.Client{Transport: transport})
	c.closer = transport.CloseIdleConnections
	return c.at, c.client
}

// idleConnection closes a connection that was left behind.
const idleConnection = 10 * time.Second

func (c *Client) leave(at netip.AddrPort, reason string, err error) {
	c.mu.Lock()
	first := c.failures == 0
	c.failures++
	if len(c.failed) > 64 {
		clear(c.failed)
	}
	c.failed[at] = time.Now()
	if c.closer != nil {
		c.closer()
	}
	c.client, c.closer = nil, nil
	c.mu.Unlock()
	if first {
		_ = c.cfg.Logger.Log("event", "control_lost", "control", at, "reason", reason, "error", err)
	}
}
