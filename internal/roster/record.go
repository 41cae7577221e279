// Package roster keeps the soft state of the VMs that forward whole packets: which processes are alive, the state and the
// capacity of their upstreams, and their load. It is not replicated through a log. Each process reports to one control VM,
// and control VMs exchange the changes among the processes that report to them. If reports of a process differ, the one with
// the highest sequence number wins.
package roster

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Kind is the role of a process.
type Kind uint8

// Kinds of processes.
const (
	KindEntry   Kind = 1
	KindAgent   Kind = 2
	KindControl Kind = 3
)

// State is the state of an agent's upstream.
type State uint8

// States of an upstream.
const (
	StateNone     State = 0 // no upstream has been heard yet
	StateActive   State = 1
	StateDraining State = 2
	StateVacant   State = 3 // there is no upstream, or its process has ended
	StateFailing  State = 4 // active, but its requests fail: it gets new flows only if no other upstream can take them
)

// Record describes one process. It is identified by Kind and Address.
type Record struct {
	Kind          Kind
	Address       netip.Addr // IP address of the VM
	TunnelPort    uint16
	FailureDomain string
	Service       string
	State         State
	Slots         uint32
	Flows         uint32 // open flows
	Busy          uint32 // flows whose last request has no response yet
	Warmup        time.Duration
	Version       uint64 // version of the declaration in force at the process
	Leaving       bool
	Incarnation   uint64        // identifies one start of an agent's upstream
	Process       uint64        // identifies one start of the reporting process; 0 if it does not number its reports
	Sequence      uint64        // number of the report
	Age           time.Duration // time since a control VM heard the process

	firstSequence uint64 // number of the first report in the unbroken series to this control VM; used by the feed only
}

func addressBits(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addressOf(v uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], v)
	return netip.AddrFrom4(b)
}

// milliseconds returns d in milliseconds, clamped to the range of the message field.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

// ToWire returns the message of a record.
func ToWire(r Record) *pb.Record {
	return &pb.Record{
		Kind: uint32(r.Kind), Address: addressBits(r.Address), TunnelPort: uint32(r.TunnelPort),
		FailureDomain: r.FailureDomain, Service: r.Service, State: uint32(r.State), Slots: r.Slots,
		Flows: r.Flows, Busy: r.Busy, WarmupMs: milliseconds(r.Warmup), AgeMs: milliseconds(r.Age),
		Version: r.Version, Leaving: r.Leaving, Incarnation: r.Incarnation,
		Process: r.Process, Sequence: r.Sequence,
	}
}

// FromWire returns the record of a message.
func FromWire(m *pb.Record) Record {
	return Record{
		Kind: Kind(m.GetKind()), Address: addressOf(m.GetAddress()), TunnelPort: uint16(m.GetTunnelPort()),
		FailureDomain: m.GetFailureDomain(), Service: m.GetService(), State: State(m.GetState()), Slots: m.GetSlots(),
		Flows: m.GetFlows(), Busy: m.GetBusy(), Warmup: time.Duration(m.GetWarmupMs()) * time.Millisecond,
		Age: time.Duration(m.GetAgeMs()) * time.Millisecond, Version: m.GetVersion(), Leaving: m.GetLeaving(),
		Incarnation: m.GetIncarnation(), Process: m.GetProcess(), Sequence: m.GetSequence(),
	}
}

// Peers converts the records of agents to peers of the forwarding state machines. Agents without an upstream hold no flows
// and are left out.
func Peers(records []Record) []passthrough.Peer {
	var out []passthrough.Peer
	for _, r := range records {
		if r.Kind != KindAgent || r.State == StateVacant {
			continue
		}
		out = append(out, passthrough.Peer{
			Tunnel: passthrough.Endpoint{IP: r.Address.As4(), Port: r.TunnelPort},
			Domain: r.FailureDomain, Service: r.Service, Active: (r.State == StateActive || r.State == StateFailing) && !r.Leaving,
			Failing: r.State == StateFailing, Leaving: r.Leaving,
			Slots: r.Slots, Flows: r.Flows, Busy: r.Busy, Cold: r.Warmup > 0, AgeMs: r.Age.Milliseconds(),
		})
	}
	return out
}
