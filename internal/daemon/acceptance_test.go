package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/announce"
	"github.com/plantainseam/plantainseam/internal/model"
)

// Guards against an agent that accepts new flows without a lease, or for home buckets that were assigned to other agents
// while its lease had expired.
var _ = It("accepts new flows only with a lease and a configuration at least as new as the first lease after a gap", func() {
	start := time.Unix(1000, 0)
	lease := func(until time.Duration, r model.Revision) announce.Lease {
		return announce.Lease{Until: start.Add(until), Revision: r}
	}
	var a newFlowPolicy
	steps := []struct {
		what    string
		at      time.Duration
		lease   announce.Lease
		inForce model.Revision
		want    bool
	}{
		{"no lease yet", 0, announce.Lease{}, 0, false},
		{"first lease, configuration not in force", time.Second, lease(6*time.Second, 4), 3, false},
		{"configuration in force", 2 * time.Second, lease(7*time.Second, 4), 4, true},
		{"renewed without a gap names a newer revision", 3 * time.Second, lease(8*time.Second, 9), 4, true},
		{"lease expired", 8 * time.Second, lease(8*time.Second, 9), 4, false},
		{"renewed after the gap, old configuration", 20 * time.Second, lease(25*time.Second, 12), 11, false},
		{"renewed again, still the old configuration", 21 * time.Second, lease(26*time.Second, 13), 11, false},
		{"configuration of the renewal in force", 22 * time.Second, lease(27*time.Second, 13), 12, true},
	}
	for _, s := range steps {
		Expect(a.allowed(s.lease, start.Add(s.at), s.inForce)).To(Equal(s.want), s.what)
	}
})
