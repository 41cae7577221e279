package authority

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
)

// A control VM must exchange records with the seeds of its current settings, not only with those of its start: once they have all
// been replaced, and the records of the other control VMs have expired in a partition, nobody would call it again. The same control
// VMs must be asked to join the group.
func TestNewSeedsAreCalled(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(host byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
	}
	a := New(Config{Name: "control", Self: at(1), Seeds: []netip.AddrPort{at(1), at(2), at(3)}, Logger: log.NewNopLogger()})
	g.Expect(a.dueContacts()).To(gomega.Equal([]netip.AddrPort{at(2), at(3)}))
	a.SetSeeds([]netip.AddrPort{at(4), at(5), at(1)})
	g.Expect(a.dueContacts()).To(gomega.Equal([]netip.AddrPort{at(4), at(5)}))
	a.store.Put(time.Now(), roster.Record{Kind: roster.KindControl, Address: at(6).Addr()})
	g.Expect(a.dueContacts()).To(gomega.Equal([]netip.AddrPort{at(6), at(4), at(5)}))
	g.Expect(a.allContacts()).To(gomega.ConsistOf(at(2), at(3), at(4), at(5), at(6)))
}
