package daemon

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// dataPath is the traffic side of a role.
type dataPath interface {
	Apply(*model.Snapshot, *routing.Table)
	SetKeys(*tunnel.KeyRing)
}

// configuration keeps an entry or agent at the newest revision and serves it to near peers.
type configuration struct {
	process *process
	client  *dissemination.Client
	server  *dissemination.Server
	path    dataPath
	applied atomic.Uint64 // revision in force

	applying sync.Mutex // held while a configuration or keys are put into force; taken before mu
	table    *routing.Table
	refused  *model.Snapshot // newest configuration, if the settings lack one of its keys

	mu    sync.Mutex // guards keys and inUse
	keys  []settings.TunnelKey
	inUse model.KeyRing // keys that the configuration in force names
	// admit says whether a snapshot may be installed; nil admits all.
	admit func(*model.Snapshot) bool
	after func(*model.Snapshot) // called after a snapshot is in force; may be nil
}

func newConfiguration(p *process, path dataPath) (*configuration, error) {
	c := &configuration{process: p, server: dissemination.NewServer(), path: path, keys: p.settings.Tunnel.Keys}
	c.table = routing.Build(model.NewSnapshot())
	var servers []string
	for _, address := range pollOrder(p.ref.Host, p.controlAddresses()) {
		servers = append(servers, p.scheme()+"://"+address)
	}
	if err := makeDataDir(p.settings.DataDir); err != nil {
		return nil, err
	}
	client, err := dissemination.NewClient(dissemination.ClientConfig{
		Host:         string(p.ref.Host),
		Servers:      servers,
		NewTransport: func() http.RoundTripper { return p.transport() },
		DataDir:      p.settings.DataDir,
		Logger:       p.logger,
		OnApply:      c.apply,
		Near:         c.nearPeers,
	})
	if err != nil {
		return nil, err
	}
	c.client = client
	p.mux.Handle(configpb.ConfigurationPathPrefix, configpb.NewConfigurationServer(c.server))
	return c, nil
}

// pollOrder rotates the control VMs by the host's name. Settings name them in one order everywhere, and without it the
// long polls of all nodes wait at the first one.
func pollOrder(host model.HostID, addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(host)) % uint64(len(addresses)))
	return append(slices.Clone(addresses[first:]), addresses[:first]...)
}

// maxNearPeers bounds the near peers that are asked while no control VM answers.
const maxNearPeers = 3

// nearPeers returns the base URLs of other entries and agents in the failure domain of this process, in an order that
// differs between hosts.
func (c *configuration) nearPeers(s *model.Snapshot) []string {
	self, domain := c.process.ref.Host, c.process.settings.FailureDomain
	addresses := map[model.HostID]netip.AddrPort{}
	for host, up := range s.Upstreams {
		if host != self && up.FailureDomain == domain {
			addresses[host] = up.RPC
		}
	}
	for host, e := range s.Entries {
		if host != self && e.FailureDomain == domain {
			addresses[host] = e.RPC
		}
	}
	hosts := slices.Sorted(maps.Keys(addresses))
	if len(hosts) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(self)) % uint64(len(hosts)))
	var out []string
	for i := range min(len(hosts), maxNearPeers) {
		host := hosts[(first+i)%len(hosts)]
		out = append(out, c.process.scheme()+"://"+addresses[host].String())
	}
	return out
}

// dataDirMode lets only the user of the process read its state.
const dataDirMode = 0o700

// makeDataDir creates the folder of an entry VM or agent that has one in its settings. A control VM's folder is made by
// InitData only, because a lost one must not be replaced silently.
func makeDataDir(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return result.Errorf(result.StoreWriteFailed, "create data_dir: %w", err)
	}
	return nil
}

func (c *configuration) run(ctx context.Context) { _ = c.client.Run(ctx) }

// revision returns the revision in force.
func (c *configuration) revision() model.Revision { return model.Revision(c.applied.Load()) }

// apply installs a snapshot. It runs in the client's goroutine.
func (c *configuration) apply(s *model.Snapshot) {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.install(s)
}

// install puts a snapshot into force if the VM can carry it out. The caller holds applying.
func (c *configuration) install(s *model.Snapshot) {
	c.refused = nil
	if c.admit != nil && !c.admit(s) {
		return
	}
	if err := c.useKeys(s.Keys); err != nil {
		// The revision stays out of force, and the operator sees that at this VM.
		c.refused = s
		level.Error(c.process.logger).Log("event", "configuration-refused", "revision", s.Revision, "err", err)
		c.process.events.Record(timeline.Event{Kind: timeline.KindConfigRefused, Detail: err.Error()})
		return
	}
	c.table = routing.BuildFrom(c.table, s)
	c.path.Apply(s, c.table)
	c.applied.Store(uint64(s.Revision))
	if err := c.server.Publish(s); err != nil {
		level.Warn(c.process.logger).Log("event", "configuration-not-served", "err", err)
	}
	c.process.events.Record(timeline.Event{Kind: timeline.KindConfigApplied, Detail: revisionDetail(s.Revision)})
	level.Debug(c.process.logger).Log("event", "configuration-applied", "revision", s.Revision)
	if c.after != nil {
		c.after(s)
	}
}

// useKeys puts the tunnel keys that a configuration names into use.
func (c *configuration) useKeys(use model.KeyRing) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ring, err := keyRing(c.keys, use)
	if err != nil {
		return err
	}
	c.inUse = use
	c.path.SetKeys(ring)
	return nil
}

// reloadKeys replaces the tunnel keys of the settings. Keys without which the configuration in force cannot be carried
// out are refused, and the old ones stay in use. A configuration that waited for a key is then put into force: no newer
// one may follow, since the plan that rotates the key waits for it.
func (c *configuration) reloadKeys(keys []settings.TunnelKey) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	if err := c.replaceKeys(keys); err != nil {
		return err
	}
	if c.refused != nil {
		c.install(c.refused)
	}
	return nil
}

func (c *configuration) replaceKeys(keys []settings.TunnelKey) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ring, err := keyRing(keys, c.inUse)
	if err != nil {
		return err
	}
	c.keys = keys
	c.path.SetKeys(ring)
	return nil
}
