package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/daemon"
	"github.com/plantainseam/plantainseam/internal/logging"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/operator"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/pki"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/standin/backend"
	"github.com/plantainseam/plantainseam/standin/caller"
	"github.com/plantainseam/plantainseam/standin/fabric"
)

// plan describes one deployment.
type plan struct {
	name     string
	network  byte // 127.NETWORK.0.0/16
	domains  []model.FailureDomain
	requests service // keyed requests over long connections
	images   service // large answers
	delay    time.Duration
}

type service struct {
	name     string
	kind     string
	frontend netip.AddrPort
	hosts    int
}

var plans = []plan{
	{
		name:     "khuree",
		network:  10,
		domains:  []model.FailureDomain{"ub-bayangol", "ub-sukhbaatar", "ub-khanuul", "ub-campus"},
		requests: service{"sample-book", "request", netip.MustParseAddrPort("10.10.0.1:80"), 7},
		images:   service{"scan-vault", "stream", netip.MustParseAddrPort("10.10.0.2:80"), 4},
		delay:    time.Millisecond,
	},
	{
		name:     "comhar",
		network:  20,
		domains:  []model.FailureDomain{"gaillimh-a", "gaillimh-b", "luimneach-a", "sligeach-a"},
		requests: service{"iarratas", "request", netip.MustParseAddrPort("10.20.0.1:80"), 7},
		images:   service{"iomha", "stream", netip.MustParseAddrPort("10.20.0.2:80"), 4},
		delay:    3 * time.Millisecond,
	},
}

const (
	controlVMs = 3
	entryVMs   = 3
	rpcPort    = 7000
	tunnelPort = 6081
	slots      = 3
	// startTimeout bounds the wait for the first configuration.
	startTimeout = 20 * time.Second
)

// vm is one running daemon.
type vm struct {
	host   model.HostID
	stop   context.CancelFunc // graceful
	kill   context.CancelFunc
	ended  chan struct{}
	result error // set before ended is closed
}

// deployment is a running plan.
type deployment struct {
	plan     plan
	dir      string
	fabric   *fabric.Fabric
	control  []*vm
	entries  []*vm
	agents   map[model.HostID]*vm
	backends map[model.HostID]*backend.HTTP
	servers  []settings.ControlServer
	ada      *operator.Client
	logs     *os.File
	logger   log.Logger
}

func (p plan) address(group, number, port int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{127, p.network, byte(group), byte(number)})
	return netip.AddrPortFrom(addr, uint16(port))
}

// Address groups of a deployment.
const (
	fabricGroup = iota + 1
	controlGroup
	entryGroup
	requestGroup
	imageGroup
)

// start brings up the fabric, the control VMs, the entry VMs and the agents with their upstream processes.
func start(o options, p plan, dir string) (*deployment, error) {
	d := &deployment{
		plan: p, dir: filepath.Join(dir, p.name),
		agents: map[model.HostID]*vm{}, backends: map[model.HostID]*backend.HTTP{},
	}
	if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(d.dir, "log"))
	if err != nil {
		return nil, err
	}
	d.logs = logs
	if d.logger, err = logging.New(logs, "debug"); err != nil {
		return nil, err
	}
	if d.fabric, err = fabric.New(p.address(fabricGroup, 1, tunnelPort), o.Seed); err != nil {
		return nil, err
	}
	d.fabric.SetFaults(fabric.Faults{Loss: o.Loss, Delay: p.delay, Jitter: p.delay / 2})
	steps := []func() error{d.startControl, d.startEntries, d.startAgents}
	for _, step := range steps {
		if err := step(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// base returns the settings that all processes of the deployment share.
func (d *deployment) base(host string, domain int, rpc netip.AddrPort, roles ...settings.Role) *settings.Settings {
	return &settings.Settings{
		Host:          model.HostID(host),
		FailureDomain: d.plan.domains[domain%len(d.plan.domains)],
		Roles:         roles,
		RPC:           rpc,
		LogLevel:      "debug",
		TLS:           settings.TLS{Insecure: true},
		Control:       settings.Control{Servers: d.servers},
	}
}

func (d *deployment) startControl() error {
	key := filepath.Join(d.dir, "system-key")
	if err := pki.CreateSigningKey(key); err != nil {
		return err
	}
	var all []*settings.Settings
	for i := 1; i <= controlVMs; i++ {
		s := d.base(fmt.Sprintf("c%d", i), i, d.plan.address(controlGroup, i, rpcPort), settings.RoleControl)
		s.DataDir = filepath.Join(d.dir, string(s.Host))
		identity, err := daemon.InitData(s)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, settings.ControlServer{Name: s.Host, RPC: s.RPC, Identity: identity})
		all = append(all, s)
	}
	for _, s := range all {
		s.Control = settings.Control{Servers: d.servers, Bootstrap: true, SigningKey: key}
		m, err := d.run(s)
		if err != nil {
			return err
		}
		d.control = append(d.control, m)
	}
	var addresses []string
	for _, s := range d.servers {
		addresses = append(addresses, s.RPC.String())
	}
	client := peer.NewClient(peer.ClientOptions{
		Identity: peer.Identity{Name: "ada", Roles: []peer.Role{peer.RoleOperator}},
	})
	d.ada = operator.New(addresses, "http", client)
	return nil
}

func (d *deployment) tunnel(listen netip.AddrPort) settings.Tunnel {
	secret := []byte("walkthrough secret of 32 bytes..")
	return settings.Tunnel{Listen: listen, Keys: []settings.TunnelKey{{ID: 1, Secret: secret}}}
}

func (d *deployment) startEntries() error {
	var addresses []netip.AddrPort
	for i := 1; i <= entryVMs; i++ {
		s := d.base(fmt.Sprintf("e%d", i), i, d.plan.address(entryGroup, i, rpcPort), settings.RoleEntry)
		s.Tunnel = d.tunnel(d.plan.address(entryGroup, i, tunnelPort))
		m, err := d.run(s)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, m)
		addresses = append(addresses, s.Tunnel.Listen)
	}
	d.fabric.SetEntries(addresses...)
	return nil
}

