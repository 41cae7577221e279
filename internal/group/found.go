package group

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// clients caches one RPC client for each control VM.
type clients struct {
	mu        sync.Mutex
	byAddress map[string]pb.Group
}

// client returns the client for the control VM at address.
func (c *clients) client(address string) pb.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]pb.Group{}
	}
	client, ok := c.byAddress[address]
	if !ok {
		transport := &http.Transport{
			DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, IdleConnTimeout: 10 * callTimeout,
		}
		client = pb.NewGroupProtobufClient("http://"+address, &http.Client{Transport: transport})
		c.byAddress[address] = client
	}
	return client
}

// bootstrapMembers returns the initial members of a new group if this VM is one of them, or nil if it has to join an existing
// group. It blocks until the members are known or ctx is done.
func (g *Group) bootstrapMembers(ctx context.Context, identity store.Identity) ([]consensus.Member, error) {
	founder := g.cfg.Founder && contains(g.seedList(), g.cfg.Self)
	g.locked(func() {
		g.identity = identity
		g.phase = PhaseJoining
		if founder {
			g.phase = PhaseForming
		}
	})
	if !founder {
		return nil, nil
	}
	for {
		if members, decided := g.collectFounders(ctx, identity); decided {
			g.locked(func() { g.founders = members })
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(maintainInterval):
		}
	}
}

// collectFounders asks every other seed once. Once all seeds have answered, the initial members are this VM and all seeds
// that are forming a group. If a seed has already decided, its list of founders is used; members is nil if this VM is not in
// that list and has to join.
func (g *Group) collectFounders(ctx context.Context, identity store.Identity) (members []consensus.Member, decided bool) {
	self := consensus.Member{ID: identity.ID, Name: identity.Name, Address: g.cfg.Self.String()}
	members = append(members, self)
	complete := true
	for _, seed := range g.seedList() {
		if seed == g.cfg.Self {
			continue
		}
		answer, err := g.introduce(ctx, seed)
		if err != nil {
			complete = false
			continue
		}
		switch {
		case Phase(answer.GetPhase()) == PhaseMember || len(answer.GetFounders()) > 0:
			return g.namedFounders(answer, identity.ID), true
		case Phase(answer.GetPhase()) == PhaseForming && answer.GetIdentity() != "":
			members = append(members, consensus.Member{
				ID: consensus.MemberID(answer.GetIdentity()), Name: answer.GetName(), Address: seed.String(),
			})
		case Phase(answer.GetPhase()) != PhaseJoining:
			complete = false
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members, complete
}

// namedFounders returns the founders in an answer if this VM is one of them, and nil otherwise.
func (g *Group) namedFounders(answer *pb.IntroduceResponse, self consensus.MemberID) []consensus.Member {
	var members []consensus.Member
	included := false
	for _, f := range answer.GetFounders() {
		members = append(members, consensus.Member{
			ID: consensus.MemberID(f.GetIdentity()), Name: f.GetName(), Address: f.GetAddress(),
		})
		included = included || f.GetIdentity() == string(self)
	}
	if !included {
		return nil
	}
	return members
}

func (g *Group) introduce(ctx context.Context, at netip.AddrPort) (*pb.IntroduceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.clients.client(at.String()).Introduce(ctx, &pb.IntroduceRequest{})
}

func (g *Group) seedList() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeds
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}
