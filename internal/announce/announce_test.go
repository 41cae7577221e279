package announce

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// fakeControl answers announcements with the function answer and counts them.
type fakeControl struct {
	answer func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error)
	calls  int
}

func (f *fakeControl) Announce(_ context.Context, r *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	f.calls++
	return f.answer(r)
}

// start serves f over HTTP and returns its address.
func start(f *fakeControl) string {
	server := httptest.NewServer(memberpb.NewMembershipServer(f))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// fakeSource records the acknowledged sequences.
type fakeSource struct{ acknowledged []uint64 }

func (s *fakeSource) Announcement() *memberpb.AnnounceRequest {
	return &memberpb.AnnounceRequest{Host: "u1"}
}
func (s *fakeSource) Acknowledged(sequence uint64) { s.acknowledged = append(s.acknowledged, sequence) }

func accept(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	return &memberpb.AnnounceResponse{LeaseMs: 5000, Revision: 7}, nil
}

func fail(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	return nil, errors.New("unreachable")
}

func newClient(now func() time.Time, servers ...string) (*Client, *fakeSource) {
	source := &fakeSource{}
	return NewClient(Config{
		Servers: servers, Scheme: "http", HTTP: http.DefaultClient, Source: source,
		Logger: log.NewNopLogger(), Now: now,
	}), source
}

// Guards against a lease that ends later at the host than at the control VMs because the answer was delayed.
var _ = It("starts a lease when the call is sent", func() {
	now := time.Unix(1000, 0)
	slow := &fakeControl{answer: func(r *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
		now = now.Add(3 * time.Second)
		return accept(r)
	}}
	client, source := newClient(func() time.Time { return now }, start(slow))
	client.Announce(context.Background())
	Expect(client.Lease().Until).To(Equal(time.Unix(1005, 0)))
	Expect(client.Lease().Revision).To(BeEquivalentTo(7))
	Expect(source.acknowledged).To(Equal([]uint64{1}))
	Expect(client.Lease().Valid(time.Unix(1005, 0))).To(BeFalse())
})

// Guards against an announcement that does not reach the leader because the first control VM is down, is not the leader,
// or names a leader that is down.
var _ = Describe("finds the leader", func() {
	leader := func() *fakeControl { return &fakeControl{answer: accept} }
	cases := map[string]func(leaderAddress string) *fakeControl{
		"first is down": func(string) *fakeControl { return &fakeControl{answer: fail} },
		"first is a follower": func(address string) *fakeControl {
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader), Leader: address}, nil
			}}
		},
		"first knows no leader": func(string) *fakeControl {
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader)}, nil
			}}
		},
		"first names a leader that is down": func(_ string) *fakeControl {
			downLeader := start(&fakeControl{answer: fail})
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader), Leader: downLeader}, nil
			}}
		},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			first := cases[name]
			real := leader()
			address := start(real)
			client, source := newClient(time.Now, start(first(address)), address)
			client.Announce(context.Background())
			Expect(real.calls).To(Equal(1))
			Expect(source.acknowledged).To(HaveLen(1))
		})
	}
})

// Guards against a refused host that gets a lease, and against a host that loses its lease because it may not carry one
// of its services: the answer then has both the error code and a lease.
var _ = DescribeTable("accepts the lease in the answer", func(leaseMs uint32, valid bool, acknowledged int) {
	refuse := &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
		return &memberpb.AnnounceResponse{Code: uint32(result.AnnounceNotPermitted), LeaseMs: leaseMs}, nil
	}}
	client, source := newClient(time.Now, start(refuse))
	client.Announce(context.Background())
	Expect(client.Lease().Valid(time.Now())).To(Equal(valid))
	Expect(source.acknowledged).To(HaveLen(acknowledged))
	Expect(refuse.calls).To(Equal(1))
},
	Entry("host is refused", uint32(0), false, 0),
	Entry("host may carry some of its services", uint32(5000), true, 1),
)

// Guards against a retired host that never stops after SIGTERM because it ignores Drained in an answer that refuses it.
var _ = It("accepts Drained from an answer that refuses the host", func() {
	refuse := &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
		return &memberpb.AnnounceResponse{Code: uint32(result.AnnounceNotPermitted), Drained: true}, nil
	}}
	client, source := newClient(time.Now, start(refuse))
	client.Announce(context.Background())
	Expect(client.Lease().Drained).To(BeTrue())
	Expect(client.Lease().Valid(time.Now())).To(BeFalse())
	Expect(source.acknowledged).To(BeEmpty())
})
