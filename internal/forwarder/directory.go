package forwarder

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// registrationInterval is the interval at which an agent registers new flows with their directory nodes. Flows that have
// just opened are found by rank until then.
const registrationInterval = 200 * time.Millisecond

// registerFlows registers the flows of the upstream with their directory nodes.
func (a *Agent) registerFlows() {
	a.mu.Lock()
	registrations := a.machine.Registrations(a.now())
	a.mu.Unlock()
	var out []byte
	for _, r := range registrations {
		out = passthrough.AppendRegistration(out[:0], r.Flows)
		a.send(out, r.Node.AddrPort())
	}
}

// handleDirectory processes a message about the directory or a sweep. It returns false for other messages.
func (a *Agent) handleDirectory(m passthrough.Datagram, from passthrough.Endpoint, out []byte) bool {
	switch {
	case m.Registered != nil:
		a.mu.Lock()
		a.machine.HandleRegistration(a.now(), from, m.Registered)
		a.mu.Unlock()
	case m.FlowNotHeld != nil:
		a.mu.Lock()
		a.machine.HandleFlowNotHeld(from, *m.FlowNotHeld)
		a.mu.Unlock()
	case m.Searched != nil:
		a.mu.Lock()
		s, d := a.machine.HandleSectionSearched(a.now(), *m.Searched)
		a.mu.Unlock()
		a.execute(s, d, nil, out)
	default:
		return false
	}
	return true
}
