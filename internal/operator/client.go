// Package operator is the client of the operators' API. It finds the leader among the control VMs, retries calls whose
// response was lost, and converts result codes into errors. Retries are safe because an intent has an idempotency key set
// by the operator and every other call is idempotent.
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

// Client calls the control VMs' Intents service.
type Client struct {
	servers []string // RPC addresses
	scheme  string
	http    *http.Client
	leader  string
}

// New returns a client for the control VMs at the RPC addresses servers. The scheme is http or https. The client is not safe
// for concurrent use.
func New(servers []string, scheme string, c *http.Client) *Client {
	return &Client{servers: servers, scheme: scheme, http: c}
}

// response is implemented by every response of the Intents service.
type response interface {
	GetCode() uint32
	GetDetail() string
	GetLeader() string
}

// call tries the control VMs in turn until one gives a final response or ctx is done.
func (c *Client) call(ctx context.Context, f func(context.Context, intentpb.Intents) (response, error)) error {
	last := result.Errorf(result.NoQuorum, "no control VM answered")
	for {
		for _, address := range c.leaderFirst() {
			done, err := c.callOnce(ctx, address, f)
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

// leaderFirst returns the addresses of the control VMs, starting with the presumed leader.
func (c *Client) leaderFirst() []string {
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

// callOnce calls one control VM and reports whether its response is final.
func (c *Client) callOnce(ctx context.Context, address string, f func(context.Context, intentpb.Intents) (response, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := f(ctx, intentpb.NewIntentsProtobufClient(c.scheme+"://"+address, c.http))
	if err != nil {
		c.updateLeader(address, "")
		return false, result.Errorf(result.NoQuorum, "%s: %w", address, err)
	}
	code := result.Code(resp.GetCode())
	switch code {
	case result.OK:
		c.leader = address
		return true, nil
	case result.NotLeader, result.NoQuorum, result.ProposalLost:
		c.updateLeader(address, resp.GetLeader())
		return false, result.Errorf(code, "%s: %s", address, resp.GetDetail())
	}
	c.leader = address
	return true, result.Errorf(code, "%s", resp.GetDetail())
}

// updateLeader records the leader that a control VM reported. If it reported none, the presumed leader is cleared only if it
// was that control VM itself.
func (c *Client) updateLeader(address, leader string) {
	if leader != "" || c.leader == address {
		c.leader = leader
	}
}

// Plan submits an intent and returns it with its plan. For a refused intent it returns both the intent and an error.
func (c *Client) Plan(ctx context.Context, key string, spec *intentpb.Spec) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Plan(ctx, &intentpb.PlanRequest{Key: key, Spec: spec})
	})
}

// Confirm starts a plan that the operator has reviewed. If the plan is outdated, it returns the new plan and an error.
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

// Resume continues a paused plan. If now is set, it also ends a wait for a point in time.
func (c *Client) Resume(ctx context.Context, intent uint64, now bool) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Resume(ctx, &intentpb.IntentRequest{Intent: intent, Now: now})
	})
}

// Abort ends a plan and restores drained hosts and stopped services where that is still possible.
func (c *Client) Abort(ctx context.Context, intent uint64) (*intentpb.Intent, error) {
	return c.intent(ctx, func(ctx context.Context, s intentpb.Intents) (*intentpb.IntentResponse, error) {
		return s.Abort(ctx, &intentpb.IntentRequest{Intent: intent})
	})
}

func (c *Client) intent(ctx context.Context, f func(context.Context, intentpb.Intents) (*intentpb.IntentResponse, error)) (*intentpb.Intent, error) {
	var intent *intentpb.Intent
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (response, error) {
		resp, err := f(ctx, s)
		intent = resp.GetIntent()
		return resp, err
	})
	return intent, err
}

// List returns the intents and the configuration that each VM has in force.
func (c *Client) List(ctx context.Context, openOnly bool) (*intentpb.ListResponse, error) {
	var list *intentpb.ListResponse
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (response, error) {
		resp, err := s.List(ctx, &intentpb.ListRequest{OpenOnly: openOnly})
		list = resp
		return resp, err
	})
	return list, err
}

// Report returns the signed JSON report about the closing of a service.
func (c *Client) Report(ctx context.Context, service string) ([]byte, error) {
	var text []byte
	err := c.call(ctx, func(ctx context.Context, s intentpb.Intents) (response, error) {
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

// Execute plans an intent, confirms its plan and waits until the intent has ended.
func (c *Client) Execute(ctx context.Context, key string, spec *intentpb.Spec) (*intentpb.Intent, error) {
	in, err := c.Plan(ctx, key, spec)
	if err != nil {
		return in, err
	}
	if in, err = c.Confirm(ctx, in.Id, in.Plan.Number); err != nil {
		return in, err
	}
	return c.Await(ctx, in.Id)
}

// Events returns the events that the process at the address stores, and the number of events that it has overwritten.
func (c *Client) Events(ctx context.Context, address string) ([]timeline.Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return timeline.Fetch(ctx, timelinepb.NewTimelineProtobufClient(c.scheme+"://"+address, c.http))
}

// Leader lists the open intents and returns the RPC address of the control VM that answered as the leader.
func (c *Client) Leader(ctx context.Context) (string, error) {
	if _, err := c.List(ctx, true); err != nil {
		return "", err
	}
	return c.leader, nil
}
