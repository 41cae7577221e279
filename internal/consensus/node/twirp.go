package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/wire"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

// TwirpConfig configures a Twirp transport.
type TwirpConfig struct {
	ID      consensus.MemberID
	Address string // own RPC address, sent to members that do not know the membership yet
	Scheme  string // http or https; empty selects http
	// NewConnection returns an HTTP transport without open connections; nil selects unencrypted TCP.
	NewConnection func() Connection
	CallTimeout   time.Duration // timeout of one call including the dial; 0 selects DefaultCallTimeout
	OrderWait     time.Duration // maximum wait of a received call for earlier ones; 0 selects DefaultOrderWait
	QueueBytes    int           // limit of the queued messages of one log to one member; 0 selects DefaultQueueBytes
	BatchBytes    int           // limit of the messages in one call; 0 selects DefaultBatchBytes
	Logger        log.Logger    // nil disables logging
}

// Connection is the HTTP transport of the calls to one member.
type Connection interface {
	http.RoundTripper
	CloseIdleConnections()
}

// Default limits. A call that exceeds the timeout indicates a dead connection. The timeout allows for one TCP
// retransmission (200 ms) and is shorter than the shortest election timeout, so that one dead connection alone causes no
// election.
const (
	DefaultCallTimeout = 250 * time.Millisecond
	// DefaultOrderWait covers the reordering between connections, and limits the delay that a lost call causes for later
	// calls.
	DefaultOrderWait  = 10 * time.Millisecond
	DefaultQueueBytes = 4 << 20
	DefaultBatchBytes = 1 << 20
)

// maxRequestSlack is the number of bytes by which a call may exceed BatchBytes: a single message may be larger than a
// batch, and sizes are estimates.
const maxRequestSlack = 1 << 20

// maxAddresses is the limit of the member addresses and call orders kept. A log has at most 7 members, and few are
// replaced.
const maxAddresses = 64

// Twirp is a Transport over twirp calls. Each pair of log and member has its own connections, with one call in flight per
// connection; messages queued in the meantime share the next call. The receiver restores the order of the calls. A failed
// or late call closes its connection, and the next call dials again.
type Twirp struct {
	cfg TwirpConfig

	mu        sync.Mutex
	handlers  map[string]Handler
	senders   map[senderKey]*sender
	orders    map[senderKey]*callOrder      // order of received calls, by log and sending member
	addresses map[consensus.MemberID]string // address that the last call of each member named
	closed    bool

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// senderKey identifies a log and the member at the other end.
type senderKey struct {
	log  string
	peer consensus.MemberID
}

// NewTwirp returns a transport. The process must serve its Handler on cfg.Address.
func NewTwirp(cfg TwirpConfig) *Twirp {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.OrderWait <= 0 {
		cfg.OrderWait = DefaultOrderWait
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
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	if cfg.NewConnection == nil {
		cfg.NewConnection = newTCPConnection
	}
	t := &Twirp{
		cfg:       cfg,
		handlers:  map[string]Handler{},
		senders:   map[senderKey]*sender{},
		orders:    map[senderKey]*callOrder{},
		addresses: map[consensus.MemberID]string{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Handler returns the HTTP handler of the Consensus service.
func (t *Twirp) Handler() http.Handler {
	return http.MaxBytesHandler(pb.NewConsensusServer(t), int64(t.cfg.BatchBytes)+maxRequestSlack)
}

// PathPrefix returns the URL path prefix under which Handler must be mounted.
func (t *Twirp) PathPrefix() string { return pb.ConsensusPathPrefix }

// Close stops all senders and drops queued messages.
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
		t.startCallWorkers(s)
	}
	s.enqueue(to.Address, messages)
}

func (t *Twirp) startCallWorkers(s *sender) {
	for range connectionsPerPeer {
		t.workers.Add(1)
		go func() {
			defer t.workers.Done()
			l := &callWorker{sender: s}
			l.run(t.ctx, func() { t.retire(s) })
		}()
	}
}

// retire closes a sender that has had no messages for senderIdleTimeout.
func (t *Twirp) retire(s *sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders[s.key] == s && s.idle() {
		delete(t.senders, s.key)
		close(s.retired)
	}
}

// order returns the call order for a log and a sending member.
func (t *Twirp) order(key senderKey) *callOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.orders[key]
	if !ok {
		if len(t.orders) >= maxAddresses {
			clear(t.orders) // the affected senders' next calls may be reordered
		}
		o = newCallOrder(t.cfg.OrderWait)
		t.orders[key] = o
	}
	return o
}

// Step implements the Consensus service.
func (t *Twirp) Step(ctx context.Context, request *pb.StepRequest) (*pb.StepResponse, error) {
	if request.GetTo() != string(t.cfg.ID) {
		err := result.Errorf(result.StoreIdentity, "%s answers at this address, not %s", t.cfg.ID, request.GetTo())
		return errorResponse(err), nil
	}
	from := consensus.MemberID(request.GetFrom())
	o := t.order(senderKey{request.GetLog(), from})
	o.waitForEarlier(ctx, request.GetStream(), request.GetSequence())
	defer o.markProcessed(request.GetStream(), request.GetSequence())
	t.mu.Lock()
	handler := t.handlers[request.GetLog()]
	if request.GetFromAddress() != "" {
		if len(t.addresses) >= maxAddresses {
			clear(t.addresses) // the next call of each member sets its address again
		}
		t.addresses[from] = request.GetFromAddress()
	}
	t.mu.Unlock()
	if handler == nil {
		return errorResponse(result.Errorf(result.NoQuorum, "log %q does not run here", request.GetLog())), nil
	}
	messages := make([]consensus.Message, 0, len(request.GetMessages()))
	for _, m := range request.GetMessages() {
		messages = append(messages, wire.ToMessage(m, from, t.cfg.ID))
	}
	if err := handler(ctx, messages); err != nil {
		return errorResponse(result.Errorf(result.NoQuorum, "%w", err)), nil
	}
	return &pb.StepResponse{}, nil
}

// errorResponse returns the response that reports err to the sender.
func errorResponse(err error) *pb.StepResponse {
	return &pb.StepResponse{Code: uint32(result.CodeOf(err)), Detail: err.Error()}
}
