// Package planner computes the plan of an intent and the next step of a running plan. It only reads: the leader
// proposes what it returns, and the catalog checks it again when it is committed.
package planner

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Fleet provides the status of the hosts from their announcements; membership.Table implements it.
type Fleet interface {
	Leased(now time.Time, host string) bool
	InForce(host string) (model.Revision, bool)
	Load(host string, service uint32) (membership.Load, bool)
	OpenCallers(host string, service uint32) []string
	Cold(host string) bool
}

// ControlStatus is the state of a control VM as a member of the leader's logs.
type ControlStatus struct {
	ID        string
	Address   string
	Voter     bool
	Reachable bool
	CaughtUp  bool
	Unsettled bool // another VM leads one of the logs, so that the state of that log's members is not known
}

// View is a consistent snapshot of the state that plans depend on.
type View struct {
	Now     time.Time
	Catalog *catalog.Catalog
	Fleet   Fleet
	Control []ControlStatus
}

// load returns the open work of a service at a host; service 0 stands for all services.
func (v View) load(host string, service uint32) membership.Load {
	l, _ := v.Fleet.Load(host, service)
	return l
}

// serviceLoad returns the open work of a service at all of its members.
func (v View) serviceLoad(svc *catalogpb.Service) membership.Load {
	var sum membership.Load
	for _, m := range svc.Members {
		addLoad(&sum, v.load(m.Host, svc.Id))
	}
	return sum
}

func addLoad(sum *membership.Load, l membership.Load) {
	sum.Flows += l.Flows
	sum.Running += l.Running
	sum.Queued += l.Queued
}

// hostsLoad returns the open work of the hosts for a service, or for all services when svc is nil.
func (v View) hostsLoad(svc *catalogpb.Service, hosts []string) membership.Load {
	var sum membership.Load
	for _, host := range hosts {
		addLoad(&sum, v.load(host, svc.GetId()))
	}
	return sum
}

// activeHosts returns the active members of a service without the given hosts.
func activeHosts(svc *catalogpb.Service, without []string) []string {
	var out []string
	for _, m := range svc.Members {
		if m.State == uint32(model.UpstreamActive) && !slices.Contains(without, m.Host) {
			out = append(out, m.Host)
		}
	}
	return out
}

// capacity returns the work of the services in each failure domain, and the capacity that remains without the given
// hosts. A host that carries several of the services counts once.
func (v View) capacity(services []*catalogpb.Service, without []string) []*intentpb.Capacity {
	byDomain := map[string]*intentpb.Capacity{}
	counted := map[string]bool{}
	capacityOf := func(domain string) *intentpb.Capacity {
		if byDomain[domain] == nil {
			byDomain[domain] = &intentpb.Capacity{FailureDomain: domain}
		}
		return byDomain[domain]
	}
	for _, svc := range services {
		for _, m := range svc.Members {
			h := v.Catalog.Host(m.Host)
			row := capacityOf(h.GetFailureDomain())
			l := v.load(m.Host, svc.Id)
			row.Flows += l.Flows
			row.Requests += l.Requests()
			remains := m.State == uint32(model.UpstreamActive) && !slices.Contains(without, m.Host)
			if !remains || counted[m.Host] {
				continue
			}
			counted[m.Host] = true
			row.Hosts++
			row.Slots += effectiveLimit(h.Slots, h.SlotLimit)
			row.Connections += effectiveLimit(h.MaxConnections, h.ConnectionLimit)
		}
	}
	var out []*intentpb.Capacity
	for _, domain := range sortedKeys(byDomain) {
		out = append(out, byDomain[domain])
	}
	return out
}

// effectiveLimit returns the announced value, bounded by the configured limit; limit 0 means no limit.
func effectiveLimit(announced, limit uint32) uint32 {
	if limit != 0 {
		return min(announced, limit)
	}
	return announced
}
