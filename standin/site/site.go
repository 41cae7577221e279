// Package site runs fabric, entry VMs and agents in one process over loopback sockets, with configurations that the test
// publishes itself. It stands in for the control plane.
package site

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"sync"

	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/delivery"
	"github.com/plantainseam/plantainseam/internal/entry"
	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/caller"
	"github.com/plantainseam/plantainseam/standin/fabric"
)

// loopback is the address of every socket; the kernel chooses the ports.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options set up a site. Zero values are the production defaults.
type Options struct {
	Seed        uint64
	Delivery    delivery.Config
	ConnHandler agent.ConnHandler
	Sockets     int // per entry VM
}

// Site is a running deployment. Its methods are called by one goroutine.
type Site struct {
	Fabric *fabric.Fabric
	Keys   *tunnel.KeyRing

	options Options
	entries map[model.HostID]*entry.Entry
	agents  map[model.HostID]*agent.Agent
	callers []*caller.Host
	stale   map[model.HostID]bool

	mu       sync.Mutex // guards the fields below, which the agents' fetches read
	snapshot *model.Snapshot
	table    *routing.Table
	closed   bool
	fetches  sync.WaitGroup
}

// TestKey returns a key that is valid in every site.
func TestKey(id uint8) tunnel.Key {
	return tunnel.Key{ID: id, Secret: bytes.Repeat([]byte{id}, tunnel.MinSecretLen)}
}

// New starts a fabric without entry VMs and agents.
func New(options Options) (*Site, error) {
	keys, err := tunnel.NewKeyRing(TestKey(1))
	if err != nil {
		return nil, err
	}
	f, err := fabric.New(loopback, options.Seed)
	if err != nil {
		return nil, err
	}
	s := &Site{
		Fabric:   f,
		Keys:     keys,
		options:  options,
		entries:  map[model.HostID]*entry.Entry{},
		agents:   map[model.HostID]*agent.Agent{},
		stale:    map[model.HostID]bool{},
		snapshot: model.NewSnapshot(),
	}
	s.table = routing.Build(s.snapshot)
	return s, nil
}

// Publish changes the configuration under a new revision and gives it to every entry VM and agent that is not stale.
func (s *Site) Publish(change func(next *model.Snapshot)) {
	next := s.snapshot.Clone()
	next.Revision++
	change(next)
	for id, svc := range next.Services {
		if old := s.snapshot.Services[id]; old == nil || !reflect.DeepEqual(old.Members, svc.Members) {
			changed := *svc
			changed.Generation = next.Revision
			next.Services[id] = &changed
		}
	}
	s.mu.Lock()
	s.snapshot = next
	s.table = routing.BuildFrom(s.table, next)
	s.mu.Unlock()
	s.apply()
}

// apply gives the current configuration to every process that is not stale.
func (s *Site) apply() {
	for host, a := range s.agents {
		if !s.stale[host] {
			a.Apply(s.snapshot, s.table)
		}
	}
	for host, e := range s.entries {
		if !s.stale[host] {
			e.Apply(s.snapshot, s.table)
		}
	}
}

// SetStale keeps a host at its present revision until it is set to false again.
func (s *Site) SetStale(host model.HostID, stale bool) {
	s.stale[host] = stale
	if !stale {
		s.apply()
	}
}

// Snapshot returns the current configuration.
func (s *Site) Snapshot() *model.Snapshot { return s.snapshot }

// Table returns the current bucket table.
func (s *Site) Table() *routing.Table { return s.table }

// AddService publishes a service without members.
func (s *Site) AddService(svc model.Service) {
	s.Publish(func(next *model.Snapshot) { next.Services[svc.ID] = &svc })
}

// RemoveService withdraws a service.
func (s *Site) RemoveService(id model.ServiceID) {
	s.Publish(func(next *model.Snapshot) { delete(next.Services, id) })
}

// SetMember adds an upstream to a service or changes its state there.
func (s *Site) SetMember(id model.ServiceID, host model.HostID, state model.UpstreamState) {
	s.Publish(func(next *model.Snapshot) {
		changed := *next.Services[id]
		members := []model.Member{{Host: host, State: state}}
		for _, m := range changed.Members {
			if m.Host != host {
				members = append(members, m)
			}
		}
		sort.Slice(members, func(i, j int) bool { return members[i].Host < members[j].Host })
		changed.Members = members
		next.Services[id] = &changed
	})
}

// RemoveMember takes an upstream out of a service.
func (s *Site) RemoveMember(id model.ServiceID, host model.HostID) {
	s.Publish(func(next *model.Snapshot) {
		changed := *next.Services[id]
		changed.Members = nil
		for _, m := range next.Services[id].Members {
			if m.Host != host {
				changed.Members = append(changed.Members, m)
			}
		}
		next.Services[id] = &changed
	})
}

