package announce

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// fakeControl answers announcements as its table says.
type fakeControl struct {
	answer func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error)
	calls  int
}

func (f *fakeControl) Announce(_ context.Context, r *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	f.calls++
	return f.answer(r)
}

func start(t *testing.T, f *fakeControl) string {
	server := httptest.NewServer(memberpb.NewMembershipServer(f))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

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

// Guards against a lease that runs longer at the host than at the control VMs because an answer was slow.
func TestLeaseCountsFromTheCall(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	slow := &fakeControl{answer: func(r *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
		now = now.Add(3 * time.Second)
		return accept(r)
	}}
	client, source := newClient(func() time.Time { return now }, start(t, slow))
	client.Announce(context.Background())
	g.Expect(client.Lease().Until).To(Equal(time.Unix(1005, 0)))
	g.Expect(client.Lease().Revision).To(BeEquivalentTo(7))
	g.Expect(source.acknowledged).To(Equal([]uint64{1}))
	g.Expect(client.Lease().Valid(time.Unix(1005, 0))).To(BeFalse())
}

// Guards against an announcement that never arrives because the first control VM is down, not the leader, or names a
// leader that is gone.
func TestFindsTheLeader(t *testing.T) {
	leader := func() *fakeControl { return &fakeControl{answer: accept} }
	cases := map[string]func(t *testing.T, leaderAddress string) *fakeControl{
		"first is down": func(*testing.T, string) *fakeControl { return &fakeControl{answer: fail} },
		"first follows": func(_ *testing.T, address string) *fakeControl {
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader), Leader: address}, nil
			}}
		},
		"first knows no leader": func(*testing.T, string) *fakeControl {
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader)}, nil
			}}
		},
		"first names one that is gone": func(t *testing.T, _ string) *fakeControl {
			gone := start(t, &fakeControl{answer: fail})
			return &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
				return &memberpb.AnnounceResponse{Code: uint32(result.NotLeader), Leader: gone}, nil
			}}
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			real := leader()
			address := start(t, real)
			client, source := newClient(time.Now, start(t, first(t, address)), address)
			client.Announce(context.Background())
			g.Expect(real.calls).To(Equal(1))
			g.Expect(source.acknowledged).To(HaveLen(1))
		})
	}
}

// Guards against a refused host that keeps a lease.
func TestRefusalGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	refuse := &fakeControl{answer: func(*memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
		return &memberpb.AnnounceResponse{Code: uint32(result.AnnounceNotPermitted), LeaseMs: 5000}, nil
	}}
	client, source := newClient(time.Now, start(t, refuse))
	client.Announce(context.Background())
	g.Expect(client.Lease().Valid(time.Now())).To(BeFalse())
	g.Expect(source.acknowledged).To(BeEmpty())
	g.Expect(refuse.calls).To(Equal(1))
}
