package dissemination

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// Times of a client, unless ClientConfig says otherwise.
const (
	DefaultWait    = 10 * time.Second       // how long a server may hold a Fetch
	DefaultSilence = 3 * time.Second        // time beyond the wait after which a connection counts as silent
	DefaultProbe   = 5 * time.Second        // interval of short fetches from the other servers in turn while no hints come
	DefaultRetry   = 200 * time.Millisecond // pause after a failed fetch
	MaxRetry       = 5 * time.Second        // the pause doubles with each failure in a row up to this
	// DefaultPace is the mean time between revisions after a burst of PaceBurst. At the target sizes an entry VM needs
	// 42 ms of processor time to put a revision into force, and a failure domain that returns makes hundreds of them
	// within seconds; one delta then joins those of a second. It is well below the 3 s within which a leaving upstream
	// gets no new work.
	DefaultPace = time.Second
	PaceBurst   = 8 // the steps of a plan, or a start, are not delayed
)

// Urgent is the hint of a process that cannot go on with its configuration. It is followed at once.
const Urgent = ^model.Revision(0)

// ClientConfig configures a Client.
type ClientConfig struct {
	Host         string
	Servers      []string // base URLs in order of preference: control VMs, then near peers
	NewTransport func() http.RoundTripper
	DataDir      string // empty if the process has none; the newest revision is then not kept
	Logger       log.Logger
	OnApply      func(s *model.Snapshot) // called from the client's goroutine, in order of revision
	// Near returns base URLs of near peers that a configuration names; nil for none. They are asked only while no control
	// VM answers, and can give nothing older than what the client has.
	Near func(s *model.Snapshot) []string

	Wait, Silence, Probe, Retry, Pace time.Duration
}

func (c *ClientConfig) setDefaults() {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.NewTransport == nil {
		c.NewTransport = func() http.RoundTripper { return &http.Transport{MaxIdleConnsPerHost: 1} }
	}
	c.Wait = orDefault(c.Wait, DefaultWait)
	c.Silence = orDefault(c.Silence, DefaultSilence)
	c.Probe = orDefault(c.Probe, DefaultProbe)
	c.Retry = orDefault(c.Retry, DefaultRetry)
	c.Pace = orDefault(c.Pace, DefaultPace)
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Client keeps a process at the newest configuration. One goroutine, Run, owns the current snapshot.
type Client struct {
	cfg      ClientConfig
	current  *model.Snapshot
	digest   []byte
	restored bool // the stored snapshot was handed to OnApply
	full     bool // the next fetch asks for a full snapshot, after a digest that did not match
	hints    chan model.Revision
	hinted   model.Revision // newest revision that a hint named
	tries    int            // servers that may still be asked for it without a pause
	due      time.Time      // when the revisions so far would have come into force at one for each Pace
	urged    bool           // the next revision is wanted without a rest
	heard    time.Time      // time of the latest hint, which names the newest revision that the leader has
}

// NewClient loads the stored snapshot, if any. A damaged file is result.StoreCorrupt: the process has lost the revision
// below which it must not go, and the operator decides whether it starts without.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg.setDefaults()
	c := &Client{cfg: cfg, current: model.NewSnapshot(), hints: make(chan model.Revision, 1)}
	if cfg.DataDir != "" {
		s, err := Load(cfg.DataDir)
		if err != nil {
			return nil, err
		}
		c.current = s
	}
	c.digest = Digest(c.current)
	return c, nil
}

// Hint tells the client that a revision exists, for example from the answer to an announcement. It never blocks.
func (c *Client) Hint(r model.Revision) {
	select {
	case c.hints <- r:
	default:
	}
}

// Restore puts the stored snapshot into force. Run does so as well; a process calls Restore before it serves or announces
// anything, so that it never shows a revision below its own.
func (c *Client) Restore() {
	if c.current.Revision > 0 && !c.restored {
		c.cfg.OnApply(c.current)
	}
	c.restored = true
}

// Run fetches until ctx ends. A long poll runs at one server. The others are asked in turn with short fetches, when a hint
// names a revision that is missing and while no hints come, so that a server that is partitioned from the leader cannot
// hold the process back.
func (c *Client) Run(ctx context.Context) error {
	c.Restore()
	if len(c.cfg.Servers) == 0 {
		return result.Errorf(result.SettingsMissing, "no configuration servers")
	}
	answers := make(chan answer)
	poll := newConnection(c.cfg, 0)
	probe := newConnection(c.cfg, 1%len(c.cfg.Servers))
	go poll.run(ctx, c.cfg.Wait, 0, answers)
	if len(c.cfg.Servers) > 1 {
		go probe.run(ctx, 0, c.cfg.Probe, answers)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-c.hints:
			c.urged = c.urged || r == Urgent
			if r != Urgent {
				c.heard = time.Now()
			}
			if r > c.current.Revision && c.rest() == 0 {
				c.hinted, c.tries = r, len(c.cfg.Servers)
				probe.kick()
			}
			if r == Urgent {
				poll.kick()
			}
		case a := <-answers:
			a.reply <- c.handle(a)
		}
	}
}

// answer is one step of a connection, handled by Run's goroutine. A nil response asks what to fetch next.
type answer struct {
	from  string
	res   *configpb.FetchResponse
	reply chan order
}

// order tells a connection what to fetch next.
type order struct {
	req     *configpb.FetchRequest
	refused bool          // the last response was not applied; another server may do better
	rest    time.Duration // until the long poll may fetch
	guided  bool          // hints tell of newer revisions, so that short fetches need not look for them
	near    []string      // near peers of the long poll
	hurry   bool          // a hinted revision is still missing; the next server is to be asked without a pause
}

