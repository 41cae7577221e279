package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// Times of a run.
const (
	// startPatience bounds the wait for the first acknowledged manifest.
	startPatience = 30 * time.Second
	// calm is the time without faults at the end, after which everything has to work again (the platform's recoveryS).
	calm = 12 * time.Second
	// checkInterval is how often the operator reads the manifest back.
	checkInterval = 700 * time.Millisecond
)

// soak is one run.
type soak struct {
	options
	site      *standin.Site
	processes map[string]*process
	proxies   map[string]*proxy // by core machine
	datagrams *datagrams
	partition *partition
	random    *rand.Rand
	injected  map[string]int // faults so far, by name; used by play only
	busy      sync.Map       // machines with a fault under way
	cores     sync.Mutex
	faults    sync.WaitGroup
}

// run plays one seed and returns the number of violations.
func run(o options) (int, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, fmt.Errorf("folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := newSoak(o, folder)
	if err != nil {
		return 0, err
	}
	defer s.end()
	if err := s.play(); err != nil {
		return 0, err
	}
	return s.report(folder)
}

// newSoak starts the processes of a site whose files are in the folder.
func newSoak(o options, folder string) (*soak, error) {
	site, err := standin.New(standin.Config{
		Folder: folder, Network: o.Network, Edges: o.Edges, Sides: o.Sides, Cores: o.Cores, Spares: o.Spares, Callers: o.Callers, Loss: o.Loss,
		Proxied: true, Model: o.Model,
	})
	if err != nil {
		return nil, err
	}
	s := &soak{options: o, site: site, processes: map[string]*process{}, proxies: map[string]*proxy{},
		partition: &partition{off: map[string]bool{}}, injected: map[string]int{}, random: rand.New(rand.NewPCG(o.Seed, 1))}
	if s.datagrams, err = newDatagrams(site.Machines); err != nil {
		s.end()
		return nil, err
	}
	for _, m := range site.Machines {
		if m.Class != "core" {
			continue
		}
		if s.proxies[m.Name], err = newProxy(m, s.partition); err != nil {
			s.end()
			return nil, err
		}
	}
	for _, m := range site.Machines {
		p, err := newProcess(o.Daemon, folder, site, m)
		if err == nil {
			s.processes[m.Name] = p
			if !m.Spare {
				err = p.start()
			}
		}
		if err != nil {
			s.end()
			return nil, err
		}
	}
	return s, nil
}

// surround declares the first manifest and starts hosts, routers and callers.
func (s *soak) surround() error {
	if !s.site.Operator.Declare(startPatience) {
		return fmt.Errorf("no manifest was acknowledged within %s", startPatience)
	}
	for _, m := range s.site.Machines {
		if err := s.site.WriteSettings(m, false); err != nil {
			return err
		}
	}
	return s.site.Start(s.Seed)
}

// play starts the surroundings, injects faults and checks that everything works again.
func (s *soak) play() error {
	if err := s.surround(); err != nil {
		s.site.Watch.Violate("start", "%v", err)
		return nil
	}
	stop := make(chan struct{})
	var operator sync.WaitGroup
	operator.Add(1)
	go func() {
		defer operator.Done()
		s.operate(stop)
	}()
	end := time.Now().Add(time.Duration(s.Seconds) * time.Second)
	for time.Now().Before(end) {
		if s.random.IntN(outageEvery) > 0 {
			s.inject()
		} else if err := s.outage(); err != nil {
			return err
		}
		time.Sleep(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
	}
	s.faults.Wait()
	s.site.Watch.Note("faults end")
	time.Sleep(calm)
	close(stop)
	operator.Wait()
	s.checkRecovery()
	return nil
}

// operate changes the manifest and reads it back until stop is closed.
func (s *soak) operate(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(checkInterval):
		}
		if n%3 == 0 {
			s.site.Operator.Declare(5 * time.Second)
		}
		s.site.Operator.Check()
	}
}

// checkRecovery checks that nothing acknowledged is lost and that callers are served again.
func (s *soak) checkRecovery() {
	if highest := s.site.Operator.Check(); highest < s.site.Operator.Acknowledged() {
		s.site.Watch.Violate("lost", "version %d was acknowledged, %d is the highest read", s.site.Operator.Acknowledged(), highest)
	}
	before := s.site.Watch.Counts()["answered"]
	time.Sleep(2 * time.Second)
	if s.site.Watch.Counts()["answered"] == before {
		s.site.Watch.Violate("recover", "no request was answered for 2 s after %s without faults", calm)
	}
}

// fault is a kind of fault on one machine.
type fault struct {
	name    string
	class   string
	run     func(p *process) error
	planned bool // or one that leaves the machine in touch: no flow may be lost
}

