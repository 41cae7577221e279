// Package forwarder runs the processes that forward whole packets: entries and agents with their sockets, and the link
// to the control VMs. Decisions are made by package passthrough.
package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
)

// Codec reads and writes the packets between callers and upstreams.
type Codec interface {
	// Caller reads a packet that a caller sent.
	Caller(packet []byte) (passthrough.Segment, error)
	// Host reads a packet that an upstream sent or returned. The flow is the caller's view in both cases.
	Host(packet []byte) (passthrough.Segment, error)
	// Clean removes in place the marks of an earlier delivery.
	Clean(packet []byte)
	// AppendReset appends a reset of the flow to the caller.
	AppendReset(buf []byte, s passthrough.Segment) []byte
}

// Declarations reads a declaration.
type Declarations func(content []byte) (*passthrough.Table, error)

// Config holds what entries and agents need.
type Config struct {
	Name    string
	Domain  string           // failure domain
	Tunnel  netip.AddrPort   // where other processes and the fabric send datagrams
	Listen  netip.AddrPort   // where they arrive; Tunnel if not set
	Seeds   []netip.AddrPort // RPC addresses of control VMs
	RPCPort uint16
	Codec   Codec
	Read    Declarations
	Logger  log.Logger
	FlowLog log.Logger // lines about flows that go well

	// Agents only.
	Outbound        netip.AddrPort // where the upstream sends its packets
	Upstream        netip.AddrPort
	Service         string
	UpstreamSilence time.Duration
}

// arrival returns the address to bind to.
func (c Config) arrival() netip.AddrPort {
	if c.Listen.IsValid() {
		return c.Listen
	}
	return c.Tunnel
}

// maxPacket is the largest packet of a caller or upstream in bytes: a head of 32 and 1,200 of data.
const maxPacket = 1232

// maxDatagram is the largest datagram between nodes in bytes.
const maxDatagram = passthrough.MaxHeader + maxPacket

// link is what entries and agents share: the roster client and the declaration in force.
type link struct {
	cfg     Config
	client  *roster.Client
	started time.Time
	process uint64 // names this start in reports

	mu    sync.Mutex // guards the machine of the role as well
	table *passthrough.Table
	// provisional says that the table is of a control VM that had not heard its leader.
	provisional bool
	settled     bool
	leaving     bool
	reports     uint64 // made so far
	seen        rosterSummary
}

// rosterSummary is what is logged of a roster when it changes.
type rosterSummary struct {
	agents, active int
	settled        bool
}

// noteRoster logs a roster whose summary differs from the last one. The caller holds mu.
func (l *link) noteRoster(peers []passthrough.Peer, v roster.View) {
	now := rosterSummary{agents: len(peers), settled: v.Settled}
	for _, p := range peers {
		if p.Active {
			now.active++
		}
	}
	if now != l.seen {
		l.seen = now
		_ = l.cfg.Logger.Log("event", "roster_changed", "agents", now.agents, "active", now.active, "settled", now.settled,
			"from", v.From)
	}
}

func newLink(cfg Config) *link {
	return &link{cfg: cfg, started: time.Now(), process: rand.Uint64() | 1}
}

// number numbers a report. The caller holds mu.
func (l *link) number(r *roster.Record) {
	l.reports++
	r.Process, r.Sequence = l.process, l.reports
}

// now returns the time of the machines: milliseconds since the start of the process on the steady clock.
func (l *link) now() int64 { return time.Since(l.started).Milliseconds() }

// adopt puts the declaration of a view in force if it is newer, and returns the table if it changed.
func (l *link) adopt(v roster.View) *passthrough.Table {
	if !l.trust(v) || len(v.Declaration) == 0 {
		return nil
	}
	content, err := declared.Unpack(v.Declaration)
	var t *passthrough.Table
	if err == nil {
		t, err = l.cfg.Read(content)
	}
	if err != nil {
		_ = l.cfg.Logger.Log("event", "declaration_unreadable", "version", v.Version, "from", v.From, "error", err)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table != nil && t.Version <= l.table.Version {
		return nil
	}
	l.table = t
	_ = l.cfg.Logger.Log("event", "declaration_in_force", "version", t.Version, "routes", len(t.Routes), "from", v.From,
		"provisional", l.provisional)
	return t
}

// provisionalFor is how long after its start a process may work by the declaration of a control VM that does not hear a
// leader. After a loss of all power that is the newest one but for the last change, and callers are served sooner; beyond
// an election the control VM may be cut off and its declaration old.
const provisionalFor = 3 * time.Second

// trust reports whether the declaration of a view may be used, and remembers whether only for a while. A newer declaration
// than the one in force may always be used, since control VMs apply only what is committed; the first one of a process may
// be old.
func (l *link) trust(v roster.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case v.Current:
		l.provisional = false
	case l.table == nil:
		l.provisional = time.Since(l.started) < provisionalFor
		return l.provisional
	}
	return true
}

// dropProvisional gives up a declaration that no control VM with a leader has confirmed in time. It reports whether there
// was one. The caller holds mu.
func (l *link) dropProvisional() bool {
	if !l.provisional || l.table == nil || time.Since(l.started) < provisionalFor {
		return false
	}
	_ = l.cfg.Logger.Log("event", "declaration_dropped", "version", l.table.Version, "reason", "not_confirmed")
	l.table = nil
	return true
}

func (l *link) version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil {
		return 0
	}
	return l.table.Version
}

// SetSeeds replaces the given control VMs after a reload.
func (l *link) SetSeeds(seeds []netip.AddrPort) { l.client.SetSeeds(seeds) }

func newRoster(peers []passthrough.Peer, v roster.View) *passthrough.Roster {
	r := passthrough.NewRoster(peers, v.Settled)
	r.Quiet = v.Settled || v.Quiet
	return r
}
