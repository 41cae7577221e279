package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/announce"
	"github.com/plantainseam/plantainseam/internal/entry"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// entrySockets is the number of traffic goroutines of an entry VM, each with its own socket.
const entrySockets = 2

// leaveForwardingTime is how long a leaving entry VM keeps forwarding after it starts to announce that it leaves.
const leaveForwardingTime = 2 * announce.Heartbeat

// entryRole is the entry role of a process.
type entryRole struct {
	process   *process
	entry     *entry.Entry
	config    *configuration
	announcer *announce.Client
	leaving   atomic.Bool
}

func newEntryRole(p *process) (*entryRole, error) {
	ring, err := keyRing(p.settings.Tunnel.Keys, model.KeyRing{})
	if err != nil {
		return nil, err
	}
	e, err := entry.New(entry.Config{Listen: p.settings.Tunnel.Listen, Sockets: entrySockets, Keys: ring})
	if err != nil {
		return nil, err
	}
	r := &entryRole{process: p, entry: e}
	if r.config, err = newConfiguration(p, e); err != nil {
		_ = e.Close()
		return nil, err
	}
	r.config.client.Restore()
	r.announcer = newAnnouncer(p, r, r.config, nil)
	registerEntryMetrics(p.registry, e, r.config)
	return r, nil
}

func (r *entryRole) run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.config.run(ctx)
	}()
	r.announcer.Run(ctx)
	<-done
	return r.entry.Close()
}

// leave keeps forwarding for leaveForwardingTime, so that the fabric can be reconfigured to other entry VMs.
func (r *entryRole) leave(ctx context.Context) {
	r.leaving.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(leaveForwardingTime):
	}
}

// Announcement implements announce.Source.
func (r *entryRole) Announcement() *memberpb.AnnounceRequest {
	p := r.process
	return &memberpb.AnnounceRequest{
		Host:          string(p.ref.Host),
		Incarnation:   uint64(p.ref.Incarnation),
		FailureDomain: string(p.settings.FailureDomain),
		Tunnel:        p.settings.Tunnel.Listen.String(),
		Rpc:           p.settings.RPC.String(),
		Entry:         true,
		Revision:      uint64(r.config.revision()),
		Leaving:       r.leaving.Load(),
	}
}

// Acknowledged implements announce.Source.
func (r *entryRole) Acknowledged(uint64) {}

// newAnnouncer returns the announcement client of a role. A lease that names a newer revision makes the configuration
// client fetch it.
func newAnnouncer(p *process, source announce.Source, c *configuration, onLease func(announce.Lease)) *announce.Client {
	return announce.NewClient(announce.Config{
		Servers: p.controlAddresses(),
		Scheme:  p.scheme(),
		HTTP:    p.http,
		Source:  source,
		Logger:  p.logger,
		Now:     time.Now,
		OnLease: func(l announce.Lease) {
			c.client.Hint(l.Revision)
			if onLease != nil {
				onLease(l)
			}
		},
	})
}

func revisionDetail(r model.Revision) string { return fmt.Sprintf("revision %d", r) }

// reload implements role.
func (r *entryRole) reload(keys []settings.TunnelKey) error { return r.config.reloadKeys(keys) }
