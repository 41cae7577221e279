// Package authority implements the role of control VMs that hold declarations. An authority accepts declarations, returns the
// newest one, and serves the roster and the declaration to entries and agents.
package authority

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/group"
	"github.com/plantainseam/plantainseam/internal/openflows"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// operatorCallTimeout bounds a call of an operator's client, which tries another control VM after a second without an answer.
const operatorCallTimeout = 900 * time.Millisecond

// Config configures an Authority.
type Config struct {
	Name             string
	Domain           string         // failure domain
	Self             netip.AddrPort // RPC address at which other processes call this one
	Listen           netip.AddrPort // address of the RPC listener; the default is Self
	DataDir          string
	Founder          bool
	Seeds            []netip.AddrPort
	ToleratedLosses  int
	SilenceTimeout   time.Duration
	ParseDeclaration func(content []byte) (*passthrough.Table, error)
	Logger           log.Logger
	Seed             uint64 // random seed for election timeouts
}

// Authority is a control VM that holds declarations.
type Authority struct {
	cfg     Config
	machine *declared.Machine
	group   *group.Group
	store   *roster.Store
	flows   *openflows.Registry

	instruments *instruments

	contactsMu sync.Mutex // guards the fields below
	contacts   *roster.Contacts
	seeds      []netip.AddrPort // of the current settings
}

// New returns an authority. Run starts it.
func New(cfg Config) *Authority {
	a := &Authority{
		cfg: cfg, flows: openflows.NewRegistry(), instruments: newInstruments(),
		contacts: roster.NewContacts(cfg.Self), seeds: cfg.Seeds,
	}
	a.store = roster.NewStore(time.Now(), func() int { return a.group.Quorum() })
	a.store.FollowGroup(a.groupState)
	a.machine = declared.New(func(version uint64) {
		_ = cfg.Logger.Log("event", "declaration_applied", "version", version)
	})
	a.group = group.New(group.Config{
		Name: cfg.Name, Self: cfg.Self, DataDir: cfg.DataDir, Founder: cfg.Founder, Seeds: cfg.Seeds,
		ToleratedLosses: cfg.ToleratedLosses, SilenceTimeout: cfg.SilenceTimeout, StateMachine: a.machine, Controls: a.allContacts, Logger: cfg.Logger,
		Declared:          func() bool { version, _ := a.machine.Latest(); return version > 0 },
		Seed:              cfg.Seed,
		ObserveLeaderless: func(span time.Duration) { a.instruments.leaderless.Observe(span.Seconds()) },
	})
	return a
}

// SetSeeds replaces the seeds, for example after a configuration reload.
func (a *Authority) SetSeeds(seeds []netip.AddrPort) {
	a.contactsMu.Lock()
	a.seeds = seeds
	a.contactsMu.Unlock()
	a.group.SetSeeds(seeds)
}

// controls returns the RPC addresses of the other control VMs in the roster.
func (a *Authority) controls() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range a.store.List(time.Now()) {
		if r.Kind == roster.KindControl && r.Address != a.cfg.Self.Addr() {
			out = append(out, netip.AddrPortFrom(r.Address, a.cfg.Self.Port()))
		}
	}
	return out
}

// members returns the RPC addresses of the other members of the group.
func (a *Authority) members() []netip.AddrPort {
	status, ok := a.group.Status()
	if !ok {
		return nil
	}
	var out []netip.AddrPort
	for _, m := range status.Membership.Members {
		if at, err := netip.ParseAddrPort(m.Address); err == nil && at != a.cfg.Self {
			out = append(out, at)
		}
	}
	return out
}

// dueContacts returns the RPC addresses of the control VMs to exchange records with now.
func (a *Authority) dueContacts() []netip.AddrPort {
	controls, members := a.controls(), a.members()
	a.contactsMu.Lock()
	defer a.contactsMu.Unlock()
	return a.contacts.Due(time.Now(), controls, members, a.seeds)
}

// allContacts returns the RPC addresses of all control VMs that this one has heard of.
func (a *Authority) allContacts() []netip.AddrPort {
	controls, members := a.controls(), a.members()
	a.contactsMu.Lock()
	defer a.contactsMu.Unlock()
	return a.contacts.All(controls, members, a.seeds)
}

