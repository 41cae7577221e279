package catalog

import (
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Snapshot encodes the whole state. Equal states have equal encodings within one build of the program.
func (c *Catalog) Snapshot() ([]byte, error) {
	s := &catalogpb.State{
		Index:          c.index,
		Revision:       c.revision,
		AtUnixMs:       c.lastUnixMs,
		LastService:    c.lastServiceID,
		LastIntent:     c.lastIntentID,
		Control:        c.control,
		ControlVersion: c.controlVersion,
		Changes:        c.changes,
		ChangesDropped: c.changesDropped,
		IntentsDropped: c.intentsDropped,
		Keys:           c.keys,
	}
	for _, id := range sortedKeys(c.services) {
		sortAccount(c.services[id])
		s.Services = append(s.Services, c.services[id])
	}
	for _, host := range sortedKeys(c.hosts) {
		s.Hosts = append(s.Hosts, c.hosts[host])
	}
	for _, id := range sortedKeys(c.intents) {
		s.Intents = append(s.Intents, c.intents[id])
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode catalog: %w", err)
	}
	return raw, nil
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (c *Catalog) Restore(snapshot []byte) error {
	var s catalogpb.State
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return result.Errorf(result.StoreCorrupt, "decode catalog: %w", err)
	}
	c.load(&s)
	return nil
}

// load replaces the state with a decoded one and rebuilds the indexes.
func (c *Catalog) load(s *catalogpb.State) {
	*c = Catalog{
		index: s.Index, revision: s.Revision, lastUnixMs: s.AtUnixMs,
		lastServiceID: s.LastService, lastIntentID: s.LastIntent,
		control: s.Control, controlVersion: s.ControlVersion, keys: s.Keys,
		changes: s.Changes, changesDropped: s.ChangesDropped, intentsDropped: s.IntentsDropped,
		services: map[uint32]*catalogpb.Service{}, hosts: map[string]*catalogpb.Host{}, intents: map[uint64]*intentpb.Intent{},
		serviceByName: map[string]uint32{}, serviceByFrontend: map[string]uint32{}, hostByTunnel: map[string]string{}, hostByRPC: map[string]string{},
		servicesByHost: map[string][]uint32{}, intentByKey: map[operatorKey]uint64{}, intentByClaim: map[string]uint64{}, accounts: map[uint32]*accountRows{},
		dirtyServices: map[uint32]bool{}, dirtyHosts: map[string]bool{},
	}
	if c.keys == nil {
		c.keys = &catalogpb.KeyRing{}
	}
	for _, svc := range s.Services {
		c.services[svc.Id] = svc
		c.indexService(svc)
	}
	for _, h := range s.Hosts {
		c.hosts[h.Host] = h
		if !h.Lost && !h.Retired {
			c.indexHost(h)
		}
	}
	for _, h := range s.Hosts { // a lost or retired host keeps its addresses only if no live host uses its tunnel address
		if _, taken := c.hostByTunnel[h.Tunnel]; !taken {
			c.indexHost(h)
		}
	}
	for _, in := range s.Intents {
		c.intents[in.Id] = in
		c.intentByKey[operatorKey{in.Operator, in.Key}] = in.Id
		if in.State == intentpb.State_STATE_RUNNING || in.State == intentpb.State_STATE_PAUSED {
			for _, object := range in.GetPlan().GetClaims() {
				c.intentByClaim[object] = in.Id
			}
		}
	}
}

// Config returns the configuration at the current revision. It shares unchanged objects with the previously returned
// configuration.
func (c *Catalog) Config() *model.Snapshot {
	if c.published == nil {
		c.markAllDirty()
		c.published = model.NewSnapshot()
	} else if c.published.Revision == model.Revision(c.revision) {
		return c.published
	}
	next := c.published.Clone()
	next.Revision = model.Revision(c.revision)
	next.Keys = model.KeyRing{Active: c.keys.Active, Accepted: slices.Clone(c.keys.Accepted)}
	for id := range c.dirtyServices {
		putOrDelete(next.Services, model.ServiceID(id), configService(c.services[id]))
	}
	for host := range c.dirtyHosts {
		h := c.hosts[host]
		putOrDelete(next.Upstreams, model.HostID(host), configUpstream(h))
		putOrDelete(next.Entries, model.HostID(host), configEntry(h))
	}
	clear(c.dirtyServices)
	clear(c.dirtyHosts)
	c.published = next
	return next
}

func (c *Catalog) markAllDirty() {
	for id := range c.services {
		c.dirtyServices[id] = true
	}
	for host := range c.hosts {
		c.dirtyHosts[host] = true
	}
}

func putOrDelete[K comparable, V any](m map[K]*V, key K, value *V) {
	if value == nil {
		delete(m, key)
		return
	}
	m[key] = value
}

func configService(svc *catalogpb.Service) *model.Service {
	if svc == nil || svc.Closed {
		return nil
	}
	frontend, _ := netip.ParseAddrPort(svc.Frontend) // validated by createService
	out := &model.Service{
		ID:         model.ServiceID(svc.Id),
		Name:       svc.Name,
		Frontend:   frontend,
		Kind:       model.Kind(svc.Kind),
		Seed:       svc.Seed,
		Generation: model.Revision(svc.Generation),
		Closing:    svc.Closing,
		QueueLimit: int(svc.QueueLimit),
	}
	for _, m := range svc.Members {
		out.Members = append(out.Members, model.Member{Host: model.HostID(m.Host), State: model.UpstreamState(m.State)})
	}
	return out
}

func configUpstream(h *catalogpb.Host) *model.Upstream {
	if h == nil || h.Entry || h.Retired {
		return nil
	}
	return &model.Upstream{
		Ref:            hostRef(h),
		FailureDomain:  model.FailureDomain(h.FailureDomain),
		Tunnel:         parseAddr(h.Tunnel),
		RPC:            parseAddr(h.Rpc),
		Slots:          effectiveLimit(h.Slots, h.SlotLimit),
		MaxConnections: effectiveLimit(h.MaxConnections, h.ConnectionLimit),
	}
}

// configEntry returns nil for a lost entry: nothing is sent to it, and it holds no state.
func configEntry(h *catalogpb.Host) *model.Entry {
	if h == nil || !h.Entry || h.Retired || h.Lost {
		return nil
	}
	return &model.Entry{
		Ref:           hostRef(h),
		FailureDomain: model.FailureDomain(h.FailureDomain),
		Tunnel:        parseAddr(h.Tunnel),
		RPC:           parseAddr(h.Rpc),
	}
}

func hostRef(h *catalogpb.Host) model.HostRef {
	return model.HostRef{Host: model.HostID(h.Host), Incarnation: model.Incarnation(h.Incarnation)}
}

func parseAddr(s string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(s) // membership validates the addresses of announcements
	return a
}

// effectiveLimit returns the announced value, or the operator's limit if one is set and lower.
func effectiveLimit(announced, limit uint32) int {
	if limit != 0 && limit < announced {
		return int(limit)
	}
	return int(announced)
}
