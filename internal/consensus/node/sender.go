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
	// callLanes is the number of connections to one member for one log. With one, a message that is sent just after
	// another waits for a whole round trip: at 4 ms one way a commit took 15.7 ms instead of the 8 ms of a round trip.
	callLanes = 3
	// callSpacing is the least time between the starts of calls that travel in parallel. On a fast path the call in
	// flight ends sooner, and more messages travel together.
	callSpacing = time.Millisecond
	// idleSender is how long a sender without messages is kept. Removed members get no more messages.
	idleSender = time.Minute
	// idleConnection bounds how long an unused connection is kept. A device between the ends may have forgotten it.
	idleConnection = 10 * time.Second
)

// sender holds the messages for one log and member.
type sender struct {
	cfg     TwirpConfig
	key     senderKey
	stream  uint64
	ready   chan struct{} // has a value when queue may be non-empty
	retired chan struct{} // closed when the sender was idle for too long

	mu       sync.Mutex
	address  string
	queue    []consensus.Message
	bytes    int
	sequence uint64 // of the last call
	usedAt   time.Time
	inFlight int       // calls
	started  time.Time // of the last call
	failing  bool      // the last call failed
}

func newSender(cfg TwirpConfig, key senderKey) *sender {
	return &sender{
		cfg: cfg, key: key, stream: rand.Uint64(), usedAt: time.Now(),
		ready: make(chan struct{}, 1), retired: make(chan struct{}),
	}
}

// enqueue adds messages. When the queue is full the oldest are lost, because newer ones supersede them.
func (s *sender) enqueue(address string, messages []consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.usedAt = time.Now()
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

// idle reports whether there were no messages for idleSender.
func (s *sender) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0 && time.Since(s.usedAt) >= idleSender
}

// take returns the next call and where it goes, or nil and, if there are messages, the time after which to try again.
func (s *sender) take() (request *pb.StepRequest, address string, retry time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := callSpacing - time.Since(s.started); s.inFlight > 0 && wait > 0 && len(s.queue) > 0 {
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
	s.started = time.Now()
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

// finish ends a call and logs changes between working and failing.
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

// lane is one connection of a sender, used by one goroutine.
type lane struct {
	sender     *sender
	dialled    string // address of client
	connection Connection
	client     pb.Consensus
}

// run delivers messages until ctx is done or the sender is retired. It calls idle now and then when there is nothing
// to deliver.
func (l *lane) run(ctx context.Context, idle func()) {
	defer l.disconnect()
	timer := time.NewTicker(idleSender)
	defer timer.Stop()
	for ctx.Err() == nil {
		request, address, retry := l.sender.take()
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

func (l *lane) deliver(ctx context.Context, address string, request *pb.StepRequest) error {
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

// connect prepares a client with a connection of its own.
func (l *lane) connect(address string) {
	if l.client != nil && l.dialled == address {
		return
	}
	l.disconnect()
	cfg := l.sender.cfg
	l.connection = cfg.NewConnection()
	l.client = pb.NewConsensusProtobufClient(cfg.Scheme+"://"+address, &http.Client{Transport: l.connection})
	l.dialled = address
}

func (l *lane) disconnect() {
	if l.connection != nil {
		l.connection.CloseIdleConnections()
	}
	l.connection, l.client = nil, nil
}

func plainConnection() Connection {
	return &http.Transport{
		DialContext:     (&net.Dialer{}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnection,
	}
}
