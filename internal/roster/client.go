package roster

import (
	"context"
	"net"
	"net/http"
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

// maxInvited bounds the control VMs that are asked because they said that they have started: a group has at most 7.
const maxInvited = 8

// Invite asks a control VM that has just started, unless one is in use. A process that has started as well knows only the
// given control VMs, which may come later.
func (c *Client) Invite(at netip.AddrPort) {
	c.mu.Lock()
	wanted := c.link == nil
	if wanted && !slices.Contains(c.invited, at) && len(c.invited) < maxInvited {
		c.invited = append(c.invited, at)
		select {
		case c.came <- at:
		default:
		}
	}
	c.mu.Unlock()
	if wanted {
		c.Wake()
	}
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

// link is the connection to one control VM.
type link struct {
	at     netip.AddrPort
	client pb.Roster
	close  func()
}

// newLink returns a link whose connections are opened within the given time.
func (c *Client) newLink(at netip.AddrPort, within time.Duration) *link {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			return c.cfg.Dial(ctx, network, address)
		},
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnection,
	}
	client := pb.NewRosterProtobufClient("http://"+at.String(), &http.Client{Transport: transport})
	return &link{at: at, client: client, close: transport.CloseIdleConnections}
}

// answer is the outcome of a call to one of several control VMs.
type answer struct {
	link     *link
	response *pb.SyncResponse
	err      error
}

// connect asks all known control VMs, and those that start meanwhile, and uses the first one that hears its leader. Until
// then it takes what the others know, unless that is older than what another one has told, and the caller tries again.
func (c *Client) connect(ctx context.Context) bool {
	c.connecting.Lock()
	defer c.connecting.Unlock()
	patience, dial := c.patience()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for len(c.came) > 0 {
		<-c.came // among the known ones
	}
	controls := c.Controls()
	request := c.request(netip.AddrPort{})
	answers := make(chan answer, len(controls)+maxInvited)
	asked := 0
	ask := func(l *link) {
		asked++
		c.tried[l.at] = l
		go func() {
			response, err := l.client.Sync(ctx, request)
			answers <- answer{l, response, err}
		}()
	}
	for _, at := range controls {
		l := c.tried[at]
		if l == nil {
			l = c.newLink(at, dial)
		}
		ask(l)
	}
	var newest uint64
	for asked > 0 {
		select {
		case at := <-c.came: // its connection may have been lost before it started
			if c.room(answers, asked) {
				ask(c.newLink(at, dial))
			}
		case a := <-answers:
			asked--
			if c.hear(a, &newest) {
				return true
			}
		}
	}
	return false
}

// room reports whether one more control VM can be asked without blocking its answer.
func (c *Client) room(answers chan answer, asked int) bool { return asked+len(answers) < cap(answers) }

// hear processes the outcome of a call while no control VM is in use. It reports whether this one is used from now on.
// newest is the newest declaration that was taken in this attempt.
func (c *Client) hear(a answer, newest *uint64) bool {
	switch {
	case a.err != nil:
		a.link.close()
		if c.tried[a.link.at] == a.link {
			delete(c.tried, a.link.at)
		}
	case a.response.GetCurrent():
		c.use(a.link)
		c.accept(a.link.at, a.response)
		return true
	case a.response.GetDeclared() >= *newest:
		*newest = a.response.GetDeclared()
		c.accept(a.link.at, a.response)
	}
	return false
}

// Timeouts of an attempt to connect. Each attempt waits longer than the one before, up to callTimeout.
const (
	// connectTimeout is how long the first attempt waits for control VMs that do not answer, and by how much each further
	// one waits longer. An answer from another failure domain takes less than 20 ms.
	connectTimeout = 100 * time.Millisecond
	// dialTimeout is how long the first attempt waits for a connection. A VM without power loses the opening packet, which
	// is repeated only after a second: the next attempt is sooner.
	dialTimeout = 70 * time.Millisecond
	// dialGrowth is by how much each further attempt waits longer for a connection.
	dialGrowth = 10 * time.Millisecond
)

// patience returns how long this attempt waits for answers and for connections.
func (c *Client) patience() (answer, dial time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	n := time.Duration(c.attempts)
	return min(n*connectTimeout, callTimeout), min(dialTimeout+(n-1)*dialGrowth, callTimeout)
}

func (c *Client) use(l *link) {
	for at, other := range c.tried {
		if other != l {
			other.close()
		}
		delete(c.tried, at)
	}
	c.mu.Lock()
	c.link, c.attempts, c.invited = l, 0, nil
	c.moveAt = c.nextMove()
	regained := c.lost
	c.lost = false
	c.mu.Unlock()
	if regained {
		_ = c.cfg.Logger.Log("event", "control_regained", "control", l.at)
	}
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
	c.mu.Unlock()
	if !applied {
		c.Wake() // for the whole roster
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

// idleConnection closes a connection that was left behind.
const idleConnection = 10 * time.Second

// leave gives up the control VM in use.
func (c *Client) leave(reason string, err error) {
	c.mu.Lock()
	l := c.link
	c.link, c.lost = nil, true
	c.mu.Unlock()
	l.close()
	_ = c.cfg.Logger.Log("event", "control_lost", "control", l.at, "reason", reason, "error", err)
}
