package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/wire"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

const (
	// connectionsPerPeer is the number of connections to one member for one log. With a single connection, a message sent
	// just after another waits for a whole round trip: at 4 ms one way, a commit took 15.7 ms instead of 8 ms.
	connectionsPerPeer = 3
	// minCallInterval is the minimum time between the starts of concurrent calls. On a fast network path, the call in
	// flight ends sooner, and more messages share the next call.
	minCallInterval = time.Millisecond
	// senderIdleTimeout is the time after which a sender without messages, as for a removed member, is closed.
	senderIdleTimeout = time.Minute
	// connectionIdleTimeout is the time after which an unused connection is closed. A stateful device on the network path
	// may have dropped its state.
	connectionIdleTimeout = 10 * time.Second
)

// sender queues the messages of one log to one member.
type sender struct {
	cfg     TwirpConfig
	key     senderKey
	stream  uint64
	ready   chan struct{} // holds a value when queue may be non-empty
	retired chan struct{} // closed when the sender has been idle for senderIdleTimeout

	mu         sync.Mutex
	address    string
	queue      []consensus.Message
	bytes      int
	sequence   uint64 // sequence number of the last call
	lastUsedAt time.Time
	inFlight   int       // number of calls in flight
	lastCallAt time.Time // start of the last call
	failing    bool      // the last call failed
}

func newSender(cfg TwirpConfig, key senderKey) *sender {
	return &sender{
		cfg: cfg, key: key, stream: rand.Uint64(), lastUsedAt: time.Now(),
		ready: make(chan struct{}, 1), retired: make(chan struct{}),
	}
}

// enqueue adds messages. A full queue drops the oldest ones, because newer messages supersede them.
func (s *sender) enqueue(address string, messages []consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.lastUsedAt = time.Now()
	for _, m := range messages {
		s.queue = append(s.queue, m)
		s.bytes += m.Size()
	}
	for s.bytes > s.cfg.QueueBytes && len(s.queue) > 1 {
		s.bytes -= s.queue[0].Size()
		s.queue = s.queue[1:]
	}
	s.signal()
}

func (s *sender) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// idle reports whether the sender has had no messages for senderIdleTimeout.
func (s *sender) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0 && time.Since(s.lastUsedAt) >= senderIdleTimeout
}

// nextCall returns the next call and its address. If no call may start yet, it returns nil, and the time after which to
// retry if there are messages.
func (s *sender) nextCall() (request *pb.StepRequest, address string, retry time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := minCallInterval - time.Since(s.lastCallAt); s.inFlight > 0 && wait > 0 && len(s.queue) > 0 {
		return nil, "", wait
	}
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].Size() <= s.cfg.BatchBytes) {
		size += s.queue[n].Size()
		n++
	}
	if n == 0 {
		return nil, "", 0
	}
	s.sequence++
	s.inFlight++
	s.lastCallAt = time.Now()
	request = &pb.StepRequest{
		Log: s.key.log, From: string(s.cfg.ID), To: string(s.key.peer), FromAddress: s.cfg.Address,
		Stream: s.stream, Sequence: s.sequence,
	}
	for _, m := range s.queue[:n] {
		request.Messages = append(request.Messages, wire.FromMessage(m))
	}
	s.queue = s.queue[n:]
	s.bytes -= size
	if len(s.queue) > 0 {
		s.signal()
	}
	return request, s.address, 0
}

// finish records the end of a call and logs the change between successful and failing calls.
func (s *sender) finish(address string, err error) {
	s.mu.Lock()
	s.inFlight--
	changed := s.failing != (err != nil)
	s.failing = err != nil
	s.mu.Unlock()
	if changed {
		_ = s.cfg.Logger.Log("event", "peer_path", "log", s.key.log, "peer", s.key.peer, "address", address,
			"failing", err != nil, "code", int(result.CodeOf(err)), "error", err)
	}
}

// callWorker sends the calls of a sender on one connection. It is used by one goroutine.
type callWorker struct {
	sender     *sender
	address    string // address that client is connected to
	connection Connection
	client     pb.Consensus
}

// run sends calls until ctx is done or the sender is retired. While there are none, it calls idle every
// senderIdleTimeout.
func (l *callWorker) run(ctx context.Context, idle func()) {
	defer l.disconnect()
	timer := time.NewTicker(senderIdleTimeout)
	defer timer.Stop()
	for ctx.Err() == nil {
		request, address, retry := l.sender.nextCall()
		if request != nil {
			l.sender.finish(address, l.deliver(ctx, address, request))
			continue
		}
		if retry > 0 {
			time.Sleep(retry)
			continue
		}
		select {
		case <-l.sender.ready:
		case <-timer.C:
			idle()
		case <-l.sender.retired:
			return
		case <-ctx.Done():
		}
	}
}

func (l *callWorker) deliver(ctx context.Context, address string, request *pb.StepRequest) error {
	l.connect(address)
	ctx, cancel := context.WithTimeout(ctx, l.sender.cfg.CallTimeout)
	defer cancel()
	response, err := l.client.Step(ctx, request)
	if err != nil {
		l.disconnect()
		return err
	}
	if code := response.GetCode(); code != 0 {
		return result.Errorf(result.Code(code), "%s", response.GetDetail())
	}
	return nil
}

// connect creates a client with its own connection, unless there is one for the address.
func (l *callWorker) connect(address string) {
	if l.client != nil && l.address == address {
		return
	}
	l.disconnect()
	cfg := l.sender.cfg
	l.connection = cfg.NewConnection()
	l.client = pb.NewConsensusProtobufClient(cfg.Scheme+"://"+address, &http.Client{Transport: l.connection})
	l.address = address
}

func (l *callWorker) disconnect() {
	if l.connection != nil {
		l.connection.CloseIdleConnections()
	}
	l.connection, l.client = nil, nil
}

func newTCPConnection() Connection {
	return &http.Transport{
		DialContext:     (&net.Dialer{}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: connectionIdleTimeout,
	}
}
