package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// cutTime is how long the control VM is cut off.
const cutTime = 14 * time.Second

// isolatedRoster replaces the control VMs that were the seeds, cuts one of the others off for a while, reconnects it, and
// then restarts entries and agents in turn.
func isolatedRoster(r *record, daemon string, trouble bool) (int, error) {
	d, err := newDeployment(r, daemon, standin.Config{Edges: 4, Sides: 8, Cores: 8}, "core-1", "core-2", "core-3")
	if err != nil {
		return 0, err
	}
	defer d.end()
	for _, m := range d.site.Machines {
		switch m.Name {
		case "core-6", "core-7", "core-8":
			continue
		}
		if err := d.start(m, true); err != nil {
			return 0, err
		}
	}
	if !d.site.Operator.Declare(20 * time.Second) {
		return 0, errors.New("the first manifest was not acknowledged")
	}
	if err := d.setSeeds(d.seeds...); err != nil {
		return 0, err
	}
	w, err := d.surround(10)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	for i, seeds := range [][]string{{"core-2", "core-3", "core-6"}, {"core-3", "core-6", "core-7"}, {"core-6", "core-7", "core-8"}} {
		gone, next := fmt.Sprintf("core-%d", i+1), fmt.Sprintf("core-%d", i+6)
		r.note("%s is replaced by %s: the new one starts", gone, next)
		if err := d.start(d.machine(next), false); err != nil {
			return 0, err
		}
		time.Sleep(2 * time.Second)
		r.note("SIGTERM to %s, which is removed", gone)
		d.processes[gone].stop()
		time.Sleep(catchUp)
		if err := d.setSeeds(seeds...); err != nil {
			return 0, err
		}
	}
	if trouble {
		r.note("core-4 is cut off from the other control VMs for %s", cutTime)
		d.cuts.set("core-4", true)
	}
	time.Sleep(cutTime)
	d.cuts.set("core-4", false)
	r.note("core-4 is connected again")
	time.Sleep(stability + 2*time.Second)
	if err := d.setSeeds("core-8", "core-7", "core-4"); err != nil {
		return 0, err
	}
	r.note("all machines are in touch; planned restarts begin")
	before := w.broken()
	for _, class := range []string{"side", "edge"} {
		for _, m := range d.site.Machines {
			if m.Class != class {
				continue
			}
			if err := d.processes[m.Name].restart(); err != nil {
				return 0, err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(14 * time.Second)
	r.note("outcomes: %v", w.counts)
	return w.broken() - before, nil
}
