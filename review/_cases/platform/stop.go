package main

import (
	"fmt"
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
	d, err := s.deploy("match", threeHosts, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(stopSettle)
	if err := d.checkService(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendRequests(d.client, stop, &clients)
	}()
	broken := false
	for round := range stopRounds {
		crashed, err := stopRound(d, d.sides[round%len(d.sides)], trouble)
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
func stopRound(d *deployment, agent *machine, trouble bool) (crashed bool, err error) {
	began := time.Now()
	if trouble {
		for _, m := range d.cores {
			m.signal(syscall.SIGSTOP) // a machine without power answers nothing
		}
	}
	time.Sleep(time.Until(began.Add(stopDelay)))
	agent.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(time.Until(began.Add(outageTime)))
		for _, m := range d.cores {
			m.signal(syscall.SIGKILL)
			m.wait(graceTime)
			if err := d.start(m); err != nil {
				return false, fmt.Errorf("%w: %w", errCannotRun, err)
			}
		}
	}
	status, code, ended := agent.wait(graceTime)
	d.record.note("%s: ended %t, %s", agent.name, ended, status)
	if !ended {
		return false, fmt.Errorf("%s did not end within its grace time", agent.name)
	}
	if code != 0 {
		d.record.note("BROKEN: %s ended by itself after the stop signal; it printed:\n%s", agent.name, panicOf(agent.log()))
	}
	time.Sleep(restartDelay)
	if err := d.start(agent); err != nil {
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
func sendRequests(caller *client, stop <-chan struct{}, clients *sync.WaitGroup) {
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
			caller.record.note("request %s sent at %.4f: answer %q %s", o.flow.client, caller.record.at(o.sent), o.answer, o.why)
		}()
	}
}
