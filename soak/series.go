package main

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

const (
	// longCut is longer than control VMs keep the records of processes that they do not hear.
	longCut = 14 * time.Second
	// maxInSeries bounds the control VMs that one series replaces.
	maxInSeries = 3
)

// series replaces control VMs one after the other, gives all processes other seeds, and then takes two disks at once or cuts a
// control VM off for longer than records live. At no time are more lost than tolerated.
func (s *soak) series(random *rand.Rand) func(p *process) error {
	return func(p *process) error {
		for range 1 + random.IntN(maxInSeries) {
			spare := s.spare()
			if spare == nil {
				break
			}
			if err := s.replace(random, p, spare); err != nil {
				return err
			}
			p = s.anyCore(random)
		}
		if err := s.changeSeeds(random); err != nil {
			return err
		}
		time.Sleep(catchUp)
		if random.IntN(2) == 0 {
			return s.wipeTwo(random)
		}
		return s.cutOff(s.anyCore(random))
	}
}

// replace starts a control VM at another address with an empty disk and stops another one for good, in either order.
func (s *soak) replace(random *rand.Rand, old, next *process) error {
	how := syscall.SIGTERM
	if random.IntN(2) == 0 {
		how = syscall.SIGKILL
	}
	first := random.IntN(2) == 0
	s.site.Watch.Note("%s replaces %s, started first %t, %s", next.machine.Name, old.machine.Name, first, how)
	if !first {
		old.retire(how)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	if err := s.site.WriteSettings(next.machine, false); err != nil {
		return err
	}
	if err := next.start(); err != nil {
		return err
	}
	time.Sleep(catchUp / 2) // two replacements count as lost at the same time
	if first {
		old.retire(how)
	}
	if how == syscall.SIGKILL {
		time.Sleep(catchUp / 2) // the group notices a kill by silence only
	}
	return nil
}

// changeSeeds writes other seeds into all settings files and tells half of the processes, as the platform may.
func (s *soak) changeSeeds(random *rand.Rand) error {
	var running []*standin.Machine
	for _, p := range s.runningCores() {
		running = append(running, p.machine)
	}
	random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	s.site.SetSeeds(running[:min(3, len(running))])
	for _, m := range s.site.Machines {
		if err := s.site.WriteSettings(m, false); err != nil {
			return err
		}
		if p := s.processes[m.Name]; !p.absent.Load() && random.IntN(2) == 0 {
			p.signal(syscall.SIGHUP)
		}
	}
	return nil
}

// wipeTwo takes two control processes and their disks away at once.
func (s *soak) wipeTwo(random *rand.Rand) error {
	cores := s.runningCores()
	random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	for _, p := range cores[:2] {
		s.site.Watch.Note("%s loses its disk", p.machine.Name)
		p.stop(syscall.SIGKILL)
	}
	for _, p := range cores[:2] {
		if err := p.startBlank(); err != nil {
			return err
		}
	}
	time.Sleep(catchUp)
	return nil
}

// cutOff cuts a control VM off from the others.
func (s *soak) cutOff(p *process) error {
	s.site.Watch.Note("%s is cut off from the other control VMs", p.machine.Name)
	s.partition.set(p.machine, true)
	time.Sleep(longCut)
	s.partition.set(p.machine, false)
	s.site.Watch.Note("%s is connected again", p.machine.Name)
	time.Sleep(catchUp)
	return nil
}

// startBlank starts a control process with an empty disk.
func (p *process) startBlank() error {
	if err := os.RemoveAll(p.machine.DataDir); err != nil {
		return err
	}
	if err := os.MkdirAll(p.machine.DataDir, 0o755); err != nil {
		return err
	}
	return p.start()
}

// runningCores returns the control processes that run.
func (s *soak) runningCores() []*process {
	var out []*process
	for _, m := range s.site.Machines {
		if p := s.processes[m.Name]; m.Class == "core" && !p.absent.Load() {
			out = append(out, p)
		}
	}
	return out
}

func (s *soak) anyCore(random *rand.Rand) *process {
	cores := s.runningCores()
	return cores[random.IntN(len(cores))]
}

// spare returns a control process that has not been started yet, or nil.
func (s *soak) spare() *process {
	for _, m := range s.site.Machines {
		if p := s.processes[m.Name]; m.Spare && p.absent.Load() && !p.retired.Load() {
			return p
		}
	}
	return nil
}
