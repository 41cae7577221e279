package roster

import (
	"context"
	"net"
	"net/netip"
	"slices"
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
	Current     bool // the control VM hears the leader of its group
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
	// Flows makes the flow report to a control VM, or, if the address is not valid, to several; it may return nil. Answered
	// gets the answers to it. Both are nil if this process does not report flows.
	Flows    func(to netip.AddrPort) *pb.FlowReport
	Answered func(from netip.AddrPort, response *pb.SyncResponse)
	// Dial opens connections; net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NearerAfter is how long a control VM in another failure domain is used before one in this domain is tried; nearerAfter
	// if 0.
	NearerAfter time.Duration
}

// Client reports the record of this process to one control VM and fetches the roster and the declaration from it. It
// moves to another one after a failure or when the present one does not hear the leader of its group.
type Client struct {
	cfg  ClientConfig
	wake chan struct{}
	came chan netip.AddrPort // control VMs that have started, while none is in use

	connecting sync.Mutex               // held by connect
	tried      map[netip.AddrPort]*link // open links to control VMs that do not hear a leader; guarded by connecting

	mu       sync.Mutex
	seeds    []netip.AddrPort
	known    []netip.AddrPort // control VMs of the last roster, nearest first
	near     []netip.AddrPort // of them, those in the failure domain of this process
	moveAt   time.Time        // when one of them is tried
	invited  []netip.AddrPort // control VMs that have started since one was in use
	link     *link            // to the control VM in use; nil while there is none
	lost     bool             // a control VM was in use before
	attempts int              // to connect since the last success
	last     []Record         // of the last settled roster
	lastAt   time.Time        // when it arrived
	teach    bool             // the control VM in use has just started
	roster   replica          // what was told, as of the last answer
	settled  bool             // the last answer was complete
	records  int              // in the last answer
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	if cfg.NearerAfter == 0 {
		cfg.NearerAfter = nearerAfter
	}
	return &Client{cfg: cfg, seeds: cfg.Seeds, wake: make(chan struct{}, 1), came: make(chan netip.AddrPort, maxInvited), tried: map[netip.AddrPort]*link{}}
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
	out := slices.Clone(c.known)
	for _, at := range slices.Concat(c.invited, c.seeds) {
		if !slices.Contains(out, at) {
			out = append(out, at)
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
		reached := c.Report(ctx)
		timer.Reset(c.pause(reached))
	}
}

// retryInterval is the pause before control VMs are asked again, while none is in use or there is no declaration yet.
const retryInterval = 50 * time.Millisecond

// Pauses while the roster is not settled: new flows and resets wait for the news.
const (
	unsettledPause = 50 * time.Millisecond
	// unsettledPerRecord bounds what the answers cost: a record takes about 60 bytes, so a process fetches 60 KB a second.
	unsettledPerRecord = time.Millisecond
)

// unsettledInterval is the time between two reports or exchanges while a roster of n records is not settled.
func unsettledInterval(n int) time.Duration {
	return min(Interval, max(unsettledPause, time.Duration(n)*unsettledPerRecord))
}

// pause returns the time until the next report.
func (c *Client) pause(reached bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !reached || c.cfg.Held() == 0:
		return retryInterval
	case !c.settled:
		return unsettledInterval(c.records)
	default:
		return Interval
	}
}

// Report makes one call and reports whether it reached a control VM that hears its leader. Without a control VM in use, it
// asks all that are known at once: some of them may be down, and each of those would cost a whole timeout.
func (c *Client) Report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	link := c.link
	c.mu.Unlock()
	if link == nil {
		return c.connect(ctx)
	}
	response, err := link.client.Sync(ctx, c.request(link.at))
	if err != nil {
		c.leave("call_failed", err)
		return false
	}
	c.accept(link.at, response)
	if !response.GetCurrent() {
		c.leave("no_leader_heard", nil)
		return false
	}
	c.moveNearer(ctx)
	return true
}

func (c *Client) request(to netip.AddrPort) *pb.SyncRequest {
	request := &pb.SyncRequest{Self: ToWire(c.cfg.Self()), Declared: c.cfg.Held(), Known: c.lesson()}
	if c.cfg.Flows != nil {
		request.Flows = c.cfg.Flows(to)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Feed, request.Position = c.roster.position.Feed, c.roster.position.Change
	return request
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
	v := View{Settled: response.GetSettled(), Quiet: response.GetQuiet(), Current: response.GetCurrent(), Version: response.GetDeclared(), Declaration: response.GetDeclaration(), From: at}
	c.mu.Lock()
	applied := c.roster.apply(time.Now(), response)
	v.Records = c.roster.list(time.Now())
	used := c.link != nil && c.link.at == at
	c.mu.Unlock()
	if !applied {
		if used {
			c.Wake() // for the whole roster; without a control VM in use the next attempt is near
		}
		return
	}
	var controls []Record
	for _, r := range v.Records {
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
	c.settled, c.records = v.Settled, len(v.Records)
	c.teach = !v.Settled && len(c.last) > 0
	if v.Settled {
		c.last, c.lastAt = v.Records, time.Now()
	}
	c.known, c.near = c.known[:0], c.near[:0]
	for _, r := range controls {
		c.known = append(c.known, netip.AddrPortFrom(r.Address, c.cfg.RPCPort))
		if r.FailureDomain == c.cfg.Domain && missedReports(r.Age) == 0 {
			c.near = append(c.near, netip.AddrPortFrom(r.Address, c.cfg.RPCPort))
		}
	}
	c.mu.Unlock()
	c.cfg.Update(v)
	if c.cfg.Answered != nil {
		c.cfg.Answered(at, response)
	}
}

// leave gives up the control VM in use.
func (c *Client) leave(reason string, err error) {
	c.mu.Lock()
	l := c.link
	c.link, c.lost = nil, true
	c.mu.Unlock()
	l.close()
	_ = c.cfg.Logger.Log("event", "control_lost", "control", l.at, "reason", reason, "error", err)
}