// AddEntry starts an entry VM with the current configuration and lets the fabric use it.
func (s *Site) AddEntry(host model.HostID) (*entry.Entry, error) {
	e, err := entry.New(entry.Config{Listen: loopback, Sockets: s.options.Sockets, Keys: s.Keys})
	if err != nil {
		return nil, err
	}
	s.entries[host] = e
	s.Publish(func(next *model.Snapshot) {
		next.Entries[host] = &model.Entry{Ref: model.HostRef{Host: host, Incarnation: 1}, Tunnel: e.Addr()}
	})
	s.useEntries()
	return e, nil
}

// KillEntry stops an entry VM. The fabric sends to it until noticed is called.
func (s *Site) KillEntry(host model.HostID) (noticed func(), err error) {
	e := s.entries[host]
	if e == nil {
		return nil, fmt.Errorf("no entry VM %s", host)
	}
	err = e.Close()
	delete(s.entries, host)
	return s.useEntries, err
}

// useEntries tells the fabric which entry VMs are alive.
func (s *Site) useEntries() {
	addrs := make([]netip.AddrPort, 0, len(s.entries))
	for _, e := range s.entries {
		addrs = append(addrs, e.Addr())
	}
	s.Fabric.SetEntries(addrs...)
}

// Entry returns a running entry VM.
func (s *Site) Entry(host model.HostID) *entry.Entry { return s.entries[host] }

// AddAgent starts an agent in front of the upstream processes given by service, and announces it. It carries nothing
// until SetMember adds it to a service.
func (s *Site) AddAgent(host model.HostID, upstreams map[model.ServiceID]netip.AddrPort) (*agent.Agent, error) {
	ref := model.HostRef{Host: host, Incarnation: 1}
	if old := s.snapshot.Upstreams[host]; old != nil {
		ref.Incarnation = old.Ref.Incarnation + 1
	}
	a, err := agent.New(agent.Config{
		Ref:           ref,
		Listen:        loopback,
		Fabric:        s.Fabric.Addr(),
		Keys:          s.Keys,
		Machine:       flow.New(flow.Config{Self: ref, Seed: s.options.Seed}),
		Delivery:      s.options.Delivery,
		ConnHandler:   s.options.ConnHandler,
		RequestConfig: func() { s.fetch(host) },
		Upstream: func(svc *model.Service) (netip.AddrPort, bool) {
			addr, ok := upstreams[svc.ID]
			return addr, ok
		},
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.agents[host] = a
	s.mu.Unlock()
	a.SetLocal(flow.Local{AcceptNew: true})
	s.Publish(func(next *model.Snapshot) {
		next.Upstreams[host] = &model.Upstream{Ref: ref, Tunnel: a.Addr(), Slots: 3, MaxConnections: 2000}
	})
	return a, nil
}

// fetch gives the current configuration to an agent that asked for it.
func (s *Site) fetch(host model.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[host]
	if s.closed || a == nil {
		return
	}
	snapshot, table := s.snapshot, s.table
	s.fetches.Add(1)
	go func() {
		defer s.fetches.Done()
		a.Apply(snapshot, table)
	}()
}

// SetKeys gives a key ring to some processes; processes that start later get it too.
func (s *Site) SetKeys(keys *tunnel.KeyRing, hosts ...model.HostID) {
	s.Keys = keys
	for _, host := range hosts {
		if e := s.entries[host]; e != nil {
			e.SetKeys(keys)
		}
		if a := s.agents[host]; a != nil {
			a.SetKeys(keys)
		}
	}
}

// Agent returns a running agent.
func (s *Site) Agent(host model.HostID) *agent.Agent { return s.agents[host] }

// StopAgent closes an agent, which ends its flows with resets.
func (s *Site) StopAgent(host model.HostID) error {
	a := s.agents[host]
	if a == nil {
		return fmt.Errorf("no agent %s", host)
	}
	s.mu.Lock()
	delete(s.agents, host)
	s.mu.Unlock()
	return a.Close()
}

// CrashAgent ends an agent without a word to callers and other agents. Its entry in the configuration stays.
func (s *Site) CrashAgent(host model.HostID) {
	a := s.agents[host]
	if a == nil {
		return
	}
	s.mu.Lock()
	delete(s.agents, host)
	s.mu.Unlock()
	a.CloseWithoutResets()
}

// Caller starts a caller's machine with an address of its own.
func (s *Site) Caller(addr string) (*caller.Host, error) {
	ip, err := netip.ParseAddr(addr)
	if err != nil {
		return nil, err
	}
	h, err := caller.New(ip, s.Fabric)
	if err != nil {
		return nil, err
	}
	s.callers = append(s.callers, h)
	return h, nil
}

// Close stops everything, callers first.
func (s *Site) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.fetches.Wait()
	for _, h := range s.callers {
		h.Close()
	}
	var errs []error
	for host, a := range s.agents {
		if err := a.Close(); err != nil {
			errs = append(errs, fmt.Errorf("agent %s: %w", host, err))
		}
	}
	for host, e := range s.entries {
		if err := e.Close(); err != nil {
			errs = append(errs, fmt.Errorf("entry %s: %w", host, err))
		}
	}
	errs = append(errs, s.Fabric.Close())
	return errors.Join(errs...)
}