// faults are injected in series and overlapping.
func (s *soak) kinds() []fault {
	away := time.Duration(s.random.IntN(3000)) * time.Millisecond
	freeze := func(p *process) error {
		p.signal(syscall.SIGSTOP)
		time.Sleep(away)
		p.signal(syscall.SIGCONT)
		return nil
	}
	rewire := func(w wire) func(p *process) error {
		return func(p *process) error {
			s.proxies[p.machine.Name].set(w)
			time.Sleep(away)
			s.proxies[p.machine.Name].set(wireGood)
			return nil
		}
	}
	disturb := func(h harm) func(p *process) error {
		return func(p *process) error {
			s.datagrams.set(p.machine, h)
			time.Sleep(away)
			s.datagrams.set(p.machine, unharmed)
			return nil
		}
	}
	kill := func(p *process) error { return p.restart(syscall.SIGKILL, away) }
	stop := func(p *process) error { return p.restart(syscall.SIGTERM, 0) }
	return []fault{
		{"kill", "edge", kill, false}, {"kill", "side", kill, false}, {"kill", "core", kill, false},
		{"stop", "edge", stop, true}, {"stop", "side", stop, true}, {"stop", "core", stop, true},
		{"freeze", "edge", freeze, false}, {"freeze", "side", freeze, false}, {"freeze", "core", freeze, false},
		{"wipe", "core", s.wipe, false}, {"crash host", "side", s.crashHost, true}, {"drain host", "side", s.drainHost, true},
		{"hang up", "edge", hangUp, true}, {"hang up", "core", hangUp, true},
		{"slow wire", "core", rewire(wireSlow), false}, {"silent wire", "core", rewire(wireSilent), false},
		{"half wire", "core", rewire(wireHalf), false}, {"refusing wire", "core", rewire(wireRefusing), false},
		{"lossy datagrams", "edge", disturb(lossy), false}, {"late datagrams", "edge", disturb(late), false}, {"deaf", "edge", disturb(deaf), false},
		{"lossy datagrams", "side", disturb(lossy), false}, {"late datagrams", "side", disturb(late), false}, {"mute", "side", disturb(mute), false},
		{"failing host", "side", s.failHost, true}, {"odd report", "side", s.oddReport(s.random.Uint64()), true},
		{"odd report", "side", s.oddReport(s.random.Uint64()), true},
		{"series", "core", s.series(rand.New(rand.NewPCG(s.random.Uint64(), 2))), false},
		{"series", "core", s.series(rand.New(rand.NewPCG(s.random.Uint64(), 2))), false},
	}
}

func hangUp(p *process) error {
	p.signal(syscall.SIGHUP)
	return nil
}

// wipe takes a control process and its disk away.
func (s *soak) wipe(p *process) error {
	p.stop(syscall.SIGKILL)
	if err := p.startBlank(); err != nil {
		return err
	}
	time.Sleep(catchUp)
	return nil
}

// catchUp is how long a control VM counts as lost after it is back (the platform's catchUpS).
const catchUp = 4 * time.Second

func (s *soak) crashHost(p *process) error {
	s.site.Host(p.machine).Stop()
	time.Sleep(time.Second)
	return s.site.StartHost(p.machine)
}

// failHost lets a host reset two requests in five, while its agent hears from it as usual.
func (s *soak) failHost(p *process) error {
	h := s.site.Host(p.machine)
	h.Fail(0.4)
	time.Sleep(3 * time.Second)
	h.Fail(0)
	return nil
}

// oddReport sends the agent of a host that goes on a report of another process: one that lacks a field, or a whole one.
func (s *soak) oddReport(choice uint64) func(p *process) error {
	return func(p *process) error {
		s.site.Host(p.machine).OddReport(choice)
		time.Sleep(2 * time.Second)
		return nil
	}
}

func (s *soak) drainHost(p *process) error {
	s.site.Host(p.machine).Drain()
	time.Sleep(5 * time.Second)
	s.site.Host(p.machine).Stop()
	time.Sleep(restartPause)
	return s.site.StartHost(p.machine)
}

// inject starts a fault on a machine that has none. One control VM at a time is hit, and at most half of the others of a
// class: callers must be served somewhere.
func (s *soak) inject() {
	kinds := s.kinds()
	f := kinds[s.random.IntN(len(kinds))]
	var free []*process
	all := 0
	for _, m := range s.site.Machines {
		if m.Class != f.class {
			continue
		}
		p := s.processes[m.Name]
		if p.absent.Load() {
			continue
		}
		all++
		if _, busy := s.busy.Load(m.Name); !busy {
			free = append(free, p)
		}
	}
	if 2*len(free) <= all {
		return
	}
	p := free[s.random.IntN(len(free))]
	if f.class == "core" && !s.cores.TryLock() {
		return
	}
	s.busy.Store(p.machine.Name, true)
	s.faults.Add(1)
	s.injected[f.name]++
	s.site.Watch.Note("%s %s", f.name, p.machine.Name)
	ends := func() {}
	if !f.planned {
		ends = s.site.Impair(p.machine)
	}
	go func() {
		defer s.faults.Done()
		defer ends()
		if err := f.run(p); err != nil {
			s.site.Watch.Violate("soak", "%s %s: %v", f.name, p.machine.Name, err)
		}
		s.site.Watch.Note("%s %s ends", f.name, p.machine.Name)
		s.busy.Delete(p.machine.Name)
		if f.class == "core" {
			s.cores.Unlock()
		}
	}()
}

// end stops everything that was started.
func (s *soak) end() {
	s.site.Stop()
	for _, p := range s.proxies {
		if p != nil {
			p.close()
		}
	}
	if s.datagrams != nil {
		s.datagrams.close()
	}
	for _, p := range s.processes {
		p.stop(syscall.SIGKILL)
		_ = p.log.Close() // nothing reads it any more
	}
}

// report prints what was seen and keeps the logs of a run with violations.
func (s *soak) report(folder string) (int, error) {
	violations := s.site.Watch.Violations()
	fmt.Printf("seed %d: %v, faults %v\n", s.Seed, s.site.Watch.Counts(), s.injected)
	for _, v := range violations {
		fmt.Printf("  %8.3f  %s: %s\n", v.At.Seconds(), strings.ToUpper(v.Rule), v.What)
	}
	if len(violations) == 0 || s.Keep == "" {
		return len(violations), nil
	}
	to := filepath.Join(s.Keep, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.CopyFS(to, os.DirFS(folder)); err != nil {
		return len(violations), fmt.Errorf("keep logs: %w", err)
	}
	text := strings.Join(s.site.Watch.Events(), "\n") + "\n"
	return len(violations), os.WriteFile(filepath.Join(to, "timeline.txt"), []byte(text), 0o600)
}
