package gate

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
)

// Intervals and timeouts of the calls to other agents.
const (
	// peerInterval is the time between status requests while the local upstream takes work; five peers then cost about
	// 1 KB/s.
	peerInterval = 5 * time.Second
	// handOverPeerInterval is the time between status requests while requests are handed over.
	handOverPeerInterval = time.Second
	peerTimeout          = 500 * time.Millisecond
	// joinPoll is how long a Join waits for the end of a run before it answers "pending". joinTimeout is how long the
	// joining agent waits for this answer, so that it notices a dead connection although runs may take minutes.
	joinPoll    = 2 * time.Second
	joinTimeout = 4 * time.Second
	// handOverTimeout and handOverTimeoutKeyed bound an Execute without an answer. After the timeout a keyed request
	// finds its run through the log; a request without a key is run again, so it waits longer.
	handOverTimeoutKeyed = 5 * time.Second
	handOverTimeout      = 30 * time.Second
)

// pollPeers keeps the machine informed about the other agents of its services.
func (g *Gate) pollPeers() {
	tick := time.NewTicker(handOverPeerInterval)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-g.ctx.Done():
			return
		case now := <-tick.C:
			if now.Sub(last) >= peerInterval || g.isHandingOver() {
				last = now
				g.refreshPeers(g.ctx)
			}
		}
	}
}

// services returns the request services that have this host as a member.
func (g *Gate) services() []*model.Service {
	var out []*model.Service
	for _, svc := range g.snapshot.Load().Services {
		if _, ok := svc.Member(g.cfg.Self.Host); ok && svc.Kind == model.KindRequest {
			out = append(out, svc)
		}
	}
	return out
}

// servesService tells whether this host is a member of a request service.
func (g *Gate) servesService(id model.ServiceID) bool {
	return slices.ContainsFunc(g.services(), func(svc *model.Service) bool { return svc.ID == id })
}

// isHandingOver tells whether the upstream of any service here takes no work, because the host drains or the upstream
// is ejected.
func (g *Gate) isHandingOver() bool {
	services := g.services()
	handingOver, _ := runInLoop(g, func(m *request.Machine) bool {
		return slices.ContainsFunc(services, func(svc *model.Service) bool { return !m.TakesWork(svc.ID) })
	})
	return handingOver
}

// refreshPeers asks the other agents of each service for their state. An agent that does not answer is
// recorded as taking no work.
func (g *Gate) refreshPeers(ctx context.Context) {
	for _, svc := range g.services() {
		results := make(chan request.Peer, len(svc.Members))
		n := 0
		for _, member := range svc.Members {
			if member.Host == g.cfg.Self.Host || member.State == model.UpstreamLost {
				continue
			}
			n++
			go func() { results <- g.peerState(ctx, svc.ID, member) }()
		}
		peers := make([]request.Peer, 0, n)
		for range n {
			peers = append(peers, <-results)
		}
		g.post(input{event: request.Peers{Service: svc.ID, Peers: peers}})
	}
}

