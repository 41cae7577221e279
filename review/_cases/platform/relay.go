package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the relay case.
const (
	relayRounds   = 6
	settleTime    = 12 * time.Second       // processes have moved to the control VM of their zone
	freezeTime    = 4 * time.Second        // of one control VM
	drainDelay    = 100 * time.Millisecond // from the change of the manifest to the drain of a host
	requestsFor   = 2 * time.Second        // after the change
	requestPause  = 2 * time.Millisecond
	relayInterval = 15 * time.Second // between two rounds
)

// relayCase moves a route from one service to the other and back. Each time, a host of the service that gets the route
// begins to drain a moment later, and one control VM freezes for some seconds. After a host has got a flow as only the new
// version allows, no request that a client sends more than rollbackSlack later may be run by the service of before.
func relayCase(s *site, trouble bool) (bool, error) {
	c := &relayCheck{record: s.record, opened: map[flowID][]taken{}}
	d, err := s.deploy("match", []place{
		{"zb", "match"}, {"zb", "match"}, {"zc", "match"}, {"zb", "vault"}, {"zb", "vault"}, {"zc", "vault"},
	}, c.take)
	if err != nil {
		return false, err
	}
	services := []string{"match", "vault"}
	time.Sleep(settleTime)
	if err := d.checkService(); err != nil {
		return false, err
	}
	for round := range relayRounds {
		began := time.Now()
		version, older, newer := round+2, services[round%2], services[(round+1)%2]
		c.begin(version, older, newer)
		stop := make(chan struct{})
		var clients sync.WaitGroup
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.requests(d.client, stop, &clients)
		}()
		if trouble {
			d.cores[2].signal(syscall.SIGSTOP)
		}
		if _, err := s.put(version, manifest(version, route{"r-1", front, newer}), 5*time.Second, d.cores[:2]); err != nil {
			return false, err
		}
		time.Sleep(drainDelay)
		leaves := d.sides[0] // the first host of the service that gets the route
		if newer == "vault" {
			leaves = d.sides[3]
		}
		s.record.note("host %s begins to drain", d.hosts[leaves].id)
		go d.hosts[leaves].drain()
		time.Sleep(requestsFor - drainDelay)
		close(stop)
		clients.Wait()
		if trouble {
			time.Sleep(time.Until(began.Add(freezeTime)))
			d.cores[2].signal(syscall.SIGCONT)
		}
		if c.judge() {
			return true, nil
		}
		select {
		case <-d.hosts[leaves].drained:
		case <-time.After(drainTime):
		}
		time.Sleep(time.Until(began.Add(drainDelay + drainTime + 2*time.Second)))
		d.hosts[leaves].leave()
		time.Sleep(time.Second)
		if err := d.startHost(leaves); err != nil {
			return false, err
		}
		if round < relayRounds-1 {
			time.Sleep(time.Until(began.Add(relayInterval)))
		}
	}
	return false, nil
}

// relayCheck collects the opening packets that hosts took and the requests that clients sent in one round.
type relayCheck struct {
	record *record

	mu           sync.Mutex
	version      int
	older, newer string
	opened       map[flowID][]taken
	outcomes     []outcome
}

func (c *relayCheck) begin(version int, older, newer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.older, c.newer, c.opened, c.outcomes = version, older, newer, map[flowID][]taken{}, nil
	c.record.note("round: version %d moves the route from %s to %s", version, older, newer)
}

func (c *relayCheck) take(t taken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened[t.flow] = append(c.opened[t.flow], t)
}

// requests sends requests at a constant rate, each on a flow of its own, until stop is closed.
func (c *relayCheck) requests(caller *client, stop <-chan struct{}, clients *sync.WaitGroup) {
	ticker := time.NewTicker(requestPause)
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
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outcomes = append(c.outcomes, o)
		}()
	}
}

// runs describes who took the opening packet of a flow and ran its request. The caller holds mu.
func (c *relayCheck) runs(f flowID) string {
	text := "not run"
	for i, t := range c.opened[f] {
		if i == 0 {
			text = ""
		}
		text += fmt.Sprintf("opening packet taken at %.4f and request run at %.4f by %s of %s", c.record.at(t.at), c.record.at(t.ran), t.host, t.service)
	}
	return text
}

// judge reports whether a request that was sent more than rollbackSlack after the first effect of the new version was
// run by the service of before.
func (c *relayCheck) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effect time.Time // first opening packet that a host of the new service took and whose flow opened
	for _, list := range c.opened {
		for _, t := range list {
			if t.service == c.newer && (effect.IsZero() || t.at.Before(effect)) {
				effect = t.at
			}
		}
	}
	if effect.IsZero() {
		c.record.note("no host of %s got a flow", c.newer)
		return false
	}
	c.record.note("first effect of version %d: a host of %s took a flow at %.4f", c.version, c.newer, c.record.at(effect))
	counts, broken, last := map[string]int{}, 0, time.Duration(0)
	for _, o := range c.outcomes {
		result := o.why
		for _, t := range c.opened[o.flow] {
			result = "run by " + t.service
			if t.service != c.older || o.sent.Sub(effect) <= rollbackSlack {
				continue
			}
			broken++
			last = max(last, o.sent.Sub(effect))
			c.record.note("BROKEN: flow %s, first packet sent at %.4f, %.0f ms after the effect of version %d, opening packet taken at %.4f and request run at %.4f by host %s of %s; answer %q",
				o.flow.client, c.record.at(o.sent), o.sent.Sub(effect).Seconds()*1000, c.version, c.record.at(t.at), c.record.at(t.ran), t.host, t.service, o.answer)
		}
		counts[result]++
		c.record.note("request %s sent at %.4f: %s; answer %q %s", o.flow.client, c.record.at(o.sent), c.runs(o.flow), o.answer, o.why)
	}
	c.record.note("requests of the round: %v; handled as only the older version allows: %d, the last one sent %.0f ms after the effect", counts, broken, last.Seconds()*1000)
	return broken > 0
}
