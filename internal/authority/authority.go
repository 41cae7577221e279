// Package authority is the role of control VMs that hold declarations: it accepts them, answers which one is the newest,
// and serves entries and agents.
package authority

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/group"
	"github.com/plantainseam/plantainseam/internal/openflows"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// answerTimeout bounds a call of an operator, who asks another control VM after a second without an answer.
const answerTimeout = 900 * time.Millisecond

// Config holds what an authority needs.
type Config struct {
	Name      string
	Domain    string         // failure domain
	Self      netip.AddrPort // where other processes call this one
	Listen    netip.AddrPort // where it takes calls; Self if not set
	DataDir   string
	Founder   bool
	Seeds     []netip.AddrPort
	Tolerated int
	Silence   time.Duration
	Read      func(content []byte) (*passthrough.Table, error)
	Logger    log.Logger
	Seed      uint64 // for election timeouts
}

// Authority is the role.
type Authority struct {
	cfg     Config
	machine *declared.Machine
	group   *group.Group
	store   *roster.Store
	flows   *openflows.Registry

	instruments *instruments
}

// New returns an authority that is started by Run.
func New(cfg Config) *Authority {
	a := &Authority{cfg: cfg, flows: openflows.NewRegistry(), instruments: newInstruments()}
	a.store = roster.NewStore(time.Now(), func() int { return a.group.Quorum() })
	a.machine = declared.New(func(version uint64) {
		_ = cfg.Logger.Log("event", "declaration_applied", "version", version)
	})
	a.group = group.New(group.Config{
		Name: cfg.Name, Self: cfg.Self, DataDir: cfg.DataDir, Founder: cfg.Founder, Seeds: cfg.Seeds,
		Tolerated: cfg.Tolerated, Silence: cfg.Silence, Machine: a.machine, Controls: a.controls, Logger: cfg.Logger,
		Seed:       cfg.Seed,
		Leaderless: func(span time.Duration) { a.instruments.leaderless.Observe(span.Seconds()) },
	})
	return a
}

// SetSeeds replaces the given control VMs after a reload.
func (a *Authority) SetSeeds(seeds []netip.AddrPort) { a.group.SetSeeds(seeds) }

// controls returns the RPC addresses of the other control VMs that live.
func (a *Authority) controls() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range a.store.List(time.Now()) {
		if r.Kind == roster.KindControl && r.Address != a.cfg.Self.Addr() {
			out = append(out, netip.AddrPortFrom(r.Address, a.cfg.Self.Port()))
		}
	}
	return out
}

// partners returns the control VMs to exchange records with: those that live, and the seeds.
func (a *Authority) partners() []netip.AddrPort {
	out := a.controls()
	for _, s := range a.cfg.Seeds {
		known := s == a.cfg.Self
		for _, o := range out {
			known = known || o == s
		}
		if !known {
			out = append(out, s)
		}
	}
	return out
}

func (a *Authority) record() roster.Record {
	version, _ := a.machine.Held()
	return roster.Record{
		Kind: roster.KindControl, Address: a.cfg.Self.Addr(), FailureDomain: a.cfg.Domain, Version: version,
	}
}

// Held implements roster.Declarations. The content is packed.
func (a *Authority) Held() (uint64, []byte) { return a.machine.Held() }

// Current implements roster.Declarations.
func (a *Authority) Current() bool { return a.group.Current() }

// Declare puts a declaration in force if its version is higher than the newest one, and accepts any other valid one
// without effect. Errors: DeclarationInvalid; any other code means that it may or may not be in force.
func (a *Authority) Declare(ctx context.Context, content []byte) error {
	started := time.Now()
	err := a.declare(ctx, started, content)
	a.instruments.declare.WithLabelValues(codeLabel(err)).Observe(time.Since(started).Seconds())
	return err
}

func (a *Authority) declare(ctx context.Context, started time.Time, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	table, err := a.cfg.Read(content)
	if err != nil {
		a.note("declaration_refused", 0, started, err)
		return err
	}
	held, _ := a.machine.Held()
	if table.Version <= held {
		a.note("declaration_overtaken", table.Version, started, nil)
		return nil
	}
	packed, err := declared.Pack(content)
	if err != nil {
		return err
	}
	err = a.group.Propose(ctx, table.Version, declared.Command(table.Version, packed))
	a.note("declaration_proposed", table.Version, started, err)
	return err
}

func (a *Authority) note(event string, version uint64, started time.Time, err error) {
	held, _ := a.machine.Held()
	_ = a.cfg.Logger.Log("event", event, "version", version, "held", held, "ms", time.Since(started).Milliseconds(),
		"code", int(result.CodeOf(err)), "error", err)
}

// Newest returns the newest declaration, confirmed by a majority. Errors: NoQuorum, and DeclarationUnsettled before the
// first declaration.
func (a *Authority) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	started := time.Now()
	if err := a.group.Read(ctx); err != nil {
		a.note("read_unconfirmed", 0, started, err)
		return nil, err
	}
	a.instruments.read.Observe(time.Since(started).Seconds())
	version, packed := a.machine.Held()
	if version == 0 {
		return nil, result.Errorf(result.DeclarationUnsettled, "nothing was declared yet")
	}
	return declared.Unpack(packed)
}

// Leave hands leadership to another member before the process stops.
func (a *Authority) Leave(ctx context.Context) { a.group.Leave(ctx) }

// handler serves the calls of other processes.
func (a *Authority) handler() http.Handler {
	mux := http.NewServeMux()
	server := roster.NewServer(a.store, a, time.Now)
	server.Flows = a.flows
	mux.Handle(pb.RosterPathPrefix, pb.NewRosterServer(server))
	mux.Handle(pb.GroupPathPrefix, pb.NewGroupServer(a.group))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if t := a.group.Transport(); t != nil {
			t.Handler().ServeHTTP(w, r)
			return
		}
		http.Error(w, "the replicated log does not run", http.StatusServiceUnavailable)
	})
	return mux
}

// Run serves until ctx is done.
func (a *Authority) Run(ctx context.Context) error {
	at := a.cfg.Listen
	if !at.IsValid() {
		at = a.cfg.Self
	}
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: time.Second}
	memory := &roster.Memory{Directory: a.cfg.DataDir, Store: a.store, Self: a.cfg.Self.Addr(), Logger: a.cfg.Logger}
	known := memory.Load()
	go memory.Run(ctx)
	inviter := &roster.Inviter{Store: a.store, Self: a.cfg.Self, Logger: a.cfg.Logger}
	go inviter.Run(ctx, known)
	store := &openflows.FileStore{Directory: a.cfg.DataDir, Registry: a.flows, Logger: a.cfg.Logger}
	store.Load(time.Now())
	go store.Run(ctx)
	go a.measureSpread(ctx)
	exchange := &roster.Exchanger{Store: a.store, Self: a.record, Peers: a.partners, Flows: a.flows, Copies: a.cfg.Tolerated}
	go exchange.Run(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.group.Run(ctx)
	}()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err = server.Serve(listener)
	<-done
	if ctx.Err() != nil {
		return nil
	}
	return err
}
