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

// dataPath forwards or delivers the packets of a role.
type dataPath interface {
	Apply(*model.Snapshot, *routing.Table)
	SetKeys(*tunnel.KeyRing)
}

// configuration fetches the newest configuration for an entry or agent, puts it into force, and serves it to near peers.
type configuration struct {
	process         *process
	client          *dissemination.Client
	server          *dissemination.Server
	path            dataPath
	appliedRevision atomic.Uint64 // revision in force

	installMu       sync.Mutex // serializes installations of snapshots and keys; locked before keysMu
	table           *routing.Table
	refusedSnapshot *model.Snapshot // newest snapshot if the settings lack one of its keys, else nil

	keysMu sync.Mutex // guards keys and requiredKeys
	// keys are the tunnel keys of the settings.
	keys         []settings.TunnelKey
	requiredKeys model.KeyRing // keys that the configuration in force requires
	// admit reports whether a snapshot may be installed; nil admits all.
	admit     func(*model.Snapshot) bool
	onApplied func(*model.Snapshot) // called after a snapshot is in force; may be nil
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

// pollOrder rotates the addresses of the control VMs by a hash of the host's name. The settings of all nodes list the
// control VMs in the same order; without the rotation all nodes would hold their long polls at the first one.
func pollOrder(host model.HostID, addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(host)) % uint64(len(addresses)))
	return append(slices.Clone(addresses[first:]), addresses[:first]...)
}

// maxNearPeers limits the number of near peers to poll while no control VM answers.
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

// dataDirMode restricts access to the data directory to the user of the process.
const dataDirMode = 0o700

// makeDataDir creates the data directory of an entry VM or agent if its settings name one. The data directory of a
// control VM is created by InitData only, because a lost one must not be replaced by an empty one silently.
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
func (c *configuration) revision() model.Revision { return model.Revision(c.appliedRevision.Load()) }

// apply installs a snapshot. It runs in the client's goroutine.
func (c *configuration) apply(s *model.Snapshot) {
	c.installMu.Lock()
	defer c.installMu.Unlock()
	c.install(s)
}

// install puts a snapshot into force if it is admitted and the settings have its tunnel keys. The caller holds
// installMu.
func (c *configuration) install(s *model.Snapshot) {
	c.refusedSnapshot = nil
	if c.admit != nil && !c.admit(s) {
		return
	}
	if err := c.useKeys(s.Keys); err != nil {
		// The VM keeps reporting the old revision, so the operator sees which VM lacks the key.
		c.refusedSnapshot = s
		level.Error(c.process.logger).Log("event", "configuration-refused", "revision", s.Revision, "err", err)
		c.process.events.Record(timeline.Event{Kind: timeline.KindConfigRefused, Detail: err.Error()})
		return
	}
	c.table = routing.BuildFrom(c.table, s)
	c.path.Apply(s, c.table)
	c.appliedRevision.Store(uint64(s.Revision))
	if err := c.server.Publish(s); err != nil {
		level.Warn(c.process.logger).Log("event", "configuration-not-served", "err", err)
	}
	c.process.events.Record(timeline.Event{Kind: timeline.KindConfigApplied, Detail: revisionDetail(s.Revision)})
	level.Debug(c.process.logger).Log("event", "configuration-applied", "revision", s.Revision)
	if c.onApplied != nil {
		c.onApplied(s)
	}
}

// useKeys installs the tunnel keys that a configuration requires.
func (c *configuration) useKeys(use model.KeyRing) error {
	c.keysMu.Lock()
	defer c.keysMu.Unlock()
	ring, err := keyRing(c.keys, use)
	if err != nil {
		return err
	}
	c.requiredKeys = use
	c.path.SetKeys(ring)
	return nil
}

// reloadKeys replaces the tunnel keys of the settings. It fails, and the old keys stay in use, if the new ones lack a key
// that the configuration in force requires. It then installs a snapshot that was refused for a missing key: the plan that
// rotates the key waits for that revision, so no newer one may arrive.
func (c *configuration) reloadKeys(keys []settings.TunnelKey) error {
	c.installMu.Lock()
	defer c.installMu.Unlock()
	if err := c.replaceKeys(keys); err != nil {
		return err
	}
	if c.refusedSnapshot != nil {
		c.install(c.refusedSnapshot)
	}
	return nil
}

// replaceKeys installs changed keys of the settings, unless a required key is missing.
func (c *configuration) replaceKeys(keys []settings.TunnelKey) error {
	c.keysMu.Lock()
	defer c.keysMu.Unlock()
	ring, err := keyRing(keys, c.requiredKeys)
	if err != nil {
		return err
	}
	c.keys = keys
	c.path.SetKeys(ring)
	return nil
}
