package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/operator"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// fakeControl is a control VM whose answers a case sets. Methods without an answer fail.
type fakeControl struct {
	intentpb.Intents
	plan func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error)
	get  func() *intentpb.Intent
	keys []string // of the Plan calls
}

func (f *fakeControl) Plan(_ context.Context, r *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	f.keys = append(f.keys, r.Key)
	return f.plan(r)
}

func (f *fakeControl) Get(context.Context, *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	return &intentpb.IntentResponse{Intent: f.get()}, nil
}

func start(f *fakeControl) string {
	server := httptest.NewServer(intentpb.NewIntentsServer(f))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func planned(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	return &intentpb.IntentResponse{Intent: &intentpb.Intent{Id: 7}}, nil
}

func code(c result.Code, leader string) func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	return func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
		return &intentpb.IntentResponse{Code: uint32(c), Detail: "why", Leader: leader}, nil
	}
}

// Guards against an operator who has to find the leader, and against an intent that is submitted under another key when
// its answer was lost.
var _ = Describe("client", func() {
	ctx := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		return ctx
	}
	It("follows the hint of a follower", func() {
		leader := &fakeControl{plan: planned}
		address := start(leader)
		follower := &fakeControl{plan: code(result.NotLeader, address)}
		client := operator.New([]string{start(follower)}, "http", http.DefaultClient)
		in, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(in.Id).To(BeEquivalentTo(7))
		Expect(leader.keys).To(Equal([]string{"k"}))
	})
	It("resends with the same key after a lost answer", func() {
		calls := 0
		flaky := &fakeControl{plan: func(r *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
			if calls++; calls < 3 {
				return nil, errors.New("connection lost")
			}
			return planned(r)
		}}
		client := operator.New([]string{start(flaky)}, "http", http.DefaultClient)
		_, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(flaky.keys).To(Equal([]string{"k", "k", "k"}))
	})
	It("does not repeat a refusal", func() {
		refusing := &fakeControl{plan: code(result.PlanLastUpstream, "")}
		client := operator.New([]string{start(refusing)}, "http", http.DefaultClient)
		_, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(result.CodeOf(err)).To(Equal(result.PlanLastUpstream))
		Expect(refusing.keys).To(HaveLen(1))
	})
	It("says that no control VM answered", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		gone := strings.TrimPrefix(server.URL, "http://")
		server.Close()
		short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := operator.New([]string{gone}, "http", http.DefaultClient).Plan(short, "k", &intentpb.Spec{})
		Expect(result.CodeOf(err)).To(Equal(result.NoQuorum))
	})
	It("waits for the end of an intent", func() {
		states := []intentpb.State{intentpb.State_STATE_RUNNING, intentpb.State_STATE_PAUSED, intentpb.State_STATE_DONE}
		f := &fakeControl{get: func() *intentpb.Intent {
			in := &intentpb.Intent{Id: 7, State: states[0]}
			states = states[1:]
			return in
		}}
		in, err := operator.New([]string{start(f)}, "http", http.DefaultClient).Await(ctx(), 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(in.State).To(Equal(intentpb.State_STATE_DONE))
	})
})