func (g *Gate) peerState(ctx context.Context, id model.ServiceID, member model.Member) request.Peer {
	p := request.Peer{Host: member.Host}
	client, ok := g.cfg.Peers(member.Host)
	if !ok {
		return p
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := client.Status(ctx, &gatepb.StatusRequest{Service: uint32(id)})
	if err != nil {
		return p
	}
	p.TakesWork = resp.TakesWork && member.State == model.UpstreamActive
	p.Ejected = resp.Ejected
	p.EjectedSince = time.UnixMilli(resp.EjectedUnixMs)
	p.Queued = int(resp.Queued)
	p.Mean = time.Duration(resp.MeanUs) * time.Microsecond
	return p
}

// join asks the agent that owns a key for the answer to its request.
func (g *Gate) join(ctx context.Context, c *call, owner model.HostRef, ref binding.Ref, digest binding.Digest) {
	ended := request.JoinEnded{Run: c.id}
	defer func() { g.post(input{event: ended}) }()
	client, ok := g.cfg.Peers(owner.Host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := client.Join(ctx, &gatepb.JoinRequest{
		Service:     uint32(ref.Service),
		Key:         ref.Key,
		Digest:      digest[:],
		Host:        string(owner.Host),
		Incarnation: uint64(owner.Incarnation),
	})
	if err != nil {
		return
	}
	ended.Reached = true
	ended.Pending = resp.Pending
	ended.Held = resp.Held
	ended.Code = result.Code(resp.Code)
	ended.Answer = answerFromProto(resp.Answer)
}

// handOver runs a request on another agent.
func (g *Gate) handOver(ctx context.Context, c *call, to model.HostID) {
	ended := request.HandOverEnded{Run: c.id}
	defer func() { g.post(input{event: ended}) }()
	client, ok := g.cfg.Peers(to)
	if !ok {
		return
	}
	ended.Sent = true
	timeout := handOverTimeout
	if c.key != "" {
		timeout = handOverTimeoutKeyed
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := client.Execute(ctx, &gatepb.ExecuteRequest{
		Service: uint32(c.service),
		Method:  c.method,
		Uri:     []byte(c.uri),
		Host:    c.host,
		Headers: headersToProto(sortedEndToEnd(c.header)),
		Body:    c.body,
		Caller:  c.caller.String(),
		From:    string(g.cfg.Self.Host),
	})
	if err != nil {
		return
	}
	ended.Reached = true
	ended.Code = result.Code(resp.Code)
	ended.Answer = answerFromProto(resp.Answer)
}

func headersToProto(h []request.Header) []*gatepb.Header {
	out := make([]*gatepb.Header, 0, len(h))
	for _, line := range h {
		out = append(out, &gatepb.Header{Name: line.Name, Value: []byte(line.Value)})
	}
	return out
}

func answerToProto(a *request.Answer) *gatepb.Answer {
	if a == nil {
		return nil
	}
	return &gatepb.Answer{Status: uint32(a.Status), Headers: headersToProto(a.Header), Body: a.Body}
}

func answerFromProto(a *gatepb.Answer) *request.Answer {
	if a == nil {
		return nil
	}
	out := &request.Answer{Status: int(a.Status), Body: a.Body}
	for _, line := range a.Headers {
		out.Header = append(out.Header, request.Header{Name: line.Name, Value: string(line.Value)})
	}
	return out
}

// Server serves gatepb.Gate for other agents.
type Server struct{ gate *Gate }

// RPC returns the twirp service of the gate.
func (g *Gate) RPC() *Server { return &Server{gate: g} }

// Join waits for the answer to a key that this incarnation owns.
func (s *Server) Join(ctx context.Context, r *gatepb.JoinRequest) (*gatepb.JoinResponse, error) {
	g := s.gate
	if model.Incarnation(r.Incarnation) < g.cfg.Self.Incarnation {
		// The process that owned the key has ended, and its answer was not recorded.
		return &gatepb.JoinResponse{Held: true, Code: uint32(result.RequestOutcomeUnknown)}, nil
	}
	if len(r.Digest) != binding.HashSize {
		return nil, twirp.NewError(twirp.InvalidArgument, "digest has a wrong length")
	}
	c := newCall(g.nextID(), model.ServiceID(r.Service))
	defer close(c.streamAbandoned)
	event := request.JoinRequested{ID: c.id, Service: c.service, Key: r.Key, Digest: binding.Digest(r.Digest)}
	poll, cancel := context.WithTimeout(ctx, joinPoll)
	defer cancel()
	a, err := g.awaitAnswer(poll, c, event)
	if err != nil && ctx.Err() == nil && poll.Err() != nil {
		return &gatepb.JoinResponse{Held: true, Pending: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &gatepb.JoinResponse{Held: a.held, Code: uint32(a.code), Answer: answerToProto(a.answer)}, nil
}

// Execute runs a request for another agent.
func (s *Server) Execute(ctx context.Context, r *gatepb.ExecuteRequest) (*gatepb.ExecuteResponse, error) {
	g := s.gate
	if !g.servesService(model.ServiceID(r.Service)) {
		// The sender has another configuration; the request must not reach the upstream of another service.
		return &gatepb.ExecuteResponse{Code: uint32(result.RequestNoUpstream)}, nil
	}
	c := newCall(g.nextID(), model.ServiceID(r.Service))
	defer close(c.streamAbandoned)
	c.caller, _ = netip.ParseAddrPort(r.Caller)
	c.method, c.uri, c.host, c.body = r.Method, string(r.Uri), r.Host, r.Body
	c.handedOver = true
	c.header = http.Header{}
	for _, line := range r.Headers {
		c.header.Add(line.Name, string(line.Value))
	}
	if code := c.parseHeaders(); code != result.OK {
		return &gatepb.ExecuteResponse{Code: uint32(code)}, nil
	}
	a, err := g.awaitAnswer(ctx, c, c.receivedEvent())
	if err != nil {
		return nil, err
	}
	return &gatepb.ExecuteResponse{Code: uint32(a.code), Answer: answerToProto(a.answer)}, nil
}

// Status tells whether this agent takes work of a service.
func (s *Server) Status(_ context.Context, r *gatepb.StatusRequest) (*gatepb.StatusResponse, error) {
	id := model.ServiceID(r.Service)
	resp, ok := runInLoop(s.gate, func(m *request.Machine) *gatepb.StatusResponse {
		resp := &gatepb.StatusResponse{
			TakesWork: m.TakesWork(id),
			Queued:    uint32(m.Queued(id)),
			MeanUs:    m.Mean(id).Microseconds(),
		}
		if since, ejected := m.Ejected(id); ejected {
			resp.Ejected = true
			resp.EjectedUnixMs = since.UnixMilli()
		}
		return resp
	})
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the gate has ended")
	}
	return resp, nil
}

// awaitAnswer posts an event and waits for the machine's answer. A twirp error means that the outcome is not known.
func (g *Gate) awaitAnswer(ctx context.Context, c *call, e request.Event) (callAnswer, error) {
	if !g.post(input{event: e, call: c}) {
		return callAnswer{}, twirp.NewError(twirp.Unavailable, "the gate has ended")
	}
	select {
	case a := <-c.answer:
		return a, nil
	case <-ctx.Done():
		g.post(input{event: request.Cancelled{ID: c.id}})
		return callAnswer{}, twirp.NewError(twirp.Canceled, "the caller left")
	case <-g.done:
		return callAnswer{}, twirp.NewError(twirp.Unavailable, "the gate has ended")
	}
}
