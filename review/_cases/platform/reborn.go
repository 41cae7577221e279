package main

import (
	"sync"
	"time"
)

// Times of the reborn case.
const (
	rebornRounds   = 6
	rebornPause    = 100 * time.Millisecond // from the crash of a host to the start of the next one
	rebornFlows    = 45                     // that clients open at once after the start
	rebornReportAt = 700 * time.Millisecond // after the start of the next host
	rebornIdle     = 4 * time.Second        // in which the clients send nothing
	rebornInterval = 5 * time.Second        // between two rounds
)

// rebornCase lets a host crash whose last report is delayed. The next host starts on the same machine at once, registers
// and gets flows; then the delayed report arrives. No open flow of the live host may be reset. No process of the system is
// disturbed.
func rebornCase(s *site, trouble bool) (bool, error) {
	d, err := s.deploy("match", threeHosts, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(lateFollow)
	for round := range rebornRounds {
		m := d.sides[round%len(d.sides)]
		dead := d.hosts[m]
		dead.delayNext()
		dead.afterReport(0)
		dead.stop() // it crashes without a word
		time.Sleep(rebornPause)
		if err := d.startHost(m); err != nil {
			return false, err
		}
		broken, err := rebornRound(d, dead, d.hosts[m], trouble)
		if err != nil || broken {
			return broken, err
		}
		time.Sleep(rebornInterval)
	}
	return false, nil
}

// rebornRound opens flows, delivers the delayed report and reports whether an open flow of the live host was reset.
func rebornRound(d *deployment, dead, live *host, trouble bool) (bool, error) {
	began := time.Now()
	var flows []*clientFlow
	var mu sync.Mutex
	var opening sync.WaitGroup
	for range rebornFlows {
		opening.Add(1)
		go func() {
			defer opening.Done()
			f, _ := d.client.openFlow(front)
			if f == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		}()
	}
	time.Sleep(time.Until(began.Add(rebornReportAt)))
	if trouble {
		dead.reportLate()
	}
	opening.Wait()
	time.Sleep(time.Until(began.Add(rebornReportAt + rebornIdle)))
	held, broken := 0, false
	for _, f := range flows {
		defer f.close()
		if f.holder != live.id {
			continue
		}
		held++
		if at, reset := f.resetAt(); reset && live.holds(f.id) {
			broken = true
			d.record.note("BROKEN: flow %s got a reset of the system at %.4f although host %s lives and holds it", f.id.client, d.record.at(at), live.id)
		}
	}
	d.record.note("%d of %d flows are held by host %s on %s", held, len(flows), live.id, live.m.name)
	if held == 0 {
		d.record.note("no flow reached the host in this round")
	}
	return broken, nil
}

// delayNext delays the next report of the host on its way to the agent.
func (h *host) delayNext() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayed = true
}
