package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/wire"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

// TwirpConfig holds the settings of a Twirp transport.
type TwirpConfig struct {
	ID          consensus.MemberID
	Address     string        // own RPC address, sent to members that do not know the membership yet
	TLS         *tls.Config   // nil: plain HTTP
	CallTimeout time.Duration // of one call including the dial; 0: DefaultCallTimeout
	QueueBytes  int           // for one log and member; 0: DefaultQueueBytes
	BatchBytes  int           // messages in one call; 0: DefaultBatchBytes
	Logger      log.Logger    // nil: none
}

// Defaults. A call that takes longer than the timeout is taken for a dead connection. The timeout leaves room for one
// TCP retransmission (200 ms) and is shorter than the shortest election timeout, so that one dead connection alone
// causes no election.
const (
	DefaultCallTimeout = 250 * time.Millisecond
	DefaultQueueBytes  = 4 << 20
	DefaultBatchBytes  = 1 << 20
)

// maxRequestSlack is how much a call may exceed BatchBytes, in bytes. One message may be larger than a batch, and sizes
// are estimates.
const maxRequestSlack = 1 << 20

// maxAddresses bounds the addresses learnt from calls. A log has at most 7 members, and a few are replaced.
const maxAddresses = 64

// idleSender is how long a sender without messages is kept. Removed members get no more messages.
const idleSender = time.Minute

// idleConnection bounds how long an unused connection is kept. A device between the ends may have forgotten it.
const idleConnection = 10 * time.Second

