package daemon

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/announce"
	"github.com/plantainseam/plantainseam/internal/model"
)

// newFlowPolicy decides whether an agent may accept new flows. While the agent has no valid lease, the control VMs may
// assign its home buckets to other agents. After such a gap it therefore accepts new flows only once a configuration is
// in force that is at least as new as the lease that ended the gap.
type newFlowPolicy struct {
	leased           bool           // whether the lease was valid at the previous call of allowed
	requiredRevision model.Revision // newest committed revision when the lease became valid again
}

// allowed reports whether the agent may accept new flows with the given lease and the given revision in force.
func (a *newFlowPolicy) allowed(l announce.Lease, now time.Time, inForce model.Revision) bool {
	valid := l.Valid(now)
	if valid && !a.leased {
		a.requiredRevision = l.Revision
	}
	a.leased = valid
	return valid && inForce >= a.requiredRevision
}
