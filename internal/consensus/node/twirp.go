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

// TwirpConfig holds the settings of a Twirp transport.
type TwirpConfig struct {
	ID      consensus.MemberID
	Address string // own RPC address, sent to members that do not know the membership yet
	Scheme  string // http or https; empty: http
	// NewConnection returns a transport with no open connections; nil: plain TCP.
	NewConnection func() Connection
	CallTimeout   time.Duration // of one call including the dial; 0: DefaultCallTimeout
	OrderWait     time.Duration // of a received call for an earlier one; 0: DefaultOrderWait
	QueueBytes    int           // for one log and member; 0: DefaultQueueBytes
	BatchBytes    int           // messages in one call; 0: DefaultBatchBytes
	Logger        log.Logger    // nil: none
}

// Connection carries the calls to one member.
type Connection interface {
	http.RoundTripper
	CloseIdleConnections()
}

// Defaults. A call that takes longer than the timeout is taken for a dead connection. The timeout leaves room for one
// TCP retransmission (200 ms) and is shorter than the shortest election timeout, so that one dead connection alone
// causes no election.
const (
	DefaultCallTimeout = 250 * time.Millisecond
	// DefaultOrderWait covers the reordering between connections. A lost call must not delay the others for longer.
	DefaultOrderWait  = 10 * time.Millisecond
	DefaultQueueBytes = 4 << 20
	DefaultBatchBytes = 1 << 20
)

// maxRequestSlack is how much a call may exceed BatchBytes, in bytes. One message may be larger than a batch, and sizes
// are estimates.
const maxRequestSlack = 1 << 20

// maxAddresses bounds the addresses learnt from calls. A log has at most 7 members, and a few are replaced.
const maxAddresses = 64

// Twirp is a Transport over twirp calls. Each log and member has connections of its own with one call in flight on each;
// messages that arrive meanwhile travel together in the next call. The receiver restores the order of calls. After a
// failed or late call the connection is closed and the next call on it dials anew.
type Twirp struct {
	cfg TwirpConfig

	mu        sync.Mutex
	handlers  map[string]Handler
	senders   map[senderKey]*sender
	orders    map[senderKey]*callOrder      // of received calls, by log and sender
	addresses map[consensus.MemberID]string // last seen in calls
	closed    bool

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// senderKey names a log and the member at the other end.
type senderKey struct {
	log  string
	peer consensus.MemberID
}

// NewTwirp returns a transport. Serve Handler on cfg.Address.
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
		cfg.NewConnection = plainConnection
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
		t.startLanes(s)
	}
	s.enqueue(to.Address, messages)
}

func (t *Twirp) startLanes(s *sender) {
	for range callLanes {
		t.workers.Add(1)
		go func() {
			defer t.workers.Done()
			l := &lane{sender: s}
			l.run(t.ctx, func() { t.retire(s) })
		}()
	}
}

// retire ends a sender that had no messages for idleSender.
func (t *Twirp) retire(s *sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders[s.key] == s && s.idle() {
		delete(t.senders, s.key)
		close(s.retired)
	}
}

// order returns the order of the calls from a member for a log.
func (t *Twirp) order(key senderKey) *callOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.orders[key]
	if !ok {
		if len(t.orders) >= maxAddresses {
			clear(t.orders) // a lost order costs at most some reordering
		}
		o = newCallOrder(t.cfg.OrderWait)
		t.orders[key] = o
	}
	return o
}

// Step implements the twirp service.
func (t *Twirp) Step(ctx context.Context, request *pb.StepRequest) (*pb.StepResponse, error) {
	if request.GetTo() != string(t.cfg.ID) {
		err := result.Errorf(result.StoreIdentity, "%s answers at this address, not %s", t.cfg.ID, request.GetTo())
		return refusal(err), nil
	}
	from := consensus.MemberID(request.GetFrom())
	o := t.order(senderKey{request.GetLog(), from})
	o.await(ctx, request.GetStream(), request.GetSequence())
	defer o.passed(request.GetStream(), request.GetSequence())
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
