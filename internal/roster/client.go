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

// callTimeout bounds one call. A call between failure domains takes less than 20 ms; the rest allows for one TCP
// retransmission (200 ms) and a busy server process.
const callTimeout = 500 * time.Millisecond

// View is the roster and the declaration that a process received from a control VM.
type View struct {
	Records     []Record
	Settled     bool   // Records contains every live process
	Collecting  bool   // the control VM has just started and may not have heard every live process
	Quiet       bool   // new flows may be placed
	Current     bool   // the control VM hears the leader of its group
	Version     uint64 // of the newest declaration at the control VM
	Declaration []byte // set if newer than DeclaredVersion
	From        netip.AddrPort
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Seeds           []netip.AddrPort // RPC addresses of control VMs
	RPCPort         uint16           // RPC port of every control VM
	Domain          string           // failure domain of this process
	Self            func() Record
	DeclaredVersion func() uint64 // version of the declaration that this process holds
	Update          func(View)
	Logger          log.Logger
	// Flows returns the flow report for a control VM, or for several if the address is not valid; it may return nil.
	// OnResponse receives the responses. Both are nil if this process does not report flows.
	Flows      func(to netip.AddrPort) *pb.FlowReport
	OnResponse func(from netip.AddrPort, response *pb.SyncResponse)
	// Dial opens connections; net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NearerAfter is how long a control VM in another failure domain is used before one in this domain is tried. The
	// default is nearerAfter.
	NearerAfter time.Duration
}

// Client reports the record of this process to one control VM and fetches the roster and the declaration from it. It
// switches to another control VM after a failed call or when the current one does not hear the leader of its group.
type Client struct {
	cfg         ClientConfig
	wake        chan struct{}
	invitations chan netip.AddrPort // control VMs that invited this process while it used none

	connecting sync.Mutex               // held by connect
	triedLinks map[netip.AddrPort]*link // open links to control VMs that do not hear a leader; guarded by connecting

	mu               sync.Mutex
	seeds            []netip.AddrPort
	knownControls    []netip.AddrPort // control VMs in the last roster, those in this failure domain first
	localControls    []netip.AddrPort // control VMs in this failure domain that are not silent
	nextMoveAt       time.Time        // earliest time to switch to one of localControls
	invited          []netip.AddrPort // control VMs that invited this process since it last used one
	link             *link            // to the control VM in use; nil while there is none
	lostControl      bool             // the control VM in use before was given up
	connectAttempts  int              // attempts to connect since the last success
	settledRecords   []Record         // records of the last settled roster
	settledRecordsAt time.Time        // when settledRecords arrived
	sendKnown        bool             // the control VM collects records: reports carry settledRecords
	replica          replica          // roster as of the last response
	settled          bool             // the last response called its roster settled
	collecting       bool             // the last response came from a control VM that collects records
	recordCount      int              // number of records after the last response
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	if cfg.NearerAfter == 0 {
		cfg.NearerAfter = nearerAfter
	}
	return &Client{
		cfg: cfg, seeds: cfg.Seeds, wake: make(chan struct{}, 1), invitations: make(chan netip.AddrPort, maxInvited),
		triedLinks: map[netip.AddrPort]*link{},
	}
}

// SetSeeds replaces the seeds, for example after a configuration reload.
func (c *Client) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Wake makes Run report at once instead of at the next interval, for example after the record of this process changed.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Controls returns the RPC addresses of all known control VMs: those of the last roster, with the failure domain of this
// process first, then inviting control VMs and seeds.
func (c *Client) Controls() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls()
}

