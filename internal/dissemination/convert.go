package dissemination

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// ToProto encodes a snapshot. Lists are sorted by identity.
func ToProto(s *model.Snapshot) *configpb.Snapshot {
	out := &configpb.Snapshot{Revision: uint64(s.Revision), Keys: keysToProto(s.Keys)}
	for _, id := range sortedKeys(s.Services) {
		out.Services = append(out.Services, serviceToProto(s.Services[id]))
	}
	for _, host := range sortedKeys(s.Upstreams) {
		out.Upstreams = append(out.Upstreams, upstreamToProto(s.Upstreams[host]))
	}
	for _, host := range sortedKeys(s.Entries) {
		out.Entries = append(out.Entries, entryToProto(s.Entries[host]))
	}
	return out
}

// FromProto decodes a snapshot. A malformed address yields result.RevisionDigest, since a server's own encoding is
// always well-formed.
func FromProto(p *configpb.Snapshot) (*model.Snapshot, error) {
	s := model.NewSnapshot()
	err := addAll(s, p.GetServices(), p.GetUpstreams(), p.GetEntries())
	if err != nil {
		return nil, err
	}
	s.Revision = model.Revision(p.GetRevision())
	s.Keys = keysFromProto(p.GetKeys())
	return s, nil
}

// addAll puts decoded objects into s.
func addAll(s *model.Snapshot, services []*configpb.Service, upstreams []*configpb.Upstream, entries []*configpb.Entry) error {
	for _, p := range services {
		svc, err := serviceFromProto(p)
		if err != nil {
			return err
		}
		s.Services[svc.ID] = svc
	}
	for _, p := range upstreams {
		up, err := upstreamFromProto(p)
		if err != nil {
			return err
		}
		s.Upstreams[up.Ref.Host] = up
	}
	for _, p := range entries {
		e, err := entryFromProto(p)
		if err != nil {
			return err
		}
		s.Entries[e.Ref.Host] = e
	}
	return nil
}

func keysToProto(k model.KeyRing) *configpb.KeyRing {
	return &configpb.KeyRing{Active: k.Active, Accepted: k.Accepted}
}

func keysFromProto(p *configpb.KeyRing) model.KeyRing {
	return model.KeyRing{Active: p.GetActive(), Accepted: p.GetAccepted()}
}

func serviceToProto(s *model.Service) *configpb.Service {
	p := &configpb.Service{
		Id:         uint32(s.ID),
		Name:       s.Name,
		Frontend:   s.Frontend.String(),
		Kind:       uint32(s.Kind),
		Seed:       s.Seed,
		Generation: uint64(s.Generation),
		Closing:    s.Closing,
		QueueLimit: uint32(s.QueueLimit),
	}
	for _, m := range s.Members {
		p.Members = append(p.Members, &configpb.Member{Host: string(m.Host), State: uint32(m.State)})
	}
	return p
}

func serviceFromProto(p *configpb.Service) (*model.Service, error) {
	frontend, err := address(p.Frontend)
	if err != nil {
		return nil, err
	}
	s := &model.Service{
		ID:         model.ServiceID(p.Id),
		Name:       p.Name,
		Frontend:   frontend,
		Kind:       model.Kind(p.Kind),
		Seed:       p.Seed,
		Generation: model.Revision(p.Generation),
		Closing:    p.Closing,
		QueueLimit: int(p.QueueLimit),
	}
	for _, m := range p.Members {
		s.Members = append(s.Members, model.Member{Host: model.HostID(m.Host), State: model.UpstreamState(m.State)})
	}
	return s, nil
}

func upstreamToProto(u *model.Upstream) *configpb.Upstream {
	return &configpb.Upstream{
		Host:           string(u.Ref.Host),
		Incarnation:    uint64(u.Ref.Incarnation),
		FailureDomain:  string(u.FailureDomain),
		Tunnel:         u.Tunnel.String(),
		Rpc:            u.RPC.String(),
		Slots:          uint32(u.Slots),
		MaxConnections: uint32(u.MaxConnections),
	}
}

func upstreamFromProto(p *configpb.Upstream) (*model.Upstream, error) {
	tunnel, err := address(p.Tunnel)
	if err != nil {
		return nil, err
	}
	rpc, err := address(p.Rpc)
	if err != nil {
		return nil, err
	}
	return &model.Upstream{
		Ref:            model.HostRef{Host: model.HostID(p.Host), Incarnation: model.Incarnation(p.Incarnation)},
		FailureDomain:  model.FailureDomain(p.FailureDomain),
		Tunnel:         tunnel,
		RPC:            rpc,
		Slots:          int(p.Slots),
		MaxConnections: int(p.MaxConnections),
	}, nil
}

func entryToProto(e *model.Entry) *configpb.Entry {
	return &configpb.Entry{
		Host:          string(e.Ref.Host),
		Incarnation:   uint64(e.Ref.Incarnation),
		FailureDomain: string(e.FailureDomain),
		Tunnel:        e.Tunnel.String(),
		Rpc:           e.RPC.String(),
	}
}

func entryFromProto(p *configpb.Entry) (*model.Entry, error) {
	tunnel, err := address(p.Tunnel)
	if err != nil {
		return nil, err
	}
	rpc, err := address(p.Rpc)
	if err != nil {
		return nil, err
	}
	return &model.Entry{
		Ref:           model.HostRef{Host: model.HostID(p.Host), Incarnation: model.Incarnation(p.Incarnation)},
		FailureDomain: model.FailureDomain(p.FailureDomain),
		Tunnel:        tunnel,
		RPC:           rpc,
	}, nil
}

// invalidAddress is how netip prints the zero value.
var invalidAddress = netip.AddrPort{}.String()

func address(s string) (netip.AddrPort, error) {
	if s == "" || s == invalidAddress {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, result.Errorf(result.RevisionDigest, "malformed configuration: %w", err)
	}
	return a, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
