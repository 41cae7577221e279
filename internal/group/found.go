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

// clients keeps one client per control VM.
type clients struct {
	mu     sync.Mutex
	groups map[string]pb.Group
}

// group returns the client of a control VM.
func (c *clients) group(address string) pb.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups == nil {
		c.groups = map[string]pb.Group{}
	}
	client, ok := c.groups[address]
	if !ok {
		transport := &http.Transport{
			DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, IdleConnTimeout: 10 * callTimeout,
		}
		client = pb.NewGroupProtobufClient("http://"+address, &http.Client{Transport: transport})
		c.groups[address] = client
	}
	return client
}

// found returns the first members of a new group if this VM is one of them, and none if it has to join a group. It
// returns once that is known.
func (g *Group) found(ctx context.Context, identity store.Identity) ([]consensus.Member, error) {
	founder := g.cfg.Founder && contains(g.seedList(), g.cfg.Self)
	g.set(func() {
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
		if members, decided := g.agree(ctx, identity); decided {
			g.set(func() { g.founders = members })
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(step):
		}
	}
}

// agree asks every other seed once. The first members are all seeds that are forming a group, once each seed has
// answered. A founder that has already decided names them, and then those hold: a member among them is this VM, or it
// has to join.
func (g *Group) agree(ctx context.Context, identity store.Identity) (members []consensus.Member, decided bool) {
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
			return g.known(answer, identity.ID), true
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

// known returns the first members that a founder named, if this VM is one of them.
func (g *Group) known(answer *pb.IntroduceResponse, self consensus.MemberID) []consensus.Member {
	var members []consensus.Member
	mine := false
	for _, f := range answer.GetFounders() {
		members = append(members, consensus.Member{
			ID: consensus.MemberID(f.GetIdentity()), Name: f.GetName(), Address: f.GetAddress(),
		})
		mine = mine || f.GetIdentity() == string(self)
	}
	if !mine {
		return nil
	}
	return members
}

func (g *Group) introduce(ctx context.Context, at netip.AddrPort) (*pb.IntroduceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.clients.group(at.String()).Introduce(ctx, &pb.IntroduceRequest{})
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