// loseEntry ends an entry VM without notice. The fabric goes on sending to it for a moment.
func (d *deployment) loseEntry(notice time.Duration) {
	d.entries[0].kill()
	<-d.entries[0].ended
	time.Sleep(notice)
	var addresses []netip.AddrPort
	for i := 2; i <= entryVMs; i++ {
		addresses = append(addresses, d.plan.address(entryGroup, i, tunnelPort))
	}
	d.fabric.SetEntries(addresses...)
}

func (d *deployment) startAgents() error {
	groups := []struct {
		number  int
		service service
	}{{requestGroup, d.plan.requests}, {imageGroup, d.plan.images}}
	for _, g := range groups {
		for i := 1; i <= g.service.hosts; i++ {
			if err := d.startAgent(g.number, i, g.service); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) startAgent(group, i int, svc service) error {
	host := hostName(svc, i)
	web, err := backend.NewHTTP(host, slots)
	if err != nil {
		return err
	}
	web.Set(backend.Behaviour{Delay: 10 * time.Millisecond})
	d.backends[model.HostID(host)] = web
	s := d.base(host, i, d.plan.address(group, i, rpcPort), settings.RoleUpstream)
	s.Tunnel = d.tunnel(d.plan.address(group, i, tunnelPort))
	s.Tunnel.Fabric = d.fabric.Addr()
	s.Upstream = settings.Upstream{
		Carries: []string{svc.name}, Backend: web.Addr(), Slots: slots, MaxConnections: 2000,
		ProbeInterval: 10 * time.Second, ProbeCount: 3,
	}
	m, err := d.run(s)
	if err != nil {
		return err
	}
	d.agents[s.Host] = m
	return nil
}

func hostName(svc service, i int) string { return fmt.Sprintf("%s-%d", svc.name, i) }

func hostNames(svc service) []string {
	var out []string
	for i := 1; i <= svc.hosts; i++ {
		out = append(out, hostName(svc, i))
	}
	return out
}

// run starts a daemon.
func (d *deployment) run(s *settings.Settings) (*vm, error) {
	process, err := daemon.New(s, d.logger)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Host, err)
	}
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	m := &vm{host: s.Host, stop: stopNow, kill: killNow, ended: make(chan struct{})}
	go func() {
		defer close(m.ended)
		m.result = process.Run(stop, kill)
	}()
	return m, nil
}

// loseLeader ends the control VM that leads.
func (d *deployment) loseLeader(ctx context.Context) error {
	leader, err := d.ada.Leader(ctx)
	if err != nil {
		return err
	}
	for i, s := range d.servers {
		if s.RPC.String() == leader {
			d.control[i].kill()
			<-d.control[i].ended
			return nil
		}
	}
	return fmt.Errorf("leader %q is no control VM", leader)
}

// stayed returns the upstream processes of a service from the given number on.
func (d *deployment) stayed(svc service, from int) []*backend.HTTP {
	var out []*backend.HTTP
	for i := from; i <= svc.hosts; i++ {
		out = append(out, d.backends[model.HostID(hostName(svc, i))])
	}
	return out
}

// upstreams returns the upstream processes.
func (d *deployment) upstreams() []*backend.HTTP {
	var out []*backend.HTTP
	for _, b := range d.backends {
		out = append(out, b)
	}
	return out
}

// close ends everything.
func (d *deployment) close() error {
	all := append([]*vm{}, d.entries...)
	for _, m := range d.agents {
		all = append(all, m)
	}
	all = append(all, d.control...)
	var failures []error
	for _, m := range all {
		m.kill()
	}
	for _, m := range all {
		<-m.ended
		if m.result != nil {
			failures = append(failures, fmt.Errorf("%s: %w", m.host, m.result))
		}
	}
	for _, b := range d.backends {
		b.Close()
	}
	if d.fabric != nil {
		failures = append(failures, d.fabric.Close())
	}
	return errors.Join(append(failures, d.logs.Close())...)
}

// waitUntilServed returns when a service answers at its frontend.
func (d *deployment) waitUntilServed(ctx context.Context, h *caller.Host, svc service) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return h.DialContext(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+svc.frontend.String()+"/ready", nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %s", resp.Status)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s is not served: %w", svc.name, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
