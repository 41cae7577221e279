package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the stop case.
const (
	stopRounds   = 4
	stopSettle   = 6 * time.Second
	outageTime   = 1600 * time.Millisecond // of all control VMs
	stopDelay    = 450 * time.Millisecond  // from the loss of power to the planned stop
	stopInterval = 14 * time.Second        // between two rounds: the machines count again before the next one
	stopPause    = 20 * time.Millisecond   // between two requests
)

// stopCase stops one agent at a time, as for a planned restart, a moment after all control VMs have lost power. No process
// may end by itself: a stop signal must not make it crash.
func stopCase(s *site, trouble bool) (bool, error) {
	var cores []*machine
	for i, zone := range []string{"za", "za", "zb", "zc", "zd"} {
		cores = append(cores, s.add("core", i+1, zone, ""))
	}
	entry := s.add("edge", 1, "za", "")
	var sides []*machine
	for i, zone := range []string{"za", "zb", "zc"} {
		sides = append(sides, s.add("side", i+1, zone, "match"))
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	for i, m := range sides {
		if _, err := startHost(fmt.Sprintf("i-%d", i+1), m, s.record, nil); err != nil {
			return false, err
		}
	}
	front := netip.MustParseAddrPort("198.18.0.1:8080")
	if err := s.declareFirst(manifest(1, route{"r-1", front, "match"})); err != nil {
		return false, err
	}
	caller, err := newClient(s, entry)
	if err != nil {
		return false, err
	}
	time.Sleep(stopSettle)
	if o := caller.request(front); o.answer == "" {
		return false, fmt.Errorf("%w: no service before the first outage: %s", errCannotRun, o.why)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendRequests(s.record, caller, front, stop, &clients)
	}()
	broken := false
	for round := range stopRounds {
		crashed, err := stopRound(s, cores, sides[round%len(sides)], trouble)
		if err != nil {
			return false, err
		}
		broken = broken || crashed
	}
	close(stop)
	clients.Wait()
	return broken, nil
}

// stopRound stops an agent while the control VMs are without power and reports whether it crashed.
func stopRound(s *site, cores []*machine, agent *machine, trouble bool) (crashed bool, err error) {
	began := time.Now()
	if trouble {
		for _, m := range cores {
			m.signal(syscall.SIGSTOP) // a machine without power answers nothing
		}
	}
	time.Sleep(time.Until(began.Add(stopDelay)))
	agent.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(time.Until(began.Add(outageTime)))
		for _, m := range cores {
			m.signal(syscall.SIGKILL)
			m.wait(graceTime)
			if err := s.start(m); err != nil {
				return false, fmt.Errorf("%w: %w", errCannotRun, err)
			}
		}
	}
	status, code, ended := agent.wait(graceTime)
	s.record.note("%s: ended %t, %s", agent.name, ended, status)
	if !ended {
		return false, fmt.Errorf("%s did not end within its grace time", agent.name)
	}
	if code != 0 {
		s.record.note("BROKEN: %s ended by itself after the stop signal; it printed:\n%s", agent.name, panicOf(agent.log()))
	}
	time.Sleep(restartDelay)
	if err := s.start(agent); err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	time.Sleep(time.Until(began.Add(stopInterval)))
	return code != 0, nil
}

// panicOf returns the reason of a crash and the functions on the stack, without the paths of source files.
func panicOf(log string) string {
	i := strings.LastIndex(log, "panic:")
	if i < 0 {
		return "  (no reason)"
	}
	var lines []string
	for line := range strings.Lines(log[i:]) {
		line = strings.TrimSpace(line)
		if line == "" && len(lines) > 4 {
			break
		}
		if line != "" && !strings.Contains(line, ".go:") {
			lines = append(lines, "             "+line)
		}
	}
	return strings.Join(lines[:min(len(lines), 10)], "\n")
}

// sendRequests sends requests at a constant rate, each on a flow of its own, and records each, until stop is closed.
func sendRequests(r *record, caller *client, front netip.AddrPort, stop <-chan struct{}, clients *sync.WaitGroup) {
	ticker := time.NewTicker(stopPause)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			o := caller.request(front)
			r.note("request %s sent at %.4f: answer %q %s", o.flow.client, r.at(o.sent), o.answer, o.why)
		}()
	}
}
