// Package operator is the client side of the operators' API: it finds the leader among the control VMs, resends calls
// whose answer was lost, and turns result codes into errors. Resending is safe because intents carry the operator's key
// and every other call is idempotent.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/timelinepb"
)

const (
	callTimeout = 6 * time.Second
	retryPause  = 200 * time.Millisecond
)

// Client calls the control VMs.
type Client struct {
	servers []string // RPC addresses
	scheme  string
	http    *http.Client
	leader  string
}

// New returns a client; scheme is http or https. It is used by one goroutine.
func New(servers []string, scheme string, c *http.Client) *Client {
	return &Client{servers: servers, scheme: scheme, http: c}
}

// answer is what every response of the Intents service has.
type answer interface {
	GetCode() uint32
	GetDetail() string
	GetLeader() string
}

// call tries the control VMs until one has an answer or ctx ends.
func (c *Client) call(ctx context.Context, f func(context.Context, intentpb.Intents) (answer, error)) error {
	last := result.Errorf(result.NoQuorum, "no control VM answered")
	for {
		for _, address := range c.order() {
			done, err := c.try(ctx, address, f)
			if done {
				return err
			}
			last = err
			if ctx.Err() != nil {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryPause):
		}
	}
}

// order returns the control VMs with the presumed leader first.
func (c *Client) order() []string {
	if c.leader == "" {
		return c.servers
	}
	out := []string{c.leader}
	for _, address := range c.servers {
		if address != c.leader {
			out = append(out, address)
		}
	}
	return out
}

// try asks one control VM and tells whether its answer is final.
func (c *Client) try(ctx context.Context, address string, f func(context.Context, intentpb.Intents) (answer, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := f(ctx, intentpb.NewIntentsProtobufClient(c.scheme+"://"+address, c.http))
	if err != nil {
		c.follow(address, "")
		return false, result.Errorf(result.NoQuorum, "%s: %w", address, err)
	}
	code := result.Code(resp.GetCode())
	switch code {
	case result.OK:
		c.leader = address
		return true, nil
	case result.NotLeader, result.NoQuorum, result.ProposalLost:
		c.follow(address, resp.GetLeader())
		return false, result.Errorf(code, "%s: %s", address, resp.GetDetail())
	}
	c.leader = address
	return true, result.Errorf(code, "%s", resp.GetDetail())
}

// follow notes the leader that an address named. An address that names none says nothing about a leader that another
// address named.
func (c *Client) follow(address, leader string) {
	if leader != "" || c.leader == address {
		c.leader = leader
	}
}

// Plan submits an intent and returns it with its plan. A refused intent is returned together with the error.
func (c *Client) Plan(ctx context.Context, key string, spec *intentpb.Spec) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Plan(ctx, &intentpb.PlanRequest{Key: key, Spec: spec})
	})
}

// Confirm starts a plan that the operator has read. When the plan is outdated, the new plan comes with the error.
func (c *Client) Confirm(ctx context.Context, intent uint64, plan uint32) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Confirm(ctx, &intentpb.ConfirmRequest{Intent: intent, Plan: plan})
	})
}

// Get returns an intent.
func (c *Client) Get(ctx context.Context, intent uint64) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Get(ctx, &intentpb.IntentRequest{Intent: intent})
	})
}

// Pause stops a running plan after its current step.
func (c *Client) Pause(ctx context.Context, intent uint64) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Pause(ctx, &intentpb.IntentRequest{Intent: intent})
	})
}

// Resume continues a paused plan; now also ends a wait for a time.
func (c *Client) Resume(ctx context.Context, intent uint64, now bool) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Resume(ctx, &intentpb.IntentRequest{Intent: intent, Now: now})
	})
}

// Abort ends a plan and restores what can still be restored.
func (c *Client) Abort(ctx context.Context, intent uint64) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Abort(ctx, &intentpb.IntentRequest{Intent: intent})
	})
}

func (c *Client) intent(ctx context.Context, f func(context.Context, intentpb.Intents) (*intentpb.IntentResponse, error)) (*intentpb.Intent, error) {
	var intent *intentpb.Intent
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (answer, error) {
		resp, err := f(ctx, s)
		intent = resp.GetIntent()
		return resp, err
	})
	return intent, err
}

// List returns the intents and the configuration that each VM has in force.
func (c *Client) List(ctx context.Context, openOnly bool) (*intentpb.ListResponse, error) {
	var list *intentpb.ListResponse
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (answer, error) {
		resp, err := s.List(ctx, &intentpb.ListRequest{OpenOnly: openOnly})
		list = resp
		return resp, err
	})
	return list, err
}

// Report returns the closing report of a service as JSON, signed by the system.
func (c *Client) Report(ctx context.Context, service string) ([]byte, error) {
	var text []byte
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (answer, error) {
		resp, err := s.Report(ctx, &intentpb.ReportRequest{Service: service})
		text = resp.GetJson()
		return resp, err
	})
	return text, err
}

// Await polls an intent until it has ended or ctx ends.
func (c *Client) Await(ctx context.Context, id uint64) (*intentpb.Intent, error) {
	for {
		in, err := c.Get(ctx, id)
		if err != nil {
			return in, err
		}
		switch in.State {
		case intentpb.State_STATE_DONE, intentpb.State_STATE_ABORTED, intentpb.State_STATE_REFUSED:
			return in, nil
		}
		select {
		case <-ctx.Done():
			return in, fmt.Errorf("intent %d is %s, waiting for %q: %w", id, in.State, in.Waiting, ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

// Carry plans an intent, confirms its plan and waits for its end.
func (c *Client) Carry(ctx context.Context, key string, spec *intentpb.Spec) (*intentpb.Intent, error) {
	in, err := c.Plan(ctx, key, spec)
	if err != nil {
		return in, err
	}
	if in, err = c.Confirm(ctx, in.Id, in.Plan.Number); err != nil {
		return in, err
	}
	return c.Await(ctx, in.Id)
}

// Events returns the events that one process holds, and how many it has overwritten.
func (c *Client) Events(ctx context.Context, address string) ([]timeline.Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return timeline.Fetch(ctx, timelinepb.NewTimelineProtobufClient(c.scheme+"://"+address, c.http))
}

// Leader returns the RPC address of the control VM that answered as the leader.
func (c *Client) Leader(ctx context.Context) (string, error) {
	if _, err := c.List(ctx, true); err != nil {
		return "", err
	}
	return c.leader, nil
}
