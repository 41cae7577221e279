package request

// Counts are totals since the start of the machine.
type Counts struct {
	Dispatched uint64 // runs on the local upstream
	HandedOver uint64 // requests offered to other agents
	Resent     uint64 // re-sends within the retry budget
	Joined     uint64 // requests that waited for the run of another send with the same key
	Ejections  uint64 // ejections of a local upstream, failed probes included
}

// Stats are the counters and current sizes of a machine.
type Stats struct {
	Counts
	Running       int
	Queued        int
	Binding       int
	AtOtherAgents int // requests that joined a run of another agent or were handed over
	Retained      int // ended work items kept for retries
	Unrecorded    int // ended or refused work items that the log has not recorded yet
	RetainedBytes int
	Ejected       int // services whose local upstream is ejected
}

// Stats returns the counters and current sizes.
func (m *Machine) Stats() Stats {
	s := Stats{
		Counts:        m.counts,
		Running:       m.running,
		Binding:       m.binding,
		Retained:      len(m.ended),
		RetainedBytes: m.retained.bytes,
	}
	for _, svc := range m.ring {
		s.Queued += len(svc.queue)
		if _, ejected := m.Ejected(svc.id); ejected {
			s.Ejected++
		}
	}
	for _, w := range m.works {
		switch w.state {
		case stateJoining, stateHandingOver:
			s.AtOtherAgents++
		case stateReleasing:
			s.Unrecorded++
		}
	}
	for _, w := range m.ended {
		if w.state == stateFinishing {
			s.Unrecorded++
		}
	}
	return s
}