// groupState returns the state of the group for the completeness of the roster.
func (a *Authority) groupState() roster.GroupState {
	status, ok := a.group.Status()
	if !ok || status.Leader == "" {
		return roster.GroupState{}
	}
	state := roster.GroupState{Leading: status.Role == consensus.Leader}
	for _, m := range status.Membership.Members {
		at, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			continue
		}
		if m.ID == status.Leader {
			state.Leader = at.Addr()
		}
		responds := func(p consensus.MemberProgress) bool { return p.ID == m.ID && p.Active }
		if slices.ContainsFunc(status.Progress, responds) {
			state.Responding = append(state.Responding, at.Addr())
		}
	}
	return state
}

func (a *Authority) record() roster.Record {
	version, _ := a.machine.Latest()
	return roster.Record{
		Kind: roster.KindControl, Address: a.cfg.Self.Addr(), FailureDomain: a.cfg.Domain, Version: version,
	}
}

// Latest implements roster.Declarations. The content is packed.
func (a *Authority) Latest() (uint64, []byte) { return a.machine.Latest() }

// Current implements roster.Declarations.
func (a *Authority) Current() bool { return a.group.Current() }

// Declare puts a declaration in force if its version is higher than the latest one. It accepts any other valid declaration
// without effect. After an error with the code DeclarationInvalid the declaration is not in force; after any other error it
// may or may not be.
func (a *Authority) Declare(ctx context.Context, content []byte) error {
	started := time.Now()
	err := a.declare(ctx, started, content)
	a.instruments.declare.WithLabelValues(codeLabel(err)).Observe(time.Since(started).Seconds())
	return err
}

func (a *Authority) declare(ctx context.Context, started time.Time, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	table, err := a.cfg.ParseDeclaration(content)
	if err != nil {
		a.logDeclaration("declaration_refused", 0, started, err)
		return err
	}
	held, _ := a.machine.Latest()
	if table.Version <= held {
		a.logDeclaration("declaration_overtaken", table.Version, started, nil)
		return nil
	}
	packed, err := declared.Pack(content)
	if err != nil {
		return err
	}
	err = a.group.Propose(ctx, table.Version, declared.Command(table.Version, packed))
	a.logDeclaration("declaration_proposed", table.Version, started, err)
	return err
}

func (a *Authority) logDeclaration(event string, version uint64, started time.Time, err error) {
	held, _ := a.machine.Latest()
	_ = a.cfg.Logger.Log("event", event, "version", version, "held", held, "ms", time.Since(started).Milliseconds(),
		"code", int(result.CodeOf(err)), "error", err)
}

// Newest returns the newest declaration, confirmed by a majority. The error codes are NoQuorum, and DeclarationUnsettled before
// the first declaration.
func (a *Authority) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	started := time.Now()
	if err := a.group.Read(ctx); err != nil {
		a.logDeclaration("read_unconfirmed", 0, started, err)
		return nil, err
	}
	a.instruments.read.Observe(time.Since(started).Seconds())
	version, packed := a.machine.Latest()
	if version == 0 {
		return nil, result.Errorf(result.DeclarationUnsettled, "nothing was declared yet")
	}
	return declared.Unpack(packed)
}

// Leave transfers leadership to another voter, if this member leads, before the process stops.
func (a *Authority) Leave(ctx context.Context) { a.group.Leave(ctx) }

// handler returns the HTTP handler for calls of other processes.
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
	processFile := &roster.ProcessFile{Directory: a.cfg.DataDir, Store: a.store, Self: a.cfg.Self.Addr(), Logger: a.cfg.Logger}
	known := processFile.Load()
	go processFile.Run(ctx)
	inviter := &roster.Inviter{Store: a.store, Self: a.cfg.Self, Logger: a.cfg.Logger}
	go inviter.Run(ctx, known)
	store := &openflows.FileStore{Directory: a.cfg.DataDir, Registry: a.flows, Logger: a.cfg.Logger}
	store.Load(time.Now())
	go store.Run(ctx)
	go a.measureSpread(ctx)
	exchange := &roster.Exchanger{Store: a.store, Self: a.record, Peers: a.dueContacts, Flows: a.flows, Copies: a.cfg.ToleratedLosses, Logger: a.cfg.Logger}
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
