package forwarder

import (
	"bytes"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// Bounds of the packets that wait at an entry that has just started.
const (
	// openingPatienceMs is how long an opening packet may wait: a caller gives up after 1400 ms without an answer, and a
	// flow that opens later than that is of no use to it.
	openingPatienceMs = 1200
	// searchPatienceMs is how long a packet of an established flow may wait. After the longest pause between two repeats
	// of a caller (1600 ms) a newer one has arrived.
	searchPatienceMs = 1600
	// maxWaitingBytes bounds the memory of waiting packets: 0.5 MB hold the requests of 1000 flows.
	maxWaitingBytes = 512 << 10
	// repeatMs is the pause before the packets of established flows are sent a second time: agents learn up to one report
	// interval later than this entry that the roster is settled.
	repeatMs = 200
)

// waiting holds the last packet of each flow for which an entry has no declaration or no complete roster yet. They are
// sent as soon as it has; the next repeat of the caller may be 1.6 s away.
type waiting struct {
	packets map[passthrough.Flow]waitingPacket
	bytes   int
}

type waitingPacket struct {
	content []byte
	segment passthrough.Segment
	sinceMs int64
}

func newWaiting() *waiting { return &waiting{packets: map[passthrough.Flow]waitingPacket{}} }

// keep stores a copy of the packet in place of an earlier one of its flow. Beyond the bound it is left to the caller's
// repeat.
func (w *waiting) keep(now int64, s passthrough.Segment, packet []byte) {
	w.forget(s.Flow)
	if w.bytes+len(packet) > maxWaitingBytes {
		return
	}
	w.bytes += len(packet)
	w.packets[s.Flow] = waitingPacket{content: bytes.Clone(packet), segment: s, sinceMs: now}
}

// forget drops the packet of a flow.
func (w *waiting) forget(f passthrough.Flow) {
	if p, ok := w.packets[f]; ok {
		w.bytes -= len(p.content)
		delete(w.packets, f)
	}
}

// takeOpening removes and returns the opening packets whose callers still wait.
func (w *waiting) takeOpening(now int64) []waitingPacket {
	var out []waitingPacket
	for f, p := range w.packets {
		if !p.segment.Opens() {
			continue
		}
		w.forget(f)
		if now-p.sinceMs <= openingPatienceMs {
			out = append(out, p)
		}
	}
	return out
}

// established returns the packets of established flows that no newer one has replaced.
func (w *waiting) established(now int64) []waitingPacket {
	var out []waitingPacket
	for _, p := range w.packets {
		if !p.segment.Opens() && now-p.sinceMs <= searchPatienceMs {
			out = append(out, p)
		}
	}
	return out
}

// waits reports whether the packet is to be kept after the decision, given whether the roster is settled.
func waits(d passthrough.Decision, settled bool) bool {
	if settled {
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