// Twirp is a Transport over twirp calls. Each log and member has its own connection and one call in flight, which keeps
// messages in order; messages that arrive meanwhile travel together in the next call. After a failed or late call the
// connection is closed and the next call dials a new one.
type Twirp struct {
	cfg TwirpConfig

	mu        sync.Mutex
	handlers  map[string]Handler
	senders   map[senderKey]*sender
	addresses map[consensus.MemberID]string // last seen in calls
	closed    bool

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

type senderKey struct {
	log string
	to  consensus.MemberID
}

// NewTwirp returns a transport. Serve Handler on cfg.Address.
func NewTwirp(cfg TwirpConfig) *Twirp {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.QueueBytes <= 0 {
		cfg.QueueBytes = DefaultQueueBytes
	}
	if cfg.BatchBytes <= 0 {
		cfg.BatchBytes = DefaultBatchBytes
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	t := &Twirp{
		cfg:       cfg,
		handlers:  map[string]Handler{},
		senders:   map[senderKey]*sender{},
		addresses: map[consensus.MemberID]string{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Handler returns the HTTP handler of the Consensus service.
func (t *Twirp) Handler() http.Handler {
	return http.MaxBytesHandler(pb.NewConsensusServer(t), int64(t.cfg.BatchBytes)+maxRequestSlack)
}

// PathPrefix returns the path under which Handler is to be mounted.
func (t *Twirp) PathPrefix() string { return pb.ConsensusPathPrefix }

// Close ends all senders. Queued messages are lost.
func (t *Twirp) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.workers.Wait()
}

// Register implements Transport.
func (t *Twirp) Register(log string, handler Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if handler == nil {
		delete(t.handlers, log)
		return
	}
	t.handlers[log] = handler
}

// Send implements Transport.
func (t *Twirp) Send(log string, to consensus.Member, messages []consensus.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if to.Address == "" {
		to.Address = t.addresses[to.ID]
	}
	if t.closed || to.Address == "" {
		return
	}
	key := senderKey{log, to.ID}
	s, ok := t.senders[key]
	if !ok {
		s = newSender(t.cfg, key)
		t.senders[key] = s
		t.workers.Add(1)
		go func() {
			defer t.workers.Done()
			s.run(t.ctx, func() bool { return t.retire(s) })
		}()
	}
	s.enqueue(to.Address, messages)
}

// retire removes a sender without messages and reports whether it did.
func (t *Twirp) retire(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.empty() {
		return false
	}
	delete(t.senders, s.key)
	return true
}

// Step implements the twirp service.
func (t *Twirp) Step(ctx context.Context, request *pb.StepRequest) (*pb.StepResponse, error) {
	if request.GetTo() != string(t.cfg.ID) {
		err := result.Errorf(result.StoreIdentity, "%s answers at this address, not %s", t.cfg.ID, request.GetTo())
		return refusal(err), nil
	}
	from := consensus.MemberID(request.GetFrom())
	t.mu.Lock()
	handler := t.handlers[request.GetLog()]
	if request.GetFromAddress() != "" {
		if len(t.addresses) >= maxAddresses {
			clear(t.addresses) // those in use are learnt again with the next call
		}
		t.addresses[from] = request.GetFromAddress()
	}
	t.mu.Unlock()
	if handler == nil {
		return refusal(result.Errorf(result.NoQuorum, "log %q does not run here", request.GetLog())), nil
	}
	messages := make([]consensus.Message, 0, len(request.GetMessages()))
	for _, m := range request.GetMessages() {
		messages = append(messages, wire.ToMessage(m, from, t.cfg.ID))
	}
	if err := handler(ctx, messages); err != nil {
		return refusal(result.Errorf(result.NoQuorum, "%w", err)), nil
	}
	return &pb.StepResponse{}, nil
}

func refusal(err error) *pb.StepResponse {
	return &pb.StepResponse{Code: uint32(result.CodeOf(err)), Detail: err.Error()}
}

// sender delivers the messages for one log and member.
type sender struct {
	cfg TwirpConfig
	key senderKey

	mu      sync.Mutex
	address string
	queue   []consensus.Message
	bytes   int
	ready   chan struct{}

	// Owned by run.
	dialled    string // address of client
	connection *http.Transport
	client     pb.Consensus
	failing    bool // the last call failed
}

func newSender(cfg TwirpConfig, key senderKey) *sender {
	return &sender{cfg: cfg, key: key, ready: make(chan struct{}, 1)}
}

// enqueue adds messages. When the queue is full the oldest are lost, because newer ones supersede them.
func (s *sender) enqueue(address string, messages []consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	for _, m := range messages {
		s.queue = append(s.queue, m)
		s.bytes += m.Size()
	}
	for s.bytes > s.cfg.QueueBytes && len(s.queue) > 1 {
		s.bytes -= s.queue[0].Size()
		s.queue = s.queue[1:]
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take returns the messages for the next call.
func (s *sender) take() (string, []consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].Size() <= s.cfg.BatchBytes) {
		size += s.queue[n].Size()
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.bytes -= size
	return s.address, batch
}

func (s *sender) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// run delivers messages until ctx is done, or until retire agrees to end an idle sender.
func (s *sender) run(ctx context.Context, retire func() bool) {
	defer s.disconnect()
	idle := time.NewTimer(idleSender)
	defer idle.Stop()
	for {
		address, batch := s.take()
		if len(batch) > 0 {
			s.deliver(ctx, address, batch)
			idle.Reset(idleSender)
			continue
		}
		select {
		case <-s.ready:
		case <-idle.C:
			if retire() {
				return
			}
			idle.Reset(idleSender)
		case <-ctx.Done():
			return
		}
	}
}

func (s *sender) deliver(ctx context.Context, address string, batch []consensus.Message) {
	if ctx.Err() != nil {
		return
	}
	s.connect(address)
	request := &pb.StepRequest{
		Log: s.key.log, From: string(s.cfg.ID), To: string(s.key.to), FromAddress: s.cfg.Address,
	}
	for _, m := range batch {
		request.Messages = append(request.Messages, wire.FromMessage(m))
	}
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	response, err := s.client.Step(callCtx, request)
	if err != nil {
		s.disconnect()
	} else if code := response.GetCode(); code != 0 {
		err = result.Errorf(result.Code(code), "%s", response.GetDetail())
	}
	s.report(address, err)
}

// report logs changes between working and failing.
func (s *sender) report(address string, err error) {
	if s.failing == (err != nil) {
		return
	}
	s.failing = err != nil
	_ = s.cfg.Logger.Log("event", "peer_path", "log", s.key.log, "peer", s.key.to, "address", address,
		"failing", s.failing, "code", int(result.CodeOf(err)), "error", err)
}

// connect prepares a client with a connection of its own.
func (s *sender) connect(address string) {
	if s.client != nil && s.dialled == address {
		return
	}
	s.disconnect()
	dialer := &net.Dialer{Timeout: s.cfg.CallTimeout}
	s.connection = &http.Transport{
		DialContext:     dialer.DialContext,
		TLSClientConfig: s.cfg.TLS,
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnection,
	}
	scheme := "http://"
	if s.cfg.TLS != nil {
		scheme = "https://"
	}
	s.client = pb.NewConsensusProtobufClient(scheme+address, &http.Client{Transport: s.connection})
	s.dialled = address
}

func (s *sender) disconnect() {
	if s.connection != nil {
		s.connection.CloseIdleConnections()
	}
	s.connection, s.client = nil, nil
}
