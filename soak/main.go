// Soak runs the real programs as separate processes on loopback addresses, injects faults from outside of them, and checks
// the promises from what callers, hosts and the operator see.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/plantainseam/plantainseam/platform/standin"
)

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the faults and of the callers"`
	Seconds int           `long:"seconds" default:"30" description:"how long faults are injected"`
	Edges   int           `long:"edges" default:"3" description:"entry processes"`
	Sides   int           `long:"sides" default:"6" description:"agent processes"`
	Cores   int           `long:"cores" default:"5" description:"control processes"`
	Spares  int           `long:"spares" default:"4" description:"control processes that replace others during the run"`
	Callers int           `long:"callers" default:"6" description:"callers; each keeps two flows open"`
	Loss    float64       `long:"loss" default:"0.002" description:"share of callers' packets that get lost"`
	Network byte          `long:"network" default:"90" description:"second byte of the loopback addresses"`
	Daemon  string        `long:"daemon" default:"target/plantainseamd" description:"program to run"`
	Model   standin.Model `no-flag:"true"`
	Plan    string        `long:"experiment" value-name:"FILE" description:"play a load described in YAML instead of faults, and vary one parameter"`
	Results string        `long:"results" default:"docs/experiments" description:"folder for the results of an experiment"`
	Keep    string        `long:"keep" description:"folder that keeps logs and the time line after a violation"`
}

// Exit statuses.
const (
	exitViolation = 1
	exitUsage     = 2
	exitFault     = 3
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Plan != "" {
		e, err := readExperiment(o.Plan)
		if err == nil {
			err = runExperiment(e, o.Daemon, o.Results, os.Stdout)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(exitFault)
		}
		return
	}
	started := time.Now()
	violations, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFault)
	}
	fmt.Printf("seed %d: %d violations in %.0f s\n", o.Seed, violations, time.Since(started).Seconds())
	if violations > 0 {
		fmt.Printf("again: go run ./soak --seed %d --seconds %d --edges %d --sides %d --cores %d --spares %d --callers %d\n",
			o.Seed, o.Seconds, o.Edges, o.Sides, o.Cores, o.Spares, o.Callers)
		os.Exit(exitViolation)
	}
}
