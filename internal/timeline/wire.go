package timeline

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/timelinepb"
)

// maxPage bounds the events of one answer.
const maxPage = 2000

// Server serves the events of a Recorder over twirp.
type Server struct{ Recorder *Recorder }

// Events implements timelinepb.Timeline.
func (s Server) Events(_ context.Context, req *timelinepb.EventsRequest) (*timelinepb.EventsResponse, error) {
	limit := int(req.Limit)
	if limit == 0 || limit > maxPage {
		limit = maxPage
	}
	events, dropped := s.Recorder.Events(req.AfterSequence, limit)
	resp := &timelinepb.EventsResponse{Dropped: dropped}
	for _, e := range events {
		resp.Events = append(resp.Events, toWire(e))
	}
	return resp, nil
}

// Fetch reads every event that a process still holds, and how many it has overwritten.
func Fetch(ctx context.Context, c timelinepb.Timeline) ([]Event, uint64, error) {
	var out []Event
	var after, dropped uint64
	for {
		resp, err := c.Events(ctx, &timelinepb.EventsRequest{AfterSequence: after})
		if err != nil {
			return out, dropped, fmt.Errorf("fetch events: %w", err)
		}
		dropped += resp.Dropped
		if len(resp.Events) == 0 {
			return out, dropped, nil
		}
		for _, e := range resp.Events {
			event, err := fromWire(e)
			if err != nil {
				return out, dropped, err
			}
			out = append(out, event)
			after = e.Sequence
		}
	}
}

func toWire(e Event) *timelinepb.Event {
	return &timelinepb.Event{
		Sequence:   e.Sequence,
		WallUnixMs: e.Time.Wall,
		Logical:    e.Time.Logical,
		Process:    e.Process.String(),
		Kind:       string(e.Kind),
		Service:    uint32(e.Service),
		Host:       string(e.Host),
		Intent:     e.Intent,
		Caller:     e.Caller,
		Code:       uint32(e.Code),
		Detail:     e.Detail,
	}
}

func fromWire(e *timelinepb.Event) (Event, error) {
	host, number, _ := strings.Cut(e.Process, "/")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Event{}, fmt.Errorf("event %d: process %q: %w", e.Sequence, e.Process, err)
	}
	return Event{
		Sequence: e.Sequence,
		Time:     hlc.Timestamp{Wall: e.WallUnixMs, Logical: e.Logical},
		Process:  model.HostRef{Host: model.HostID(host), Incarnation: model.Incarnation(incarnation)},
		Kind:     Kind(e.Kind),
		Service:  model.ServiceID(e.Service),
		Host:     model.HostID(e.Host),
		Intent:   e.Intent,
		Caller:   e.Caller,
		Code:     result.Code(e.Code),
		Detail:   e.Detail,
	}, nil
}
