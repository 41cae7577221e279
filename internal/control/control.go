package control

import (
	"context"
	"crypto/ed25519"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// Times of the control role.
const (
	TickInterval   = 200 * time.Millisecond // leases and plans are looked at this often
	RequestTimeout = 5 * time.Second        // bound of every server method but Fetch
	stepTimeout    = 10 * time.Second       // bound of one proposal of a plan
	maxTickGap     = 2 * time.Second        // below membership.Lease; after a longer gap the lease table is worthless
)

// Config configures a Control.
type Config struct {
	Log       Log
	Members   Members // nil if the control VMs cannot be changed; replacing one is then refused
	State     *State
	Server    *dissemination.Server
	Logger    log.Logger
	Now       func() time.Time
	Tick      <-chan time.Time // nil for a ticker of TickInterval
	SystemKey ed25519.PrivateKey
	Event     func(kind string, intent uint64, host, detail string) // nil if events are not recorded
}

// Control runs the control role. Run's goroutine owns the lease table and the progress of plans; the servers reach it
// by messages.
type Control struct {
	cfg     Config
	queries chan query
	done    chan stepDone
	batch   *batcher

	// Owned by Run's goroutine.
	leading  bool
	electing bool // a Read is in flight that confirms the leadership
	ticked   time.Time
	table    *membership.Table
	running  map[uint64]bool   // intents with a proposal in flight
	waiting  map[uint64]string // what each running intent waits for
	checking bool              // a membership proposal is in flight
	syncing  bool              // a SetControl proposal is in flight
}

// query is a read or a change of the lease table, executed by Run's goroutine.
type query struct {
	run  func(v planner.View, t *membership.Table)
	done chan error
}

// stepDone reports the end of work that Run's goroutine started.
type stepDone struct {
	kind   doneKind
	intent uint64
	err    error
}

type doneKind uint8

const (
	doneElection doneKind = iota + 1
	doneStep
	doneCheck
	doneSync
)

// New returns a control role that Run starts.
func New(cfg Config) *Control {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Event == nil {
		cfg.Event = func(string, uint64, string, string) {}
	}
	return &Control{
		cfg:     cfg,
		queries: make(chan query),
		done:    make(chan stepDone),
		batch:   newBatcher(cfg.Log),
		table:   membership.NewTable(cfg.Now()),
		running: map[uint64]bool{},
		waiting: map[uint64]string{},
	}
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	go c.publish(ctx)
	go c.batch.run(ctx)
	tick := c.cfg.Tick
	if tick == nil {
		ticker := time.NewTicker(TickInterval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-c.queries:
			c.answer(q)
		case d := <-c.done:
			c.finish(d)
		case <-tick:
			c.tick(ctx)
		}
	}
}

// publish hands every new configuration to the server. Several applied commands may be published as one revision.
func (c *Control) publish(ctx context.Context) {
	for {
		if s := c.cfg.State.Config(); s.Revision > c.cfg.Server.Current().Revision {
			if err := c.cfg.Server.Publish(s); err != nil {
				level.Error(c.cfg.Logger).Log("event", "publish-failed", "code", int(result.CodeOf(err)), "err", err)
			}
		}
		select {
		case <-c.cfg.Log.Applied():
		case <-ctx.Done():
			return
		}
	}
}

// ask executes f in Run's goroutine while nothing is applied. It fails when this VM does not lead.
func (c *Control) ask(ctx context.Context, f func(v planner.View, t *membership.Table)) error {
	q := query{run: f, done: make(chan error, 1)}
	select {
	case c.queries <- q:
	case <-ctx.Done():
		return result.Errorf(result.NoQuorum, "the control role did not answer: %w", ctx.Err())
	}
	return <-q.done
}

func (c *Control) answer(q query) {
	if !c.leading || !c.cfg.Log.Leading() {
		q.done <- result.Errorf(result.NotLeader, "leader is %q", c.cfg.Log.Leader())
		return
	}
	c.view(func(v planner.View) { q.run(v, c.table) })
	q.done <- nil
}

// view calls f while nothing is applied. The log is asked for its members before the state is locked, since the log may
// hold a lock of its own while it applies.
func (c *Control) view(f func(v planner.View)) {
	v := planner.View{Now: c.cfg.Now(), Fleet: c.table}
	if c.cfg.Members != nil {
		v.Control = c.cfg.Members.Status()
	}
	c.cfg.State.Read(func(cat *catalog.Catalog) {
		v.Catalog = cat
		f(v)
	})
}

// tick follows the leadership and, on the leader, checks leases and plans.
func (c *Control) tick(ctx context.Context) {
	if !c.cfg.Log.Leading() {
		c.leading = false
		return
	}
	now := c.cfg.Now()
	if now.Sub(c.ticked) > maxTickGap { // the process was stopped: the silence may be its own
		c.leading = false
	}
	c.ticked = now
	if !c.leading {
		c.elect(ctx)
		return
	}
	c.checkMembers(ctx)
	c.syncControl(ctx)
	c.stepPlans(ctx)
}

// elect waits until the state holds everything that earlier leaders committed, before it decides anything.
func (c *Control) elect(ctx context.Context) {
	if c.electing {
		return
	}
	c.electing = true
	c.start(ctx, doneElection, 0, c.cfg.Log.Read)
}

// start runs f in a goroutine of its own and reports its end to Run's goroutine.
func (c *Control) start(ctx context.Context, kind doneKind, intent uint64, f func(ctx context.Context) error) {
	go func() {
		bounded, cancel := context.WithTimeout(ctx, stepTimeout)
		defer cancel()
		err := f(bounded)
		select {
		case c.done <- stepDone{kind: kind, intent: intent, err: err}:
		case <-ctx.Done():
		}
	}()
}

func (c *Control) finish(d stepDone) {
	switch d.kind {
	case doneElection:
		c.electing = false
		if d.err == nil && c.cfg.Log.Leading() {
			c.leading = true
			c.table = membership.NewTable(c.cfg.Now())
			c.waiting = map[uint64]string{}
			c.cfg.Event("leader", 0, "", "leads the catalog")
		}
	case doneStep:
		delete(c.running, d.intent)
		if d.err != nil {
			c.waiting[d.intent] = d.err.Error()
		}
	case doneCheck:
		c.checking = false
	case doneSync:
		c.syncing = false
	}
	if d.err != nil {
		level.Warn(c.cfg.Logger).Log("event", "proposal-failed", "intent", d.intent, "code", int(result.CodeOf(d.err)), "err", d.err)
	}
}

// propose commits a command and returns its result, with an error if the result carries a code.
func (c *Control) propose(ctx context.Context, cmd *catalogpb.Command) (*catalogpb.Result, error) {
	return propose(ctx, c.cfg.Log, cmd)
}

func propose(ctx context.Context, l Log, cmd *catalogpb.Command) (*catalogpb.Result, error) {
	raw, err := catalog.Encode(cmd)
	if err != nil {
		return nil, err
	}
	answer, err := l.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	return catalog.DecodeResult(answer)
}
