package forwarder

import (
	"bytes"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// Limits on the packets that wait at an entry after its start.
const (
	// maxOpeningAgeMs is the age up to which a waiting opening packet is forwarded, counted from the caller's first copy:
	// a caller gives up after 1400 ms without an answer, and a flow that opens later is of no use to it.
	maxOpeningAgeMs = 1350
	// maxSearchWaitMs is how long a packet of an established flow may wait. After the longest retransmission interval
	// of a caller (1600 ms) a newer one has arrived.
	maxSearchWaitMs = 1600
	// maxWaitingBytes bounds the memory of waiting packets: 0.5 MB hold the requests of 1000 flows.
	maxWaitingBytes = 512 << 10
	// resendDelayMs is the delay before the packets of established flows are sent a second time: agents learn up to one
	// report interval later than this entry that the roster is settled.
	resendDelayMs = 200
)

// waitingPackets holds the last packet of each flow that arrived before the entry had a declaration and a complete
// roster. The packets are forwarded as soon as it has both, because the next retransmission of the caller may be 1.6 s
// away.
type waitingPackets struct {
	packets map[passthrough.Flow]waitingPacket
	bytes   int
}

type waitingPacket struct {
	content   []byte
	segment   passthrough.Segment
	arrivedMs int64
}

func newWaitingPackets() *waitingPackets {
	return &waitingPackets{packets: map[passthrough.Flow]waitingPacket{}}
}

// add stores a copy of the packet and replaces an earlier one of its flow. Above the memory limit it stores nothing,
// and the caller's retransmission replaces the packet.
func (w *waitingPackets) add(now int64, s passthrough.Segment, packet []byte) {
	w.remove(s.Flow)
	if w.bytes+len(packet) > maxWaitingBytes {
		return
	}
	w.bytes += len(packet)
	w.packets[s.Flow] = waitingPacket{content: bytes.Clone(packet), segment: s, arrivedMs: now}
}

// remove removes the packet of a flow.
func (w *waitingPackets) remove(f passthrough.Flow) {
	if p, ok := w.packets[f]; ok {
		w.bytes -= len(p.content)
		delete(w.packets, f)
	}
}

// takeOpening removes all opening packets and returns those whose callers still wait.
func (w *waitingPackets) takeOpening(now int64) []waitingPacket {
	var out []waitingPacket
	for f, p := range w.packets {
		if !p.segment.Opens() {
			continue
		}
		w.remove(f)
		if p.segment.OpeningAgeMs+now-p.arrivedMs <= maxOpeningAgeMs {
			out = append(out, p)
		}
	}
	return out
}

// established returns the packets of established flows that no newer one has replaced.
func (w *waitingPackets) established(now int64) []waitingPacket {
	var out []waitingPacket
	for _, p := range w.packets {
		if !p.segment.Opens() && now-p.arrivedMs <= maxSearchWaitMs {
			out = append(out, p)
		}
	}
	return out
}

// mustWait reports whether the packet has to be stored after the decision. collected reports whether the control VM that gave the
// roster had collected reports.
func mustWait(d passthrough.Decision, collected bool) bool {
	if collected {
		return false
	}
	switch d.Reason {
	case passthrough.ReasonNoTable, passthrough.ReasonUnsettled, passthrough.ReasonSearch, passthrough.ReasonAskMany:
		return true
	case passthrough.ReasonNoPeer:
		return d.Verdict == passthrough.Drop
	default:
		return false
	}
}
