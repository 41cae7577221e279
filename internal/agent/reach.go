package agent

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// peerTimeout is the time without a message after which another agent counts as unreachable. Agents of a service send
// their load every 200 ms, or less often if the service is large, so several lost messages are tolerated.
const peerTimeout = 3 * time.Second

// Reachability lists the agents that share a service with this agent, by whether they have recently sent a message. An
// agent that has just become a member of a shared service is in neither list.
type Reachability struct {
	Reachable   []model.HostID
	Unreachable []model.HostID
}

// Reachability returns which agents sent a message within peerTimeout and which ones did not.
func (a *Agent) Reachability() Reachability {
	var r Reachability
	a.command(func(l *packetLoop, now time.Time) { r = l.reachability(now) })
	return r
}

func (l *packetLoop) reachability(now time.Time) Reachability {
	var r Reachability
	peers := l.servicePeers()
	l.dropFormerPeers(peers)
	for host := range peers {
		since, known := l.expectedSince[host]
		if !known {
			l.expectedSince[host] = now
			continue
		}
		latest := l.lastMessage[host]
		switch {
		case now.Sub(latest) < peerTimeout:
			r.Reachable = append(r.Reachable, host)
		case now.Sub(since) >= peerTimeout:
			r.Unreachable = append(r.Unreachable, host)
		}
	}
	return r
}

// servicePeers returns the other members of the services that this host is a member of.
func (l *packetLoop) servicePeers() map[model.HostID]bool {
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

// dropFormerPeers deletes the state of hosts that no longer share a service with this one.
func (l *packetLoop) dropFormerPeers(peers map[model.HostID]bool) {
	for host := range l.expectedSince {
		if !peers[host] {
			delete(l.expectedSince, host)
		}
	}
	for host := range l.lastMessage {
		if !peers[host] {
			delete(l.lastMessage, host)
		}
	}
}
