// Package request decides what happens to each request of one agent: binding of its key, admission, dispatch to the
// local upstream, joining the run of another agent, handing over, and the answer. Machine is deterministic: typed
// events and the time come in, typed actions come out. The gate executes the actions.
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
	Idempotent bool      // may be sent again although an upstream may have run it
	HandedOver bool      // comes from another agent; it is not handed over again
}

// Cancelled reports that the waiter (caller, or joining agent) is gone.
type Cancelled struct{ ID ID }

// BindResult is the outcome of a Bind action.
type BindResult struct {
	Run     ID
	Attempt uint64
	Answer  binding.Answer
}

// FinishDone reports that the log has applied a Finish action.
type FinishDone struct{ Run ID }

// ReleaseDone reports that the log has applied a Release action, or that it could not be reached in time.
type ReleaseDone struct {
	Run     ID
	Applied bool
}

// RunResult says how a dispatch ended.
type RunResult uint8

// Results of a dispatch.
const (
	RunAnswered  RunResult = iota + 1 // the whole answer was received
	RunShed                           // the upstream declared that it did not run the request
	RunNotSent                        // no byte of the request reached the upstream
	RunBroken                         // ended without an answer, after the upstream may have seen the request
	RunTruncated                      // the answer began and did not end
)

// RunEnded is the outcome of a Dispatch action.
type RunEnded struct {
	Run        ID
	Result     RunResult
	Answer     *Answer // nil if the answer was streamed
	StreamedTo ID      // waiter that received answer bytes directly, 0 for none
}

// JoinAsked is a Join call of another agent for a key that this incarnation owns.
type JoinAsked struct {
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

// Tick lets deadlines and pauses take effect.
type Tick struct{}

// Peer is another agent of a service.
type Peer struct {
	Host      model.HostID
	TakesWork bool
	Ejected   bool
	Since     time.Time // when the ejection began
	Queued    int
	Mean      time.Duration // measured service time, 0 if not known
}

// Peers replaces what is known of the other agents of a service.
type Peers struct {
	Service model.ServiceID
	Peers   []Peer
}

// Local sets the state of the agent's own host.
type Local struct {
	Draining      bool
	DrainDeadline time.Time // when the remaining callers are listed; zero for never
	Cold          bool      // the upstream process is starting
}

// ServiceDrain tells whether the host leaves one service, while it may go on with others.
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
func (JoinAsked) requestEvent()     {}
func (JoinEnded) requestEvent()     {}
func (HandOverEnded) requestEvent() {}
func (Tick) requestEvent()          {}
func (Peers) requestEvent()         {}
func (Local) requestEvent()         {}
func (ServiceDrain) requestEvent()  {}

// ActionKind says what the gate has to do.
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
	ActionArm                                // send a Tick at At
	ActionDone                               // the data of request Run are not needed any more
	ActionDrainOverdue                       // the drain deadline passed while Callers still wait
)

// Action is one output of the machine.
type Action struct {
	Kind     ActionKind
	Run      ID // request that a unit of work began with
	ID       ID // waiter, for ActionAnswer
	Ref      binding.Ref
	Digest   binding.Digest
	Deadline time.Time
	Owner    model.HostRef
	To       model.HostID
	Code     result.Code
	Answer   *Answer
	Held     bool // for the answer to a JoinAsked: the code describes the run of the key
	At       time.Time
	Callers  []netip.AddrPort
}

// Config holds the limits of a machine.
type Config struct {
	Self          model.HostRef
	Slots         int           // requests that may run at once on the local upstream
	QueueLimit    int           // default for services without own limit
	MaxBinding    int           // requests that may wait for a binding
	BindPatience  time.Duration // for one bind
	JoinPatience  time.Duration // how long a join tries to reach an owner
	CancelGrace   time.Duration // how long a keyed run goes on after its last waiter left, so that a retry can join
	MaxRun        time.Duration // limit for requests without deadline; far below binding.KeepWithoutDeadline
	RetainCount   int           // answers kept for joined retries
	RetainBytes   int
	RetryRatio    float64 // re-sends per request
	RetryBurst    float64
	EjectAfter    int // failures in a row
	EjectFor      time.Duration
	EjectForMax   time.Duration
	NoAdmission   bool // baseline for benchmarks: no slots, queue limits or early refusal
	NoEarlyRefuse bool
}

// DefaultConfig returns the limits of the deployments in the design page.
func DefaultConfig(self model.HostRef) Config {
	return Config{
		Self:         self,
		Slots:        3,
		QueueLimit:   64,
		MaxBinding:   512,
		BindPatience: 2 * time.Second,
		JoinPatience: 10 * time.Second,
		CancelGrace:  5 * time.Second,
		MaxRun:       10 * time.Minute,
		RetainCount:  4096,
		RetainBytes:  32 << 20,
		RetryRatio:   0.1,
		RetryBurst:   10,
		EjectAfter:   5,
		EjectFor:     2 * time.Second,
		EjectForMax:  60 * time.Second,
	}
}
