package binding

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// Timeouts and intervals of the client.
const (
	// callTimeout bounds one call, so that a dead connection costs one attempt and not the whole deadline.
	callTimeout = 500 * time.Millisecond
	// retryInterval is the time between rounds over the control VMs, for example while an election is in progress.
	retryInterval = 20 * time.Millisecond
)

// Client is a Binder that calls the control VMs by twirp.
type Client struct {
	addresses func() []string
	scheme    string
	http      *http.Client

	mu     sync.Mutex
	leader string // address of the control VM that answered last, or "" after a round without an answer
	stubs  map[string]bindpb.Bindings
}

// NewClient returns a client. addresses returns the RPC addresses of the control VMs; scheme is "http" or "https".
func NewClient(addresses func() []string, scheme string, c *http.Client) *Client {
	return &Client{addresses: addresses, scheme: scheme, http: c, stubs: map[string]bindpb.Bindings{}}
}

func (c *Client) stub(addr string) bindpb.Bindings {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stubs[addr]
	if !ok {
		s = bindpb.NewBindingsProtobufClient(c.scheme+"://"+addr, c.http)
		c.stubs[addr] = s
	}
	return s
}

// leaderFirst returns the control VMs with the presumed leader first.
func (c *Client) leaderFirst() []string {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	all := c.addresses()
	if leader == "" {
		return all
	}
	out := append(make([]string, 0, len(all)+1), leader)
	for _, a := range all {
		if a != leader {
			out = append(out, a)
		}
	}
	return out
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	c.leader = addr
	c.mu.Unlock()
}

// needsAnotherControlVM tells whether a response code means that another control VM has to be asked.
func needsAnotherControlVM(code result.Code) bool {
	switch code {
	case result.NotLeader, result.NoQuorum, result.ProposalLost, result.Internal:
		return true
	}
	return false
}

// callUntilAnswered calls the control VMs in turn until one answers or ctx ends. call returns the response code and the
// address of the leader, if the control VM knows it.
func (c *Client) callUntilAnswered(ctx context.Context, call func(context.Context, bindpb.Bindings) (result.Code, string, error)) error {
	last := result.Errorf(result.NoQuorum, "no control VM answered")
	for {
		tried := map[string]bool{}
		todo := c.leaderFirst()
		for len(todo) > 0 {
			addr := todo[0]
			todo = todo[1:]
			if tried[addr] {
				continue
			}
			tried[addr] = true
			one, cancel := context.WithTimeout(ctx, callTimeout)
			code, hint, err := call(one, c.stub(addr))
			cancel()
			if err == nil && !needsAnotherControlVM(code) {
				c.setLeader(addr)
				return nil
			}
			if err != nil {
				// The pool may hold more connections that died with this one; without them the next call dials.
				c.http.CloseIdleConnections()
				last = result.Errorf(result.NoQuorum, "control VM %s: %w", addr, err)
				continue
			}
			last = result.Errorf(code, "control VM %s", addr)
			if hint != "" && !tried[hint] {
				todo = append([]string{hint}, todo...)
			}
		}
		c.setLeader("")
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryInterval):
		}
	}
}

// Bind resends the same attempt until a control VM answers.
func (c *Client) Bind(ctx context.Context, r Request) (Answer, error) {
	msg := &bindpb.BindRequest{
		Service:     uint32(r.Service),
		Key:         r.Key,
		Digest:      r.Digest[:],
		Host:        string(r.Owner.Host),
		Incarnation: uint64(r.Owner.Incarnation),
		Attempt:     r.Attempt,
	}
	if !r.Deadline.IsZero() {
		msg.DeadlineUnixMs = r.Deadline.UnixMilli()
	}
	var answer Answer
	err := c.callUntilAnswered(ctx, func(ctx context.Context, s bindpb.Bindings) (result.Code, string, error) {
		resp, err := s.Bind(ctx, msg)
		if err != nil {
			return result.Internal, "", err
		}
		answer = DecodeAnswer(resp)
		return result.Code(resp.Code), resp.Leader, nil
	})
	if err != nil {
		return Answer{}, err
	}
	return answer, nil
}

// DecodeAnswer reads the response of a control VM that applied a bind.
func DecodeAnswer(resp *bindpb.BindResponse) Answer {
	a := Answer{
		Outcome: Outcome(resp.Outcome),
		Owner:   model.HostRef{Host: model.HostID(resp.OwnerHost), Incarnation: model.Incarnation(resp.OwnerIncarnation)},
		Code:    result.Code(resp.Code),
	}
	if a.Outcome == Finished {
		a.Code = result.Code(resp.FinishCode)
	}
	return a
}

// Finish resends the command until a control VM answers.
func (c *Client) Finish(ctx context.Context, ref Ref, code result.Code) error {
	msg := &bindpb.FinishRequest{
		Service:     uint32(ref.Service),
		Key:         ref.Key,
		Host:        string(ref.Owner.Host),
		Incarnation: uint64(ref.Owner.Incarnation),
		Attempt:     ref.Attempt,
		Code:        uint32(code),
	}
	return c.callUntilAnswered(ctx, func(ctx context.Context, s bindpb.Bindings) (result.Code, string, error) {
		resp, err := s.Finish(ctx, msg)
		if err != nil {
			return result.Internal, "", err
		}
		return result.Code(resp.Code), resp.Leader, nil
	})
}

// Release resends the command until a control VM answers.
func (c *Client) Release(ctx context.Context, ref Ref) error {
	msg := &bindpb.ReleaseRequest{
		Service:     uint32(ref.Service),
		Key:         ref.Key,
		Host:        string(ref.Owner.Host),
		Incarnation: uint64(ref.Owner.Incarnation),
		Attempt:     ref.Attempt,
	}
	return c.callUntilAnswered(ctx, func(ctx context.Context, s bindpb.Bindings) (result.Code, string, error) {
		resp, err := s.Release(ctx, msg)
		if err != nil {
			return result.Internal, "", err
		}
		return result.Code(resp.Code), resp.Leader, nil
	})
}
