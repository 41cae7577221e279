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

// fakeControl is a control VM with configurable responses to Plan and Get. Other methods panic.
type fakeControl struct {
	intentpb.Intents
	plan func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error)
	get  func() *intentpb.Intent
	keys []string // idempotency keys of the Plan calls
}

func (f *fakeControl) Plan(_ context.Context, r *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	f.keys = append(f.keys, r.Key)
	return f.plan(r)
}

func (f *fakeControl) Get(context.Context, *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	return &intentpb.IntentResponse{Intent: f.get()}, nil
}

func startControl(f *fakeControl) string {
	server := httptest.NewServer(intentpb.NewIntentsServer(f))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func acceptPlan(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	return &intentpb.IntentResponse{Intent: &intentpb.Intent{Id: 7}}, nil
}

func respondWith(c result.Code, leader string) func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	return func(*intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
		return &intentpb.IntentResponse{Code: uint32(c), Detail: "why", Leader: leader}, nil
	}
}

// Guards against a client that fails to find the leader, and against a retry after a lost response that submits the intent
// under another key.
var _ = Describe("client", func() {
	ctx := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		return ctx
	}
	It("follows the leader hint of a follower", func() {
		leader := &fakeControl{plan: acceptPlan}
		address := startControl(leader)
		follower := &fakeControl{plan: respondWith(result.NotLeader, address)}
		client := operator.New([]string{startControl(follower)}, "http", http.DefaultClient)
		in, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(in.Id).To(BeEquivalentTo(7))
		Expect(leader.keys).To(Equal([]string{"k"}))
	})
	It("retries with the same key after a lost response", func() {
		calls := 0
		flaky := &fakeControl{plan: func(r *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
			if calls++; calls < 3 {
				return nil, errors.New("connection lost")
			}
			return acceptPlan(r)
		}}
		client := operator.New([]string{startControl(flaky)}, "http", http.DefaultClient)
		_, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(flaky.keys).To(Equal([]string{"k", "k", "k"}))
	})
	It("does not retry a refused call", func() {
		refusing := &fakeControl{plan: respondWith(result.PlanLastUpstream, "")}
		client := operator.New([]string{startControl(refusing)}, "http", http.DefaultClient)
		_, err := client.Plan(ctx(), "k", &intentpb.Spec{})
		Expect(result.CodeOf(err)).To(Equal(result.PlanLastUpstream))
		Expect(refusing.keys).To(HaveLen(1))
	})
	It("reports that no control VM answered", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		unreachable := strings.TrimPrefix(server.URL, "http://")
		server.Close()
		short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := operator.New([]string{unreachable}, "http", http.DefaultClient).Plan(short, "k", &intentpb.Spec{})
		Expect(result.CodeOf(err)).To(Equal(result.NoQuorum))
	})
	It("waits for the end of an intent", func() {
		states := []intentpb.State{intentpb.State_STATE_RUNNING, intentpb.State_STATE_PAUSED, intentpb.State_STATE_DONE}
		f := &fakeControl{get: func() *intentpb.Intent {
			in := &intentpb.Intent{Id: 7, State: states[0]}
			states = states[1:]
			return in
		}}
		in, err := operator.New([]string{startControl(f)}, "http", http.DefaultClient).Await(ctx(), 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(in.State).To(Equal(intentpb.State_STATE_DONE))
	})
})
