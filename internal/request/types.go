// Package request is the state machine for the requests of one agent: binding of the idempotency key, admission, dispatch
// to the local upstream, joining the run of another agent, hand-over to another agent, and the answer. Machine is
// deterministic: its inputs are typed events and the time, its outputs are typed actions that the gate executes.
package request

import (
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// ID numbers requests and joins of one agent. IDs are not reused within an incarnation.
type ID uint64

// Answer is a complete answer of an upstream. It is immutable.
type Answer struct {
	Status int
	Header []Header
	Body   []byte
}

// Header is one header line.
type Header struct{ Name, Value string }

// size approximates the memory of an answer in bytes.
func (a *Answer) size() int {
	n := len(a.Body) + 64
	for _, h := range a.Header {
		n += len(h.Name) + len(h.Value) + 32
	}
	return n
}

// Event is an input of the machine.
type Event interface{ requestEvent() }

// Received is a request of a caller, or one that another agent handed over.
type Received struct {
	ID         ID
	Service    model.ServiceID
	Caller     netip.AddrPort
	Key        string // empty for none
	Digest     binding.Digest
	Deadline   time.Time // zero for none
	Idempotent bool      // may be re-sent although an upstream may have run it
	HandedOver bool      // received from another agent; not handed over again
}

// Cancelled reports that a waiter (a caller or a joining agent) disconnected.
type Cancelled struct{ ID ID }

// BindResult is the outcome of a Bind action.
type BindResult struct {
	Run     ID
	Attempt uint64
	Answer  binding.Answer
}

// FinishDone reports that the log has applied a Finish action.
type FinishDone struct{ Run ID }

// ReleaseDone reports that the log has applied a Release action, or that the log could not be reached in time.
type ReleaseDone struct {
	Run     ID
	Applied bool
}

// RunResult is how a dispatch ended.
type RunResult uint8

// Results of a dispatch.
const (
	RunAnswered  RunResult = iota + 1 // the whole answer was received
	RunShed                           // the upstream declared that it did not run the request
	RunNotSent                        // no byte of the request reached the upstream
	RunBroken                         // no answer, and the upstream may have seen the request
	RunTruncated                      // the answer began and was cut off
)

// RunEnded is the outcome of a Dispatch action.
type RunEnded struct {
	Run        ID
	Result     RunResult
	Answer     *Answer // nil if the answer was streamed
	StreamedTo ID      // waiter that received answer bytes directly, 0 for none
}

// JoinRequested is a Join call of another agent for a key that this incarnation owns.
type JoinRequested struct {
	ID      ID
	Service model.ServiceID
	Key     string
	Digest  binding.Digest
}

// JoinEnded is the outcome of a Join action.
type JoinEnded struct {
	Run     ID
	Reached bool // the owner answered
	Pending bool // the owner's run has not ended
	Held    bool // the owner has, or had, a run of the key
	Code    result.Code
	Answer  *Answer
}

// HandOverEnded is the outcome of a HandOver action.
type HandOverEnded struct {
	Run     ID
	Sent    bool // the other agent may have seen the request
	Reached bool // the other agent answered
	Code    result.Code
	Answer  *Answer
}

// Tick makes the machine apply deadlines and retry times.
type Tick struct{}

// Peer is the last reported state of another agent of a service.
type Peer struct {
	Host         model.HostID
	TakesWork    bool
	Ejected      bool
	EjectedSince time.Time // start of the ejection
	Queued       int
	Mean         time.Duration // measured service time, 0 if not known
}

// Peers replaces the states of the other agents of a service.
type Peers struct {
	Service model.ServiceID
	Peers   []Peer
}

// LocalState is the state of the agent's own host.
type LocalState struct {
	Draining      bool
	DrainDeadline time.Time // when ActionDrainOverdue reports the remaining callers; zero for never
	Cold          bool      // the upstream process is starting
}

// ServiceDrain sets whether the host drains one service; other services are not affected.
type ServiceDrain struct {
	Service  model.ServiceID
	Draining bool
}

func (Received) requestEvent()      {}
func (Cancelled) requestEvent()     {}
func (BindResult) requestEvent()    {}
func (FinishDone) requestEvent()    {}
func (ReleaseDone) requestEvent()   {}
func (RunEnded) requestEvent()      {}
func (JoinRequested) requestEvent() {}
func (JoinEnded) requestEvent()     {}
func (HandOverEnded) requestEvent() {}
func (Tick) requestEvent()          {}
func (Peers) requestEvent()         {}
func (LocalState) requestEvent()    {}
func (ServiceDrain) requestEvent()  {}

// ActionKind selects what the gate has to do.
type ActionKind uint8

// Kinds of action.
const (
	ActionBind         ActionKind = iota + 1 // bind Ref by At; report BindResult
	ActionRelease                            // release Ref; report ReleaseDone if Run is not 0
	ActionFinish                             // finish Ref with Code, retried until applied; report FinishDone
	ActionDispatch                           // send Run to the local upstream; report RunEnded
	ActionCancel                             // end the dispatch, join or hand-over of Run
	ActionAnswer                             // end the wait of ID with Code; Answer is set if it was not streamed
	ActionJoin                               // ask Owner for the answer to Run; report JoinEnded
	ActionHandOver                           // hand Run over to To; report HandOverEnded
	ActionSetTimer                           // post a Tick at At
	ActionDone                               // the data of request Run is not needed any more
	ActionDrainOverdue                       // the drain deadline passed while Callers still wait
)

// Action is one output of the machine.
type Action struct {
	Kind     ActionKind
	Run      ID // ID of the request with which the work item began
	ID       ID // waiter, for ActionAnswer
	Ref      binding.Ref
	Digest   binding.Digest
	Deadline time.Time
	Owner    model.HostRef
	To       model.HostID
	Code     result.Code
	Answer   *Answer
	Held     bool // for the answer to a JoinRequested: the code describes the run of the key
	At       time.Time
	Callers  []netip.AddrPort
}

// Config holds the limits of a machine.
type Config struct {
	Self           model.HostRef
	Slots          int           // concurrent runs on the local upstream
	QueueLimit     int           // for services without a limit of their own
	MaxBinding     int           // requests that may wait for a binding
	BindTimeout    time.Duration // of one bind
	JoinTimeout    time.Duration // how long a join tries to reach the owner
	CancelGrace    time.Duration // how long a keyed run goes on after its last waiter disconnected, so that a retry can join
	MaxRun         time.Duration // for requests without a deadline; far below binding.KeepWithoutDeadline
	RetainCount    int           // answers kept for joined retries
	RetainBytes    int
	RetryRatio     float64 // re-sends per request
	RetryBurst     float64
	EjectAfter     int // consecutive failures
	EjectFor       time.Duration
	EjectForMax    time.Duration
	NoAdmission    bool // baseline for benchmarks: no slots, queue limits or early refusal
	NoEarlyRefusal bool
}

// DefaultConfig returns the limits that the design page assumes.
func DefaultConfig(self model.HostRef) Config {
	return Config{
		Self:        self,
		Slots:       3,
		QueueLimit:  64,
		MaxBinding:  512,
		BindTimeout: 2 * time.Second,
		JoinTimeout: 10 * time.Second,
		CancelGrace: 5 * time.Second,
		MaxRun:      10 * time.Minute,
		RetainCount: 4096,
		RetainBytes: 32 << 20,
		RetryRatio:  0.1,
		RetryBurst:  10,
		EjectAfter:  5,
		EjectFor:    2 * time.Second,
		EjectForMax: 60 * time.Second,
	}
}
