// Package forwarder runs the processes that forward whole packets: entries and agents with their sockets and the client
// of the control VMs. Package passthrough makes the decisions.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
)

// Codec parses and builds the packets between callers and upstreams.
type Codec interface {
	// Caller parses a packet that a caller sent.
	Caller(packet []byte) (passthrough.Segment, error)
	// Host parses a packet that an upstream sent or returned. The flow is the caller's view in both cases.
	Host(packet []byte) (passthrough.Segment, error)
	// Clean removes the marks of an earlier delivery from the packet in place.
	Clean(packet []byte)
	// AppendReset appends a packet to buf that resets the flow at the caller.
	AppendReset(buf []byte, s passthrough.Segment) []byte
}

// DeclarationParser parses a declaration.
type DeclarationParser func(content []byte) (*passthrough.Table, error)

// Config is the configuration of entries and agents.
type Config struct {
	Name             string
	Domain           string           // failure domain
	Tunnel           netip.AddrPort   // address to which other processes and the fabric send datagrams
	Listen           netip.AddrPort   // address to bind to; Tunnel if not set
	Seeds            []netip.AddrPort // RPC addresses of control VMs
	RPCPort          uint16
	Codec            Codec
	ParseDeclaration DeclarationParser
	Logger           log.Logger
	FlowLog          log.Logger // routine events of flows

	// Agents only.
	Outbound        netip.AddrPort // address to which the upstream sends its packets
	Upstream        netip.AddrPort
	Service         string
	UpstreamSilence time.Duration
}

// listenAddress returns the address to bind to.
func (c Config) listenAddress() netip.AddrPort {
	if c.Listen.IsValid() {
		return c.Listen
	}
	return c.Tunnel
}

// maxPacket is the largest packet of a caller or upstream in bytes: a header of 32 and 1,200 of data.
const maxPacket = 1232

// maxDatagram is the largest datagram between nodes in bytes.
const maxDatagram = passthrough.MaxHeader + maxPacket

// node is the common part of entries and agents: the roster client and the declaration in force.
type node struct {
	cfg       Config
	client    *roster.Client
	started   time.Time
	processID uint64 // identifies this process in reports

	mu    sync.Mutex // also guards the state machine of the entry or agent
	table *passthrough.Table
	// provisional is set while the table comes from a control VM without a leader.
	provisional  bool
	collected    bool  // the roster in use is one of a control VM that had collected reports
	settledMs    int64 // when the last settled roster arrived
	leaving      bool
	reportCount  uint64 // number of reports made
	loggedRoster rosterSummary
}

// rosterSummary holds the figures of a roster that are logged when they change.
type rosterSummary struct {
	agents, active int
	settled        bool
}

// logRosterChange logs a roster whose summary differs from the last one. The caller holds mu.
func (n *node) logRosterChange(peers []passthrough.Peer, v roster.View) {
	now := rosterSummary{agents: len(peers), settled: v.Settled}
	for _, p := range peers {
		if p.Active {
			now.active++
		}
	}
	if now != n.loggedRoster {
		n.loggedRoster = now
		_ = n.cfg.Logger.Log("event", "roster_changed", "agents", now.agents, "active", now.active, "settled", now.settled,
			"from", v.From)
	}
}

func newNode(cfg Config) *node {
	return &node{cfg: cfg, started: time.Now(), processID: rand.Uint64() | 1}
}

// numberReport sets the process and the sequence number of a report. The caller holds mu.
func (n *node) numberReport(r *roster.Record) {
	n.reportCount++
	r.Process, r.Sequence = n.processID, n.reportCount
}

// now returns the time that state machines use: milliseconds of the monotonic clock since the start of the process.
func (n *node) now() int64 { return time.Since(n.started).Milliseconds() }

// applyDeclaration puts the declaration of a view in force if it is newer, and returns the table if it changed.
func (n *node) applyDeclaration(v roster.View) *passthrough.Table {
	if !n.mayUseDeclaration(v) || len(v.Declaration) == 0 {
		return nil
	}
	content, err := declared.Unpack(v.Declaration)
	var t *passthrough.Table
	if err == nil {
		t, err = n.cfg.ParseDeclaration(content)
	}
	if err != nil {
		_ = n.cfg.Logger.Log("event", "declaration_unreadable", "version", v.Version, "from", v.From, "error", err)
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table != nil && t.Version <= n.table.Version {
		return nil
	}
	n.table = t
	_ = n.cfg.Logger.Log("event", "declaration_in_force", "version", t.Version, "routes", len(t.Routes), "from", v.From,
		"provisional", n.provisional)
	return t
}

// provisionalTTL is how long after its start a process may use the declaration of a control VM without a leader. After
// a power loss of all VMs that declaration lacks at most the last change, and callers are served sooner. If the state
// lasts longer than an election, the control VM may be partitioned and its declaration old.
const provisionalTTL = 3 * time.Second

// mayUseDeclaration reports whether the declaration of a view may be used, and sets provisional. A newer declaration
// than the one in force may always be used, since control VMs apply only committed ones; the first one of a process may
// be old.
func (n *node) mayUseDeclaration(v roster.View) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case v.Current:
		n.provisional = false
	case n.table == nil:
		n.provisional = time.Since(n.started) < provisionalTTL
		return n.provisional
	}
	return true
}

// dropProvisional drops a declaration that no control VM with a leader has confirmed within provisionalTTL. It reports
// whether it dropped one. The caller holds mu.
func (n *node) dropProvisional() bool {
	if !n.provisional || n.table == nil || time.Since(n.started) < provisionalTTL {
		return false
	}
	_ = n.cfg.Logger.Log("event", "declaration_dropped", "version", n.table.Version, "reason", "not_confirmed")
	n.table = nil
	return true
}

func (n *node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// SetSeeds replaces the configured control VMs after a reload.
func (n *node) SetSeeds(seeds []netip.AddrPort) { n.client.SetSeeds(seeds) }

// takesRoster reports whether the roster of a view replaces the one in use. That of a control VM that has just started may lack
// agents, so it replaces no other. A roster that is not settled, such as that of a control VM that was cut off, replaces a settled
// one only when that is so old that nothing may be concluded from it either. The caller holds mu.
func (n *node) takesRoster(v roster.View) bool {
	now := n.now()
	switch {
	case v.Settled:
		n.collected, n.settledMs = true, now
		return true
	case !n.collected:
		n.collected = !v.Collecting
		return true
	case v.Collecting:
		return false
	default:
		return now-n.settledMs >= passthrough.MaxWholeRosterMs
	}
}

func newRoster(peers []passthrough.Peer, v roster.View) *passthrough.Roster {
	r := passthrough.NewRoster(peers, v.Settled)
	r.Quiet = !v.Collecting || v.Quiet
	return r
}

// every calls do at an interval until ctx is done.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
