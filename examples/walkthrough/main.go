// Walkthrough runs two whole deployments in one process on loopback addresses: control VMs, entry VMs, agents, and
// stand-ins for the fabric, the upstream processes and the callers. Under traffic it retires a host, loses an entry VM
// and the leader, closes a service, and prints what became of every flow and request. It exits with status 0 only if no
// flow was broken and no request was lost, run twice or truncated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"
)

type options struct {
	Data     string        `long:"data" value-name:"DIR" description:"folder for state and logs; a temporary one if not given"`
	Duration time.Duration `long:"duration" default:"20s" description:"time under traffic"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the fabric and the callers"`
	Loss     float64       `long:"loss" default:"0.001" description:"share of callers' packets that the fabric loses"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "walkthrough:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir := o.Data
	if dir == "" {
		temporary, err := os.MkdirTemp("", "plantainseam")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	var group errgroup.Group
	outcomes := make([]*outcome, len(plans))
	for i, p := range plans {
		group.Go(func() error {
			out, err := walk(context.Background(), o, p, dir)
			outcomes[i] = out
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			return nil
		})
	}
	err := group.Wait()
	clean := err == nil
	for _, out := range outcomes {
		if out != nil {
			out.print(os.Stdout)
			clean = clean && out.clean()
		}
	}
	if err != nil {
		return err
	}
	if !clean {
		return errors.New("some flow or request was not served as promised")
	}
	fmt.Println("no flow broken; no request lost, run twice or truncated")
	return nil
}
