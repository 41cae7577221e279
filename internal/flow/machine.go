package flow

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// MaxHops bounds how often agents forward one packet.
const MaxHops = 4

type machine struct {
	cfg      Config
	local    Local
	snapshot *model.Snapshot
	table    *routing.Table
	owned    map[model.FlowKey]bool // true when established
}

// New returns the machine of one agent run without a configuration.
func New(cfg Config) Machine {
	return &machine{cfg: cfg.withDefaults(), snapshot: model.NewSnapshot(), owned: map[model.FlowKey]bool{}}
}

// Packet delivers packets of owned flows, accepts new flows at their home and forwards all others to the home.
func (m *machine) Packet(_ time.Time, p Packet, out []Action) []Action {
	if _, ok := m.owned[p.Key]; ok {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	svc := m.snapshot.Services[p.Key.Service]
	if svc == nil {
		return append(out, Action{Kind: ActionDrop, Packet: p, Code: result.FlowUnknownService})
	}
	home, ok := m.table.Home(svc.ID, routing.Bucket(svc.Seed, p.Key.Caller))
	switch {
	case !ok:
		return append(out, Action{Kind: ActionDrop, Packet: p, Code: result.FlowUnknown})
	case home != m.cfg.Self.Host:
		return m.forward(home, p, out)
	case p.Flags&FlagSYN == 0:
		return append(out, Action{Kind: ActionDrop, Packet: p, Code: result.FlowUnknown})
	case !m.local.AcceptNew:
		return append(out, Action{Kind: ActionDrop, Packet: p, Code: result.FlowLeaseExpired})
	}
	m.owned[p.Key] = false
	return append(out, Action{Kind: ActionDeliver, Packet: p})
}

func (m *machine) forward(to model.HostID, p Packet, out []Action) []Action {
	if p.Hops >= MaxHops {
		return append(out, Action{Kind: ActionDrop, Packet: p, Code: result.TunnelHopLimit})
	}
	p.Hops++
	return append(out, Action{Kind: ActionForward, To: to, Packet: p})
}

func (m *machine) Message(_ time.Time, _ model.HostRef, _ Message, out []Action) []Action { return out }

func (m *machine) Apply(_ time.Time, s *model.Snapshot, t *routing.Table, out []Action) []Action {
	if s.Revision >= m.snapshot.Revision {
		m.snapshot, m.table = s, t
	}
	return out
}

func (m *machine) Tick(_ time.Time, out []Action) []Action { return out }

func (m *machine) Established(key model.FlowKey) {
	if _, ok := m.owned[key]; ok {
		m.owned[key] = true
	}
}

func (m *machine) Closed(_ time.Time, key model.FlowKey) { delete(m.owned, key) }

func (m *machine) SetLocal(l Local) { m.local = l }

func (m *machine) Stats() Stats { return Stats{Owned: len(m.owned)} }
