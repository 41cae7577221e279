package roster_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

var start = time.Unix(1_000_000, 0)

func agent(last byte, flows uint32) roster.Record {
	return roster.Record{
		Kind: roster.KindAgent, Address: netip.AddrFrom4([4]byte{10, 0, 0, last}), TunnelPort: 8000, FailureDomain: "d",
		Service: "s", State: roster.StateActive, Slots: 3, Flows: flows, Busy: 1, Warmup: time.Second, Version: 7,
	}
}

// Control VMs receive reports of a process at different times, directly or from each other. The report heard last must win.
func TestLatestReportHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := roster.NewStore(start, noQuorum)
	s.Put(start, agent(1, 5))
	second := agent(1, 6)
	second.Age = 300 * time.Millisecond
	s.Put(start.Add(100*time.Millisecond), second) // heard 200 ms before the first record
	list := s.List(start.Add(200 * time.Millisecond))
	g.Expect(list).To(gomega.HaveLen(1))
	g.Expect(list[0].Flows).To(gomega.Equal(uint32(5)))
	g.Expect(list[0].Age).To(gomega.Equal(200 * time.Millisecond))
}

// A report must not replace one with a higher sequence number from the same start of a process, in whatever order and by
// whatever path they arrive. After a restart, sequence numbers begin again. Without this check, a report from before the
// upstream was heard stayed in force for 0.4 s.
func TestOvertakenReportDoesNotHold(t *testing.T) {
	numbered := func(process, sequence uint64, flows uint32, age time.Duration) roster.Record {
		r := agent(1, flows)
		r.Process, r.Sequence, r.Age = process, sequence, age
		return r
	}
	for _, c := range []struct {
		name    string
		records []roster.Record // 100 ms apart
		flows   uint32
	}{
		{"late report", []roster.Record{numbered(7, 2, 20, 0), numbered(7, 1, 10, 0)}, 20},
		{"late report by another control VM", []roster.Record{numbered(7, 2, 20, 0), numbered(7, 1, 10, 50*time.Millisecond)}, 20},
		{"newer report by another control VM that heard it first", []roster.Record{numbered(7, 1, 10, 0), numbered(7, 2, 20, 300*time.Millisecond)}, 20},
		{"new start", []roster.Record{numbered(7, 9, 20, 0), numbered(8, 1, 30, 0)}, 30},
		{"old start by another control VM", []roster.Record{numbered(8, 1, 30, 0), numbered(7, 9, 20, 300*time.Millisecond)}, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := roster.NewStore(start, noQuorum)
			for i, r := range c.records {
				s.Put(start.Add(time.Duration(i)*100*time.Millisecond), r)
			}
			g.Expect(s.List(start.Add(time.Second))[0].Flows).To(gomega.Equal(c.flows))
		})
	}
}

// The record of a silent process must outlast a freeze, because packets of its flows must not be answered with a reset. The
// record of a process that stops without an upstream expires soon; that of one that restarts beside a live upstream stays.
func TestExpiry(t *testing.T) {
	restarting, gone := agent(2, 0), agent(3, 0)
	restarting.Leaving = true
	gone.Leaving, gone.State = true, roster.StateVacant
	for _, c := range []struct {
		name   string
		record roster.Record
		after  time.Duration
		stays  bool
	}{
		{"frozen for 8 s", agent(1, 0), 8 * time.Second, true},
		{"silent for 13 s", agent(1, 0), 13 * time.Second, false},
		{"restarting", restarting, 8 * time.Second, true},
		{"gone", gone, 4 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := roster.NewStore(start, noQuorum)
			s.Put(start, c.record)
			g.Expect(len(s.List(start.Add(c.after))) == 1).To(gomega.Equal(c.stays))
		})
	}
}

// The roster of a control VM that has just started must not count as settled, nor be used to place flows while new agents
// still report.
func TestSettledAndQuiet(t *testing.T) {
	g := gomega.NewWithT(t)
	s := roster.NewStore(start, noQuorum)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(s.Quiet(at(200))).To(gomega.BeFalse())
	s.Put(at(200), agent(1, 0))
	s.Put(at(400), agent(1, 0))
	g.Expect(s.Quiet(at(440))).To(gomega.BeFalse())
	g.Expect(s.Quiet(at(460))).To(gomega.BeTrue())
	g.Expect(s.Settled(at(1100))).To(gomega.BeFalse())
	g.Expect(s.Settled(at(1300))).To(gomega.BeTrue())
	s.Put(at(1290), agent(2, 0))
	g.Expect(s.Quiet(at(1300))).To(gomega.BeTrue())
}

type declarations struct{ version uint64 }

func (d declarations) Latest() (uint64, []byte) { return d.version, []byte("content") }
func (d declarations) Current() bool            { return true }

// A process gets the declaration only if it holds an older one, a new control VM learns the records that a reporting process
// passes on, and entries are not listed.
func TestSync(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	store := roster.NewStore(start, noQuorum)
	server := roster.NewServer(store, declarations{7}, func() time.Time { return now })
	entry := roster.Record{Kind: roster.KindEntry, Address: netip.AddrFrom4([4]byte{10, 0, 0, 9})}
	known := agent(1, 4)
	known.Age = time.Second
	response, err := server.Sync(context.Background(), &pb.SyncRequest{
		Self: roster.ToWire(entry), Declared: 6, Known: []*pb.Record{roster.ToWire(known)},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.GetDeclaration()).To(gomega.Equal([]byte("content")))
	g.Expect(response.GetRecords()).To(gomega.HaveLen(1))
	g.Expect(roster.FromWire(response.GetRecords()[0])).To(gomega.Equal(known))
	response, err = server.Sync(context.Background(), &pb.SyncRequest{Self: roster.ToWire(entry), Declared: 7})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.GetDeclaration()).To(gomega.BeEmpty())
}

// Draining upstreams and upstreams of leaving agents must not look active to entries.
func TestPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	draining, leaving, gone := agent(2, 0), agent(3, 0), agent(4, 0)
	draining.State = roster.StateDraining
	leaving.Leaving = true
	gone.State = roster.StateVacant
	peers := roster.Peers([]roster.Record{agent(1, 0), draining, leaving, gone, {Kind: roster.KindControl}})
	g.Expect(peers).To(gomega.HaveLen(3))
	g.Expect([]bool{peers[0].Active, peers[1].Active, peers[2].Active}).To(gomega.Equal([]bool{true, false, false}))
}

// noQuorum is the quorum function of a control VM that does not know its group.
func noQuorum() int { return 0 }
