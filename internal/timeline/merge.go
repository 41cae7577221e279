package timeline

import (
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Filter selects events. Zero fields match everything.
type Filter struct {
	Service model.ServiceID
	Host    model.HostID // matches the event's host and the process that recorded it
	Intent  uint64
	Caller  string
	From    time.Time
	To      time.Time // exclusive
}

// Matches tells whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	at := time.UnixMilli(e.Time.Wall)
	switch {
	case f.Service != 0 && e.Service != f.Service:
		return false
	case f.Host != "" && e.Host != f.Host && e.Process.Host != f.Host:
		return false
	case f.Intent != 0 && e.Intent != f.Intent:
		return false
	case f.Caller != "" && e.Caller != f.Caller:
		return false
	case !f.From.IsZero() && at.Before(f.From):
		return false
	case !f.To.IsZero() && !at.Before(f.To):
		return false
	}
	return true
}

// Merge returns the selected events of several processes in causal order. Events with equal timestamps are ordered by
// process, so that the result does not depend on the order of the inputs.
func Merge(f Filter, rings ...[]Event) []Event {
	var out []Event
	for _, ring := range rings {
		for _, e := range ring {
			if f.Matches(e) {
				out = append(out, e)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

func less(a, b Event) bool {
	if a.Time != b.Time {
		return a.Time.Before(b.Time)
	}
	if a.Process != b.Process {
		return a.Process.String() < b.Process.String()
	}
	return a.Sequence < b.Sequence
}
