package agent

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// silence is the time without a message after which another agent counts as unreachable. Agents of a service send
// their load every 200 ms, or at the slower pace of a large service, so this outlasts the loss of several messages.
const silence = 3 * time.Second

// Reachability is what an agent observed of the agents that share a service with it.
type Reachability struct {
	Reachable   []model.HostID
	Unreachable []model.HostID
}

// Reachability returns the agents that sent a message within the last seconds, and those that should have.
func (a *Agent) Reachability() Reachability {
	var r Reachability
	a.command(func(l *packetLoop, now time.Time) { r = l.reachability(now) })
	return r
}

func (l *packetLoop) reachability(now time.Time) Reachability {
	var r Reachability
	peers := l.expected()
	l.forget(peers)
	for host := range peers {
		since, known := l.joined[host]
		if !known {
			l.joined[host] = now
			continue
		}
		latest := l.heard[host]
		switch {
		case now.Sub(latest) < silence:
			r.Reachable = append(r.Reachable, host)
		case now.Sub(since) >= silence:
			r.Unreachable = append(r.Unreachable, host)
		}
	}
	return r
}

// expected returns the other members of the services that this host is a member of.
func (l *packetLoop) expected() map[model.HostID]bool {
	self := l.agent.cfg.Ref.Host
	peers := map[model.HostID]bool{}
	for _, svc := range l.view.snapshot.Services {
		if _, member := svc.Member(self); !member {
			continue
		}
		for _, m := range svc.Members {
			if m.Host != self {
				peers[m.Host] = true
			}
		}
	}
	return peers
}

// forget drops what is known of hosts that share no service any more.
func (l *packetLoop) forget(peers map[model.HostID]bool) {
	for host := range l.joined {
		if !peers[host] {
			delete(l.joined, host)
		}
	}
	for host := range l.heard {
		if !peers[host] {
			delete(l.heard, host)
		}
	}
}
