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

// role is the entry, upstream or control part of a process.
type role interface {
	// run runs the role until ctx ends and releases its resources. It returns early with an error that the process cannot
	// recover from.
	run(ctx context.Context) error
	// leave drains the role. It returns when no work is left or when ctx ends.
	leave(ctx context.Context)
	// reload installs changed tunnel keys.
	reload(keys []settings.TunnelKey) error
}

// shutdownTimeout bounds the wait for open calls of the HTTP servers when the process ends.
const shutdownTimeout = 2 * time.Second

// Daemon runs the roles of one process.
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

// close closes the listeners of a daemon that was never run.
func (d *Daemon) close() {
	for _, l := range []net.Listener{d.rpc, d.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until stop or kill ends, or until a role fails. When stop ends, the roles drain first, so that no open flow
// or request is interrupted. When kill ends, the roles stop without draining.
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

// Reload installs the tunnel keys of changed settings, so that keys are rotated without a restart. Other changed settings
// need a restart; certificate files are reloaded without a call of Reload.
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

// wait returns when the process must end: all roles have drained after stop ended, a role failed, or ctx ended.
func (d *Daemon) wait(ctx, stop context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	case <-stop.Done():
	}
	level.Info(d.process.logger).Log("event", "leaving")
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for _, r := range d.roles {
			r.leave(ctx)
		}
	}()
	select {
	case <-drained:
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