func (c *Client) controls() []netip.AddrPort {
	out := slices.Clone(c.knownControls)
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

// retryInterval is the time between reports while no control VM is in use or no declaration is known.
const retryInterval = 50 * time.Millisecond

// Report interval while the roster is not settled. It is short because new flows and resets wait for a settled roster.
const (
	minUnsettledInterval = 50 * time.Millisecond
	// unsettledPerRecord limits the calls to a control VM: 300 processes make 3,000 a second together, and each record of
	// 60 bytes crosses a few times until the roster is settled.
	unsettledPerRecord = time.Second / 3000
)

// unsettledInterval is the time between two reports or exchanges while a roster of n records is not settled.
func unsettledInterval(n int) time.Duration {
	return min(Interval, max(minUnsettledInterval, time.Duration(n)*unsettledPerRecord))
}

// pause returns the time until the next report.
func (c *Client) pause(reached bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !reached || c.cfg.DeclaredVersion() == 0:
		return retryInterval
	case c.collecting || !c.settled && c.settledRecordsAt.IsZero():
		return unsettledInterval(c.recordCount)
	default:
		return Interval
	}
}

// Report makes one call and reports whether it reached a control VM that hears its leader. Without a control VM in use, it
// calls all known control VMs in parallel: in sequence, each one that is down would cost a whole timeout.
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
		c.dropLink("call_failed", err)
		return false
	}
	c.applyResponse(link.at, response)
	if !response.GetCurrent() {
		c.dropLink("no_leader_heard", nil)
		return false
	}
	c.moveNearer(ctx)
	return true
}

func (c *Client) request(to netip.AddrPort) *pb.SyncRequest {
	request := &pb.SyncRequest{Self: ToWire(c.cfg.Self()), Declared: c.cfg.DeclaredVersion(), Known: c.knownRecords()}
	if c.cfg.Flows != nil {
		request.Flows = c.cfg.Flows(to)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Feed, request.Position = c.replica.position.Feed, c.replica.position.Change
	return request
}

// knownRecords returns the last settled roster for a control VM whose own roster is not settled, or nil.
func (c *Client) knownRecords() []*pb.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sendKnown {
		return nil
	}
	elapsed := time.Since(c.settledRecordsAt)
	out := make([]*pb.Record, 0, len(c.settledRecords))
	for _, r := range c.settledRecords {
		r.Age += elapsed
		out = append(out, ToWire(r))
	}
	return out
}

func (c *Client) applyResponse(at netip.AddrPort, response *pb.SyncResponse) {
	v := View{
		Settled: response.GetSettled(), Collecting: response.GetCollecting(), Quiet: response.GetQuiet(), Current: response.GetCurrent(),
		Version: response.GetDeclared(), Declaration: response.GetDeclaration(), From: at,
	}
	c.mu.Lock()
	applied := c.replica.apply(time.Now(), response)
	v.Records = c.replica.list(time.Now())
	used := c.link != nil && c.link.at == at
	c.mu.Unlock()
	if !applied {
		if used {
			c.Wake() // fetch the whole roster; without a control VM in use, connect retries soon anyway
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
	c.recordCount = len(v.Records)
	c.settled, c.collecting = v.Settled, v.Collecting
	c.sendKnown = c.collecting && len(c.settledRecords) > 0
	if v.Settled {
		c.settledRecords, c.settledRecordsAt = v.Records, time.Now()
	}
	c.knownControls, c.localControls = c.knownControls[:0], c.localControls[:0]
	for _, r := range controls {
		c.knownControls = append(c.knownControls, netip.AddrPortFrom(r.Address, c.cfg.RPCPort))
		if r.FailureDomain == c.cfg.Domain && missedReports(r.Age) == 0 {
			c.localControls = append(c.localControls, netip.AddrPortFrom(r.Address, c.cfg.RPCPort))
		}
	}
	c.mu.Unlock()
	c.cfg.Update(v)
	if c.cfg.OnResponse != nil {
		c.cfg.OnResponse(at, response)
	}
}

// dropLink closes the connection to the control VM in use, so that the next report connects anew.
func (c *Client) dropLink(reason string, err error) {
	c.mu.Lock()
	l := c.link
	c.link, c.lostControl = nil, true
	c.mu.Unlock()
	l.close()
	_ = c.cfg.Logger.Log("event", "control_lost", "control", l.at, "reason", reason, "error", err)
}