// handle applies a response and returns the next order.
func (c *Client) handle(a answer) order {
	o := order{}
	if a.res != nil {
		o.refused = !c.apply(a)
	}
	o.rest = c.rest()
	if c.cfg.Near != nil {
		o.near = c.cfg.Near(c.current)
	}
	o.guided = time.Since(c.heard) < c.cfg.Probe
	if c.hinted > c.current.Revision && c.tries > 0 {
		c.tries--
		o.hurry = true
	}
	o.req = &configpb.FetchRequest{Since: uint64(c.current.Revision), Digest: c.digest, Host: c.cfg.Host}
	if c.full {
		o.req.Since, o.req.Digest = 0, nil
	}
	return o
}

// rest returns how long the client leaves the current revision in force before it fetches the next one.
func (c *Client) rest() time.Duration {
	if c.urged {
		return 0
	}
	return max(0, time.Until(c.due.Add(-PaceBurst*c.cfg.Pace)))
}

// apply installs a response and says whether it was acceptable.
func (c *Client) apply(a answer) bool {
	if d := a.res.Delta; d != nil && model.Revision(d.From) < c.current.Revision {
		return true // another connection applied a revision while this fetch was under way; the next one starts there
	}
	next, err := Next(c.current, a.res)
	if err != nil {
		c.full = c.full || result.CodeOf(err) == result.RevisionDigest
		level.Warn(c.cfg.Logger).Log("event", "configuration-refused", "server", a.from, "code", int(result.CodeOf(err)), "err", err)
		return false
	}
	if next == nil {
		c.full = c.full && a.res.Snapshot == nil
		return true
	}
	if c.cfg.DataDir != "" {
		if err := Save(c.cfg.DataDir, next); err != nil { // applying it unsaved could revert after a restart
			level.Error(c.cfg.Logger).Log("event", "configuration-not-saved", "code", int(result.CodeOf(err)), "err", err)
			return false
		}
	}
	c.full = false
	c.current = next
	c.digest = Digest(next)
	c.cfg.OnApply(next)
	if now := time.Now(); c.due.Before(now) {
		c.due = now
	}
	c.due = c.due.Add(c.cfg.Pace)
	c.urged = false
	return true
}

// connection fetches from one server at a time.
type connection struct {
	cfg    ClientConfig
	server int      // index into the control VMs, followed by near
	near   []string // empty for short fetches
	kicks  chan struct{}

	transport http.RoundTripper
	service   configpb.Configuration
}

func newConnection(cfg ClientConfig, server int) *connection {
	return &connection{cfg: cfg, server: server, kicks: make(chan struct{}, 1)}
}

// kick ends the pause between two short fetches.
func (c *connection) kick() {
	select {
	case c.kicks <- struct{}{}:
	default:
	}
}

// run fetches until ctx ends. With a pause it asks the next server after each pause; without one it stays at its server
// until a fetch fails.
func (c *connection) run(ctx context.Context, wait, pause time.Duration, answers chan<- answer) {
	reply := make(chan order, 1)
	var last *configpb.FetchResponse
	failures := 0
	for ctx.Err() == nil {
		select {
		case answers <- answer{from: c.address(), res: last, reply: reply}:
		case <-ctx.Done():
			return
		}
		o := <-reply
		if pause == 0 {
			c.near = o.near
		}
		if pause > 0 && (last != nil || o.guided) && !o.hurry {
			last = nil // asks for a new order after the pause, since another connection may apply a revision meanwhile
			c.sleep(ctx, pause)
			continue
		}
		if pause == 0 && o.rest > 0 && !o.refused {
			last = nil
			c.sleep(ctx, o.rest)
			continue
		}
		if o.refused {
			failures++
			c.leave()
			c.sleep(ctx, backoff(c.cfg.Retry, failures))
		}
		o.req.WaitMs = uint32(wait.Milliseconds())
		res, err := c.fetch(ctx, o.req, wait)
		last = res
		if err != nil {
			failures++
			c.leave()
			c.sleep(ctx, backoff(c.cfg.Retry, failures))
			continue
		}
		if !o.refused {
			failures = 0
		}
		if pause > 0 || c.atPeer() {
			c.leave() // a near peer is asked once, then the control VMs again
		}
	}
}

// atPeer tells whether the present server is a near peer. A peer that left the list counts as one that has no address.
func (c *connection) atPeer() bool { return c.server >= len(c.cfg.Servers) }

// address returns the base URL of the present server.
func (c *connection) address() string {
	if !c.atPeer() {
		return c.cfg.Servers[c.server]
	}
	if i := c.server - len(c.cfg.Servers); i < len(c.near) {
		return c.near[i]
	}
	c.server = 0
	return c.cfg.Servers[0]
}

func backoff(base time.Duration, failures int) time.Duration {
	return min(base<<min(failures-1, 10), MaxRetry)
}

// fetch makes one call. When the server does not answer in time the call fails, and leave discards its connection: the
// connection may have lost its state at a device in between, and a new one works.
func (c *connection) fetch(ctx context.Context, req *configpb.FetchRequest, wait time.Duration) (*configpb.FetchResponse, error) {
	if c.service == nil {
		c.transport = c.cfg.NewTransport()
		c.service = configpb.NewConfigurationProtobufClient(c.address(), &http.Client{Transport: c.transport})
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Silence)
	defer cancel()
	return c.service.Fetch(ctx, req)
}

// leave closes the connection and moves to the next server.
func (c *connection) leave() {
	if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
	c.transport, c.service = nil, nil
	c.server = (c.server + 1) % (len(c.cfg.Servers) + len(c.near))
}

func (c *connection) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.kicks:
	case <-ctx.Done():
	}
}
