package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of the late case.
const (
	lateRounds     = 4
	lateFlows      = 36
	lateFollow     = 5 * time.Second        // after the start of a host until it is followed and gets flows
	lateReportAt   = 680 * time.Millisecond // after the start of the agent
	lateIdle       = 4 * time.Second        // in which the clients send nothing
	lateCatchUp    = 5 * time.Second        // after which a restarted process counts again
	lateStartPause = 30 * time.Millisecond
	lateSpacing    = 15 * time.Millisecond // between the first requests of two flows after the restart
)

// lateCase restarts an agent as planned work. Its host has replaced one that crashed before; a report of that one, which
// was delayed, arrives after the restart. No open flow of the live host may be reset.
func lateCase(s *site, trouble bool) (bool, error) {
	d, err := s.deploy("match", threeHosts, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(lateFollow)
	for round := range lateRounds {
		m := d.sides[round%len(d.sides)]
		dead := d.hosts[m]
		dead.stop() // it crashes without a word
		time.Sleep(time.Second)
		if err := d.startHost(m); err != nil {
			return false, err
		}
		time.Sleep(lateFollow)
		broken, err := lateRound(d, m, dead, d.hosts[m], trouble)
		if err != nil || broken {
			return broken, err
		}
		time.Sleep(lateCatchUp)
	}
	return false, nil
}

// lateRound restarts the agent of a machine and reports whether an open flow of its live host was reset.
func lateRound(d *deployment, m *machine, dead, live *host, trouble bool) (bool, error) {
	var flows []*clientFlow
	for range lateFlows {
		f, why := d.client.openFlow(front)
		if f == nil {
			d.record.note("a flow did not open: %s", why)
			continue
		}
		defer f.close()
		if f.holder == live.id {
			flows = append(flows, f)
		}
	}
	d.record.note("%d of the open flows are held by host %s on %s", len(flows), live.id, m.name)
	if len(flows) == 0 {
		return false, fmt.Errorf("%w: host %s got no flow", errCannotRun, live.id)
	}
	m.signal(syscall.SIGTERM)
	if _, _, ended := m.wait(graceTime); !ended {
		return false, fmt.Errorf("%w: %s did not end", errCannotRun, m.name)
	}
	time.Sleep(restartDelay)
	live.afterReport(lateStartPause)
	if err := d.start(m); err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	began := time.Now()
	d.record.note("%s starts again", m.name)
	answered := make(chan struct{}, len(flows))
	for i, f := range flows {
		go func() {
			time.Sleep(time.Duration(i) * lateSpacing)
			f.request()
			answered <- struct{}{}
		}()
	}
	for range flows {
		<-answered
	}
	if trouble {
		time.Sleep(time.Until(began.Add(lateReportAt)))
		dead.reportLate()
	}
	time.Sleep(lateIdle)
	broken := false
	for _, f := range flows {
		at, reset := f.resetAt()
		if !reset || !live.holds(f.id) {
			d.record.note("flow %s: reset %t, held by host %s %t", f.id.client, reset, live.id, live.holds(f.id))
			continue
		}
		broken = true
		d.record.note("BROKEN: flow %s got a reset of the system at %.4f although host %s lives and holds it", f.id.client, d.record.at(at), live.id)
	}
	return broken, nil
}

// afterReport returns a moment after the next report of the host.
func (h *host) afterReport(pause time.Duration) {
	h.mu.Lock()
	n := h.sequence
	h.mu.Unlock()
	for {
		h.mu.Lock()
		next := h.sequence > n
		h.mu.Unlock()
		if next {
			time.Sleep(pause)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// reportLate delivers the last report that a host sent before it crashed.
func (h *host) reportLate() {
	h.mu.Lock()
	body, err := json.Marshal(h.reportFields("ready"))
	h.mu.Unlock()
	if err != nil {
		return // all values can be encoded
	}
	status, _, err := exchange(time.Second, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", h.m.address(portReports), h.id), body)
	h.record.note("a delayed report of host %s, which has crashed, arrives at the agent of %s: status %d, error %v", h.id, h.m.name, status, err)
}

// holds reports whether the host lives and holds a flow as open.
func (h *host) holds(f flowID) bool {
	select {
	case <-h.stopped:
		return false
	default:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[f] != nil && h.flows[f].open
}
