// Package catalog holds the desired state and the state reported by hosts: services, rights, hosts, control members,
// intents with their plans, the history of changes and the account totals. It is the state machine of the `catalog`
// log: only committed commands change it, and Apply's argument is its only clock.
package catalog

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Limits on the size of the state. At 570 changes a day the history covers four weeks.
const (
	MaxChanges        = 16384 // changes in the history; older ones are dropped and counted per service
	MaxIntents        = 2048  // intents, open ones included; the oldest finished ones are dropped first
	MaxOpenIntents    = 512   // intents that are planned, running or paused; the oldest planned one is aborted to make room
	MaxHosts          = 16384 // hosts; announcements of further hosts are refused
	MaxServices       = 4096  // open services; the creation of further services is refused
	MaxClosedServices = 1024  // closed services whose records are kept for their reports
	MaxCallers        = 20000 // caller rows per service; further callers are counted only in the totals
)

// Catalog is the replicated state. It is not safe for concurrent use: the goroutine that applies the log is the only
// writer, and readers must be kept out while Apply or Restore runs.
type Catalog struct {
	index      uint64 // index of the last applied log entry
	revision   uint64 // latest configuration revision
	lastUnixMs int64  // time of the last command

	lastServiceID  uint32
	lastIntentID   uint64
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
	serviceByName     map[string]uint32   // open services only
	serviceByFrontend map[string]uint32   // open services only
	hostByTunnel      map[string]string   // key: tunnel address
	hostByRPC         map[string]string   // key: RPC address
	servicesByHost    map[string][]uint32 // open services that the host may carry
	intentByKey       map[operatorKey]uint64
	intentByClaim     map[string]uint64 // running or paused intent that claims an object
	accounts          map[uint32]*accountRows

	revisionBumped bool // the current command has already incremented the revision
	dirtyServices  map[uint32]bool
	dirtyHosts     map[string]bool
	published      *model.Snapshot
}

type operatorKey struct{ operator, key string }

// New returns an empty catalog at revision zero.
func New() *Catalog {
	c := &Catalog{}
	c.load(&catalogpb.State{})
	return c
}

// Apply executes a committed command and returns an encoded catalogpb.Result. Commands are idempotent: one that was
// executed before changes nothing. A command that cannot be decoded changes nothing and yields result.Internal.
func (c *Catalog) Apply(index uint64, at time.Time, command []byte) []byte {
	c.index = index
	c.lastUnixMs = max(c.lastUnixMs, at.UnixMilli())
	c.revisionBumped = false
	var cmd catalogpb.Command
	res := &catalogpb.Result{}
	if err := proto.Unmarshal(command, &cmd); err != nil {
		setError(res, result.Errorf(result.Internal, "decode command: %w", err))
		return encodeResult(res)
	}
	intent, err := c.execute(&cmd)
	setError(res, err)
	res.Revision = c.revision
	if intent != nil {
		res.Intent = intent
	}
	return encodeResult(res)
}

// execute runs one command. On error the state is unchanged.
func (c *Catalog) execute(cmd *catalogpb.Command) (*intentpb.Intent, error) {
	switch d := cmd.GetDo().(type) {
	case *catalogpb.Command_Announce:
		return nil, c.announceHosts(d.Announce)
	case *catalogpb.Command_Totals:
		return nil, c.addTotals(d.Totals)
	case *catalogpb.Command_Lost:
		return nil, c.declareLost(d.Lost)
	case *catalogpb.Command_Return:
		return nil, c.returnHosts(d.Return)
	case *catalogpb.Command_Forget:
		return nil, c.forgetHosts(d.Forget)
	case *catalogpb.Command_Submit:
		return c.submit(d.Submit)
	case *catalogpb.Command_Replan:
		return c.replan(d.Replan)
	case *catalogpb.Command_Confirm:
		return c.confirm(d.Confirm)
	case *catalogpb.Command_Advance:
		return c.advance(d.Advance)
	case *catalogpb.Command_Overdue:
		return c.recordOverdue(d.Overdue)
	case *catalogpb.Command_SetState:
		return c.setState(d.SetState)
	case *catalogpb.Command_SetControl:
		return nil, c.setControl(d.SetControl)
	}
	return nil, result.Errorf(result.Internal, "command of an unknown kind")
}

// bumpRevision increments the revision, at most once per command. It must be called before any change that is visible
// in Config.
func (c *Catalog) bumpRevision() {
	if c.revisionBumped {
		return
	}
	c.revision++
	c.revisionBumped = true
}

func setError(res *catalogpb.Result, err error) {
	if err == nil {
		return
	}
	res.Code = uint32(result.CodeOf(err))
	res.Detail = errorDetail(err)
}

func errorDetail(err error) string {
	if coded, ok := err.(*result.Error); ok {
		return coded.Detail()
	}
	return err.Error()
}

func encodeResult(res *catalogpb.Result) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil { // only invalid UTF-8 can cause this, and the detail can contain it
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

// DecodeResult decodes the return value of Apply. If the result has an error code, DecodeResult returns both the result
// and the error.
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
