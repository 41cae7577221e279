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

// fakeLister answers List with a code and a leader, and everything else with an empty answer.
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

// Guards against a client that forgets a leader outside its own list because the next address on the list is dead, as
// after the replacement of a control VM and the loss of another.
func TestFollowsLeaderHint(t *testing.T) {
	g := NewWithT(t)
	gone := httptest.NewServer(nil)
	dead := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	leader := serveLister(t, &fakeLister{})
	follower := serveLister(t, &fakeLister{code: result.NotLeader, leader: leader})
	unaware := serveLister(t, &fakeLister{code: result.NotLeader})
	for _, servers := range [][]string{{dead, follower, dead}, {follower, unaware}, {follower}} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		list, err := operator.New(servers, "http", http.DefaultClient).List(ctx, false)
		cancel()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Revision).To(BeEquivalentTo(7))
	}
}
