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
	TickInterval   = 200 * time.Millisecond // interval of the checks of leases and plans
	RequestTimeout = 5 * time.Second        // bound of every server method but Fetch
	stepTimeout    = 10 * time.Second       // bound of one proposal of a plan
	maxTickGap     = 2 * time.Second        // below membership.Lease; after a longer gap between ticks the lease table is discarded
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
	cfg         Config
	leaderCalls chan leaderCall
	finished    chan workResult
	batch       *batcher

	// Owned by Run's goroutine.
	leading          bool
	confirming       bool // a Read that confirms the leadership is in flight
	lastTick         time.Time
	table            *membership.Table
	proposalInFlight map[uint64]bool   // intents with a proposal in flight
	waitReasons      map[uint64]string // by running intent
	checkingLeases   bool              // a proposal of lost, returned or forgotten hosts is in flight
	syncingControl   bool              // a SetControl proposal is in flight
}

// leaderCall is a function that Run's goroutine executes with the lease table, if this VM leads.
type leaderCall struct {
	run  func(v planner.View, t *membership.Table)
	done chan error
}

// workResult is the result of work that Run's goroutine started in another goroutine.
type workResult struct {
	kind   workKind
	intent uint64
	err    error
}

type workKind uint8

const (
	workLeadership workKind = iota + 1
	workStep
	workLeases
	workSyncControl
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
		cfg:              cfg,
		leaderCalls:      make(chan leaderCall),
		finished:         make(chan workResult),
		batch:            newBatcher(cfg.Log),
		table:            membership.NewTable(cfg.Now()),
		proposalInFlight: map[uint64]bool{},
		waitReasons:      map[uint64]string{},
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
		case q := <-c.leaderCalls:
			c.serveCall(q)
		case d := <-c.finished:
			c.finishWork(d)
		case <-tick:
			c.tick(ctx)
		}
	}
}

// publish publishes new configurations at the dissemination server. Several applied commands may be published as one
// revision.
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

// runAsLeader executes f in Run's goroutine while no command is applied. It fails if this VM does not lead.
func (c *Control) runAsLeader(ctx context.Context, f func(v planner.View, t *membership.Table)) error {
	q := leaderCall{run: f, done: make(chan error, 1)}
	select {
	case c.leaderCalls <- q:
	case <-ctx.Done():
		return result.Errorf(result.NoQuorum, "the control role did not answer: %w", ctx.Err())
	}
	return <-q.done
}

func (c *Control) serveCall(q leaderCall) {
	if !c.leading || !c.cfg.Log.Leading() {
		q.done <- result.Errorf(result.NotLeader, "leader is %q", c.cfg.Log.Leader())
		return
	}
	c.withView(func(v planner.View) { q.run(v, c.table) })
	q.done <- nil
}

// withView calls f while no command is applied. It reads the members of the log before it locks the state, since the log
// may hold a lock of its own while it applies commands.
func (c *Control) withView(f func(v planner.View)) {
	v := planner.View{Now: c.cfg.Now(), Fleet: c.table}
	if c.cfg.Members != nil {
		v.Control = c.cfg.Members.Status()
	}
	c.cfg.State.Read(func(cat *catalog.Catalog) {
		v.Catalog = cat
		f(v)
	})
}

// tick updates the leadership state and, on the leader, checks leases, control VMs and plans.
func (c *Control) tick(ctx context.Context) {
	if !c.cfg.Log.Leading() {
		c.leading = false
		return
	}
	now := c.cfg.Now()
	if now.Sub(c.lastTick) > maxTickGap { // the process was stopped, so that missing announcements may be its own fault
		c.leading = false
	}
	c.lastTick = now
	if !c.leading {
		c.confirmLeadership(ctx)
		return
	}
	c.checkLeases(ctx)
	c.syncControl(ctx)
	c.stepPlans(ctx)
}

// confirmLeadership waits until the state contains everything that earlier leaders committed. No decision is made before.
func (c *Control) confirmLeadership(ctx context.Context) {
	if c.confirming {
		return
	}
	c.confirming = true
	c.startWork(ctx, workLeadership, 0, c.cfg.Log.Read)
}

// startWork runs f in a new goroutine and reports the result to Run's goroutine.
func (c *Control) startWork(ctx context.Context, kind workKind, intent uint64, f func(ctx context.Context) error) {
	go func() {
		bounded, cancel := context.WithTimeout(ctx, stepTimeout)
		defer cancel()
		err := f(bounded)
		select {
		case c.finished <- workResult{kind: kind, intent: intent, err: err}:
		case <-ctx.Done():
		}
	}()
}

func (c *Control) finishWork(d workResult) {
	switch d.kind {
	case workLeadership:
		c.confirming = false
		if d.err == nil && c.cfg.Log.Leading() {
			c.leading = true
			c.table = membership.NewTable(c.cfg.Now())
			c.waitReasons = map[uint64]string{}
			c.cfg.Event("leader", 0, "", "leads the catalog")
		}
	case workStep:
		delete(c.proposalInFlight, d.intent)
		if d.err != nil {
			c.waitReasons[d.intent] = d.err.Error()
		}
	case workLeases:
		c.checkingLeases = false
	case workSyncControl:
		c.syncingControl = false
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
