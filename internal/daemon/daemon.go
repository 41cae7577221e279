package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/timeline"
)

// role is a part that runs until its context ends.
type role interface {
	// run returns after ctx has ended and the role has released what it holds. It returns early on a failure that the
	// process cannot go on with.
	run(ctx context.Context) error
	// leave ends the role gracefully: it returns when no work is left or when ctx ends.
	leave(ctx context.Context)
	// reload puts changed tunnel keys into use.
	reload(keys []settings.TunnelKey) error
}

// shutdownTimeout bounds the wait for open calls of the RPC server when the process ends.
const shutdownTimeout = 2 * time.Second

// Daemon is one process with its roles.
type Daemon struct {
	process *process
	rpc     net.Listener
	metrics net.Listener
	roles   []role
}

// New opens the listeners and creates the roles. Nothing is served before Run.
func New(s *settings.Settings, logger log.Logger) (*Daemon, error) {
	p, err := newProcess(s, logger)
	if err != nil {
		return nil, err
	}
	d := &Daemon{process: p}
	if err := d.open(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) open() error {
	s := d.process.settings
	var err error
	if d.rpc, err = listen("calls", s.RPC.String()); err != nil {
		return err
	}
	if s.Metrics.IsValid() {
		if d.metrics, err = listen("metrics", s.Metrics.String()); err != nil {
			return err
		}
	}
	return d.addRoles()
}

// addRoles creates the control role first, because it provides the configuration server that the other roles share.
func (d *Daemon) addRoles() error {
	p := d.process
	constructors := []struct {
		role settings.Role
		make func(*process) (role, error)
	}{
		{settings.RoleControl, func(p *process) (role, error) { return newControlRole(p) }},
		{settings.RoleEntry, func(p *process) (role, error) { return newEntryRole(p) }},
		{settings.RoleUpstream, func(p *process) (role, error) { return newUpstreamRole(p) }},
	}
	for _, c := range constructors {
		if !p.settings.Has(c.role) {
			continue
		}
		r, err := c.make(p)
		if err != nil {
			return err
		}
		d.roles = append(d.roles, r)
	}
	return nil
}

// close releases the listeners of a daemon that does not run.
func (d *Daemon) close() {
	for _, l := range []net.Listener{d.rpc, d.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until stop or kill ends, or until a role fails. When stop ends, the roles leave gracefully: hosts drain
// and interrupt nobody. When kill ends, the process ends at once.
func (d *Daemon) Run(stop, kill context.Context) error {
	p := d.process
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	servers := []*http.Server{p.rpcServer()}
	go func() { _ = peer.Serve(servers[0], d.rpc) }()
	if d.metrics != nil {
		server := metrics.NewServer(p.registry, p.settings.Pprof)
		servers = append(servers, server)
		go func() { _ = server.Serve(d.metrics) }()
	}
	p.events.Record(timeline.Event{Kind: timeline.KindStarted})
	level.Info(p.logger).Log("event", "started", "rpc", d.rpc.Addr())

	failures := make(chan error, len(d.roles))
	var running sync.WaitGroup
	for _, r := range d.roles {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := r.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				failures <- err
			}
		}()
	}
	err := d.wait(ctx, stop, failures)
	p.events.Record(timeline.Event{Kind: timeline.KindStopping})
	level.Info(p.logger).Log("event", "stopping")
	cancel()
	running.Wait()
	shutdown(servers)
	level.Info(p.logger).Log("event", "stopped")
	return err
}

// Reload puts the tunnel keys of changed settings into use, so that a key is rotated without a restart. Other changes
// need one; certificates are read again on their own.
func (d *Daemon) Reload(s *settings.Settings) error {
	for _, r := range d.roles {
		if err := r.reload(s.Tunnel.Keys); err != nil {
			return result.Errorf(result.SettingsContradictory, "reload tunnel.keys: %w", err)
		}
	}
	d.process.events.Record(timeline.Event{Kind: timeline.KindKeyRotated, Detail: "settings reloaded"})
	level.Info(d.process.logger).Log("event", "settings-reloaded", "tunnel-keys", len(s.Tunnel.Keys))
	return nil
}

// wait returns when the process has to end.
func (d *Daemon) wait(ctx, stop context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	case <-stop.Done():
	}
	level.Info(d.process.logger).Log("event", "leaving")
	left := make(chan struct{})
	go func() {
		defer close(left)
		for _, r := range d.roles {
			r.leave(ctx)
		}
	}()
	select {
	case <-left:
		return nil
	case err := <-failures:
		return err
	}
}

func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
