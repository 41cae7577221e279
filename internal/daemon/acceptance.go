package daemon

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/announce"
	"github.com/plantainseam/plantainseam/internal/model"
)

// acceptance decides whether an agent may take new flows. While it has no lease, other agents may have replaced it as
// the home of its buckets, so after a renewal it first needs a configuration that is at least as new as that renewal.
type acceptance struct {
	leased bool           // at the last look
	need   model.Revision // newest committed revision at the renewal that ended the last gap
}

// allowed tells whether new flows may be taken under a lease and with the revision in force.
func (a *acceptance) allowed(l announce.Lease, now time.Time, inForce model.Revision) bool {
	valid := l.Valid(now)
	if valid && !a.leased {
		a.need = l.Revision
	}
	a.leased = valid
	return valid && inForce >= a.need
}
