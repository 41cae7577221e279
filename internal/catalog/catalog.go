// Package catalog is the aggregate of desired and known state: services, rights, hosts, control members, intents with
// their plans, the history of changes and the account totals. It is the state machine of the `catalog` log: only
// committed commands change it, and time comes only from Apply's argument.
package catalog

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Bounds of the state. At 570 changes a day the history covers four weeks.
const (
	MaxChanges        = 16384 // changes in the history; older ones are dropped and counted per service
	MaxIntents        = 2048  // intents, open ones included; the oldest finished ones are dropped first
	MaxOpenIntents    = 512   // intents that are planned, running or paused; the oldest planned one gives way
	MaxHosts          = 16384 // hosts; announcements of further ones are refused
	MaxServices       = 4096  // open services; further ones are refused
	MaxClosedServices = 1024  // closed services that are kept for their reports
	MaxCallers        = 20000 // caller rows of one service; further callers are counted only in the totals
)

// Catalog is the replicated state. It is not safe for concurrent use: the goroutine that applies the log is the only
// writer, and readers must be kept out while Apply or Restore runs.
type Catalog struct {
	index    uint64 // last applied log index
	revision uint64 // last configuration revision
	at       int64  // Unix milliseconds of the last command

	lastService    uint32
	lastIntent     uint64
	services       map[uint32]*catalogpb.Service
	hosts          map[string]*catalogpb.Host
	control        []*catalogpb.ControlMember
	controlVersion uint64
	keys           *catalogpb.KeyRing
	intents        map[uint64]*intentpb.Intent
	changes        []*catalogpb.Change
	changesDropped uint64
	intentsDropped uint64

	// Indexes, rebuilt by Restore.
	byName     map[string]uint32   // services that are not closed
	byFrontend map[string]uint32   // services that are not closed
	byTunnel   map[string]string   // tunnel address to host
	byRPC      map[string]string   // RPC address to host
	rightsOf   map[string][]uint32 // host to services that are not closed
	byKey      map[operatorKey]uint64
	claims     map[string]uint64 // claimed object to the running or paused intent
	rows       map[uint32]*accountRows

	bumped        bool // the current command already has a new revision
	dirtyServices map[uint32]bool
	dirtyHosts    map[string]bool
	published     *model.Snapshot
}

type operatorKey struct{ operator, key string }

// New returns an empty catalog at revision zero.
func New() *Catalog {
	c := &Catalog{}
	c.load(&catalogpb.State{})
	return c
}

// Apply executes a committed command and returns an encoded catalogpb.Result. A command that was executed before has
// no further effect. A command that cannot be decoded changes nothing and yields result.Internal.
func (c *Catalog) Apply(index uint64, at time.Time, command []byte) []byte {
	c.index = index
	c.at = max(c.at, at.UnixMilli())
	c.bumped = false
	var cmd catalogpb.Command
	res := &catalogpb.Result{}
	if err := proto.Unmarshal(command, &cmd); err != nil {
		setError(res, result.Errorf(result.Internal, "decode command: %w", err))
		return encodeResult(res)
	}
	intent, err := c.do(&cmd)
	setError(res, err)
	res.Revision = c.revision
	if intent != nil {
		res.Intent = intent
	}
	return encodeResult(res)
}

// do executes one command. On error nothing has changed.
func (c *Catalog) do(cmd *catalogpb.Command) (*intentpb.Intent, error) {
	switch d := cmd.GetDo().(type) {
	case *catalogpb.Command_Announce:
		return nil, c.announce(d.Announce)
	case *catalogpb.Command_Totals:
		return nil, c.addTotals(d.Totals)
	case *catalogpb.Command_Lost:
		return nil, c.declareLost(d.Lost)
	case *catalogpb.Command_Return:
		return nil, c.takeBack(d.Return)
	case *catalogpb.Command_Forget:
		return nil, c.forget(d.Forget)
	case *catalogpb.Command_Submit:
		return c.submit(d.Submit)
	case *catalogpb.Command_Replan:
		return c.replan(d.Replan)
	case *catalogpb.Command_Confirm:
		return c.confirm(d.Confirm)
	case *catalogpb.Command_Advance:
		return c.advance(d.Advance)
	case *catalogpb.Command_Overdue:
		return c.overdue(d.Overdue)
	case *catalogpb.Command_SetState:
		return c.setState(d.SetState)
	case *catalogpb.Command_SetControl:
		return nil, c.setControl(d.SetControl)
	}
	return nil, result.Errorf(result.Internal, "command of an unknown kind")
}

// bump gives the current command a revision of its own. It must be called before a change that Config shows.
func (c *Catalog) bump() {
	if c.bumped {
		return
	}
	c.revision++
	c.bumped = true
}

func setError(res *catalogpb.Result, err error) {
	if err == nil {
		return
	}
	res.Code = uint32(result.CodeOf(err))
	res.Detail = detail(err)
}

func detail(err error) string {
	if coded, ok := err.(*result.Error); ok {
		return coded.Detail()
	}
	return err.Error()
}

func encodeResult(res *catalogpb.Result) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil { // only invalid UTF-8 can cause this; the detail may hold it
		raw, _ = proto.Marshal(&catalogpb.Result{Code: uint32(result.Internal), Detail: "result cannot be encoded"})
	}
	return raw
}

// Encode returns the log entry of a command.
func Encode(cmd *catalogpb.Command) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(cmd)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode command: %w", err)
	}
	return raw, nil
}

// DecodeResult reads what Apply returned. A result with a code is returned together with the error that it carries.
func DecodeResult(raw []byte) (*catalogpb.Result, error) {
	var res catalogpb.Result
	if err := proto.Unmarshal(raw, &res); err != nil {
		return nil, result.Errorf(result.Internal, "decode result: %w", err)
	}
	if res.Code != 0 {
		return &res, result.Errorf(result.Code(res.Code), "%s", res.Detail)
	}
	return &res, nil
}
