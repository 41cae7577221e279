package main

import (
	"fmt"
	"net/netip"
)

// front is the address that clients use.
var front = netip.MustParseAddrPort("198.18.0.1:8080")

// place is the zone of a side machine and the service of its host.
type place struct{ zone, service string }

// deployment is a running site with five control VMs, one entry, and hosts that serve the route to front.
type deployment struct {
	*site
	cores, sides []*machine
	hosts        map[*machine]*host // that run, or ran last, by machine
	client       *client
	onTaken      func(taken)
	started      int // number of hosts started so far
}

// deploy starts all processes and hosts and declares the first manifest, which leads the route to a service. onTaken, if
// not nil, is told of each request that a host runs.
func (s *site) deploy(service string, places []place, onTaken func(taken)) (*deployment, error) {
	d := &deployment{site: s, hosts: map[*machine]*host{}, onTaken: onTaken}
	for i, zone := range []string{"za", "za", "zb", "zc", "zd"} {
		d.cores = append(d.cores, s.add("core", i+1, zone, ""))
	}
	entry := s.add("edge", 1, "za", "")
	for i, p := range places {
		d.sides = append(d.sides, s.add("side", i+1, p.zone, p.service))
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	for _, m := range d.sides {
		if err := d.startHost(m); err != nil {
			return nil, err
		}
	}
	if err := s.declareFirst(manifest(1, route{"r-1", front, service})); err != nil {
		return nil, err
	}
	var err error
	d.client, err = newClient(s, entry)
	return d, err
}

// threeHosts are the places of a site with one service.
var threeHosts = []place{{"za", "match"}, {"zb", "match"}, {"zc", "match"}}

// startHost starts a new host on a machine whose last one has ended.
func (d *deployment) startHost(m *machine) error {
	d.started++
	h, err := startHost(fmt.Sprintf("i-%d", d.started), m, d.record, d.onTaken)
	d.hosts[m] = h
	return err
}

// checkService returns an error if a request is not answered.
func (d *deployment) checkService() error {
	if o := d.client.request(front); o.answer == "" {
		return fmt.Errorf("%w: no service before the disruption: %s", errCannotRun, o.why)
	}
	return nil
}
