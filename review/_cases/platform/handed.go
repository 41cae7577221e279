package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the handed case.
const (
	handedRounds = 5
	handedUse    = 250 * time.Millisecond // between two requests on a flow
	handedBusy   = 6 * time.Second        // after the start of the live host, in which its flows are used
	handedPause  = 4 * time.Second        // in which the clients send nothing, from the stop of the agent on
)

// handedCase lets a host crash whose last report is delayed, as in the reborn case, but the flows of the next host are in
// use all the while. Some seconds later its agent is restarted as planned work, while the clients pause. No open flow of the
// live host may be reset.
func handedCase(s *site, trouble bool) (bool, error) {
	d, err := s.deploy("match", threeHosts, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(lateFollow)
	for round := range handedRounds {
		m := d.sides[round%len(d.sides)]
		dead := d.hosts[m]
		dead.delayNext()
		dead.afterReport(0)
		dead.stop() // it crashes without a word
		time.Sleep(rebornPause)
		if err := d.startHost(m); err != nil {
			return false, err
		}
		broken, err := handedRound(d, m, dead, d.hosts[m], trouble)
		if err != nil || broken {
			return broken, err
		}
		time.Sleep(lateCatchUp)
	}
	return false, nil
}

// handedRound uses the flows of the live host, restarts its agent and reports whether one of them was reset.
func handedRound(d *deployment, m *machine, dead, live *host, trouble bool) (bool, error) {
	began := time.Now()
	end := began.Add(handedBusy)
	var flows []*clientFlow
	var mu sync.Mutex
	var users sync.WaitGroup
	for range rebornFlows {
		users.Add(1)
		go func() {
			defer users.Done()
			f, _ := d.client.openFlow(front)
			if f == nil {
				return
			}
			if f.holder != live.id {
				f.close()
				return
			}
			mu.Lock()
			flows = append(flows, f)
			mu.Unlock()
			for time.Now().Before(end) {
				time.Sleep(handedUse)
				f.request()
			}
		}()
	}
	time.Sleep(time.Until(began.Add(rebornReportAt)))
	if trouble {
		dead.reportLate()
	}
	users.Wait()
	for _, f := range flows {
		defer f.close()
		if _, reset := f.resetAt(); reset {
			d.record.note("flow %s was reset before the restart", f.id.client)
		}
	}
	d.record.note("%d flows are held by host %s on %s", len(flows), live.id, m.name)
	m.signal(syscall.SIGTERM)
	stopped := time.Now()
	if _, _, ended := m.wait(graceTime); !ended {
		return false, fmt.Errorf("%w: %s did not end", errCannotRun, m.name)
	}
	time.Sleep(restartDelay)
	if err := d.start(m); err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	d.record.note("%s starts again", m.name)
	time.Sleep(time.Until(stopped.Add(handedPause)))
	broken := false
	for _, f := range flows {
		at, reset := f.resetAt()
		if reset && at.After(stopped) && live.holds(f.id) {
			broken = true
			d.record.note("BROKEN: flow %s got a reset of the system at %.4f although host %s lives and holds it", f.id.client, d.record.at(at), live.id)
		}
	}
	return broken, nil
}
