package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/operator"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// fakeLister answers List with a code and a leader. Other methods panic.
type fakeLister struct {
	intentpb.Intents
	code   result.Code
	leader string
}

func (f *fakeLister) List(context.Context, *intentpb.ListRequest) (*intentpb.ListResponse, error) {
	return &intentpb.ListResponse{Code: uint32(f.code), Leader: f.leader, Revision: 7}, nil
}

func serveLister(t *testing.T, f *fakeLister) string {
	server := httptest.NewServer(intentpb.NewIntentsServer(f))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a client that forgets a leader outside its own address list when the next address on the list is
// unreachable, as after one control VM was replaced and another lost.
func TestFollowsLeaderHint(t *testing.T) {
	g := NewWithT(t)
	closed := httptest.NewServer(nil)
	unreachable := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	leader := serveLister(t, &fakeLister{})
	follower := serveLister(t, &fakeLister{code: result.NotLeader, leader: leader})
	withoutHint := serveLister(t, &fakeLister{code: result.NotLeader})
	for _, servers := range [][]string{{unreachable, follower, unreachable}, {follower, withoutHint}, {follower}} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		list, err := operator.New(servers, "http", http.DefaultClient).List(ctx, false)
		cancel()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Revision).To(BeEquivalentTo(7))
	}
}
