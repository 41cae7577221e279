// Package daemon creates the roles of one process from its settings and runs them until the process stops.
package daemon

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/consensuspb"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
	"github.com/plantainseam/plantainseam/rpc/timelinepb"
)

// timelineEvents is the number of events that a process keeps; an event takes about 200 bytes.
const timelineEvents = 8192

// process holds the settings, identity and services that the roles of a process share.
type process struct {
	settings *settings.Settings
	ref      model.HostRef
	logger   log.Logger
	clock    *hlc.Clock
	events   *timeline.Recorder
	registry *prometheus.Registry

	credentials *peer.Credentials // nil for plain text
	identity    peer.Identity
	http        *http.Client
	mux         *http.ServeMux
}

// rules lists the roles that may call each RPC service.
var rules = peer.Rules{
	intentpb.IntentsPathPrefix:       {peer.RoleOperator},
	timelinepb.TimelinePathPrefix:    {peer.RoleOperator},
	memberpb.MembershipPathPrefix:    {peer.RoleEntry, peer.RoleUpstream},
	configpb.ConfigurationPathPrefix: {peer.RoleEntry, peer.RoleUpstream, peer.RoleControl},
	consensuspb.ConsensusPathPrefix:  {peer.RoleControl},
	bindpb.BindingsPathPrefix:        {peer.RoleUpstream},
	gatepb.GatePathPrefix:            {peer.RoleUpstream},
}

func newProcess(s *settings.Settings, logger log.Logger) (*process, error) {
	now := time.Now()
	p := &process{
		settings: s,
		// The start time orders the runs of a process on a host that has no disk.
		ref:      model.HostRef{Host: s.Host, Incarnation: model.Incarnation(now.UnixMilli())},
		clock:    hlc.New(time.Now),
		registry: metrics.NewRegistry(),
		identity: peer.Identity{Name: string(s.Host)},
		mux:      http.NewServeMux(),
	}
	for _, role := range s.Roles {
		p.identity.Roles = append(p.identity.Roles, peer.Role(role))
	}
	p.logger = log.With(logger, "process", p.ref.String())
	p.events = timeline.NewRecorder(p.ref, p.clock, timelineEvents)
	if !s.TLS.Insecure {
		files := peer.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority}
		credentials, err := peer.LoadCredentials(files, time.Now)
		if err != nil {
			return nil, err
		}
		p.credentials = credentials
	}
	p.http = &http.Client{Transport: p.transport()}
	p.mux.Handle(timelinepb.TimelinePathPrefix, timelinepb.NewTimelineServer(timeline.Server{Recorder: p.events}))
	return p, nil
}

// scheme returns the URL scheme of calls to peers.
func (p *process) scheme() string {
	if p.credentials == nil {
		return "http"
	}
	return "https"
}

// transport returns a new transport that shares no connections with others.
func (p *process) transport() *peer.Transport {
	return peer.NewTransport(peer.ClientOptions{Credentials: p.credentials, Identity: p.identity, Clock: p.clock})
}

// controlAddresses returns the RPC addresses of the control VMs.
func (p *process) controlAddresses() []string {
	var out []string
	for _, server := range p.settings.Control.Servers {
		out = append(out, server.RPC.String())
	}
	return out
}

// rpcServer serves the mux with role checks.
func (p *process) rpcServer() *http.Server {
	return peer.NewServer(peer.ServerOptions{Credentials: p.credentials, Rules: rules, Clock: p.clock}, p.mux)
}

func listen(what string, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", what, err)
	}
	return l, nil
}
