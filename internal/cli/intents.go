package cli

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/operator"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// session is one connected command.
type session struct {
	ctx    context.Context
	client *operator.Client
}

// connected runs f with a client and a bounded context.
func (a *app) connected(f func(session) error) error {
	client, err := a.connection.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.connection.context()
	defer cancel()
	return f(session{ctx, client})
}

// withIntent runs a call that answers with an intent, and prints the intent also when it comes with an error.
func (a *app) withIntent(call func(session) (*intentpb.Intent, error)) error {
	return a.connected(func(s session) error {
		in, err := call(s)
		if in != nil {
			if printed := a.printIntent(in); printed != nil {
				return printed
			}
		}
		return err
	})
}

func (a *app) printIntent(in *intentpb.Intent) error {
	if a.connection.Output == "json" {
		return a.printJSON(in)
	}
	writeIntent(a.out, in)
	return nil
}

func (a *app) printJSON(m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(a.out, string(text))
	return err
}

type intentOption struct {
	Intent uint64 `long:"intent" value-name:"NUMBER" required:"true" description:"number of the intent"`
}

type confirm struct {
	app *app
	intentOption
	Plan uint32 `long:"plan" value-name:"NUMBER" required:"true" description:"number of the plan that you have read"`
	Wait bool   `long:"wait" description:"wait until the plan has ended"`
}

// Execute implements flags.Commander.
func (c *confirm) Execute([]string) error {
	return c.app.withIntent(func(s session) (*intentpb.Intent, error) {
		in, err := s.client.Confirm(s.ctx, c.Intent, c.Plan)
		if err != nil || !c.Wait {
			return in, err
		}
		return ended(s.client.Await(s.ctx, c.Intent))
	})
}

// ended turns an intent that did not reach its goal into an error.
func ended(in *intentpb.Intent, err error) (*intentpb.Intent, error) {
	if err != nil || in.State == intentpb.State_STATE_DONE {
		return in, err
	}
	return in, result.Errorf(result.IntentFinished, "intent %d ended as %s", in.Id, in.State)
}

type show struct {
	app *app
	intentOption
	Wait bool `long:"wait" description:"wait until the plan has ended"`
}

// Execute implements flags.Commander.
func (c *show) Execute([]string) error {
	return c.app.withIntent(func(s session) (*intentpb.Intent, error) {
		if c.Wait {
			return ended(s.client.Await(s.ctx, c.Intent))
		}
		return s.client.Get(s.ctx, c.Intent)
	})
}

type pause struct {
	app *app
	intentOption
}

// Execute implements flags.Commander.
func (c *pause) Execute([]string) error {
	return c.app.withIntent(func(s session) (*intentpb.Intent, error) { return s.client.Pause(s.ctx, c.Intent) })
}

type resume struct {
	app *app
	intentOption
	Now bool `long:"now" description:"also end a wait for a time"`
}

// Execute implements flags.Commander.
func (c *resume) Execute([]string) error {
	return c.app.withIntent(func(s session) (*intentpb.Intent, error) { return s.client.Resume(s.ctx, c.Intent, c.Now) })
}

type abort struct {
	app *app
	intentOption
}

// Execute implements flags.Commander.
func (c *abort) Execute([]string) error {
	return c.app.withIntent(func(s session) (*intentpb.Intent, error) { return s.client.Abort(s.ctx, c.Intent) })
}

type list struct {
	app  *app
	Open bool `long:"open" description:"only intents that have not ended"`
	// InForce makes a script able to wait for a change without reading the output.
	InForce bool `long:"await-in-force" description:"wait until every leased VM has the newest revision in force"`
}

// Execute implements flags.Commander.
func (c *list) Execute([]string) error {
	return c.app.connected(func(s session) error {
		resp, err := c.fetch(s)
		if err != nil {
			return err
		}
		if c.app.connection.Output == "json" {
			return c.app.printJSON(resp)
		}
		writeList(c.app.out, resp)
		return nil
	})
}

// awaitPause separates the polls of --await-in-force.
const awaitPause = 200 * time.Millisecond

func (c *list) fetch(s session) (*intentpb.ListResponse, error) {
	for {
		resp, err := s.client.List(s.ctx, c.Open)
		if err != nil || !c.InForce || inForceEverywhere(resp) {
			return resp, err
		}
		select {
		case <-s.ctx.Done():
			return resp, result.Errorf(result.NoQuorum, "revision %d is not in force everywhere: %w", resp.Revision, s.ctx.Err())
		case <-time.After(awaitPause):
		}
	}
}

func inForceEverywhere(resp *intentpb.ListResponse) bool {
	for _, vm := range resp.InForce {
		if vm.Leased && vm.Revision < resp.Revision {
			return false
		}
	}
	return len(resp.InForce) > 0
}

type leader struct{ app *app }

// Execute implements flags.Commander.
func (c *leader) Execute([]string) error {
	return c.app.connected(func(s session) error {
		address, err := s.client.Leader(s.ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.app.out, address)
		return err
	})
}
