package passthrough

// halfOpenTTLMs is how long a flow counts as load between the upstream's answer to the opening packet and the caller's
// confirmation. The confirmation takes a round trip, and a lost one is sent again after 200 ms. A flow that is not
// confirmed by then belongs to a caller that has given up or uses another upstream: after an outage most opening packets
// are such ones, and upstreams that received them first would appear busy until the flows expire.
const halfOpenTTLMs = 500

// halfOpenFlow is a flow that the upstream has accepted and the caller has not confirmed yet.
type halfOpenFlow struct {
	flow       Flow
	acceptedMs int64
}

// counts reports whether the flow is part of the load of the upstream.
func (f *agentFlow) counts() bool { return f.held && !f.closing && !f.abandoned }

// recount updates the number of open flows after a change of f that counted as load before or not.
func (a *Agent) recount(f *agentFlow, before bool) {
	switch after := f.counts(); {
	case after && !before:
		a.openCount++
	case before && !after:
		a.openCount--
	}
}

// abandonHalfOpen removes flows from the load whose callers have not confirmed them in time. It must be called before
// the load is used.
func (a *Agent) abandonHalfOpen(now int64) {
	n := 0
	for ; n < len(a.halfOpen) && now-a.halfOpen[n].acceptedMs >= halfOpenTTLMs; n++ {
		f := a.flows[a.halfOpen[n].flow]
		if f == nil || !f.halfOpen {
			continue
		}
		before := f.counts()
		f.abandoned = true
		a.recount(f, before)
	}
	a.halfOpen = a.halfOpen[n:]
	if len(a.halfOpen) == 0 {
		a.halfOpen = nil // releases the array
	}
}

// confirm records that the caller uses a flow that the upstream has accepted.
func (a *Agent) confirm(f *agentFlow) {
	before := f.counts()
	f.halfOpen, f.abandoned = false, false
	a.recount(f, before)
}
