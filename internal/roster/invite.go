package roster

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

const (
	// inviteInterval is the time between two invitations to the same process: one that is still starting misses them.
	inviteInterval = 50 * time.Millisecond
	// invitePause is added for each process, so that a control VM sends at most 10,000 datagrams a second.
	invitePause = 100 * time.Microsecond
	// inviteFor is how long a control VM invites: processes that lost power together start within 0.5 s of each other.
	inviteFor = time.Second
)

// Inviter tells the processes that a control VM knew before it started that it is back. After a loss of all power they know
// only the given control VMs, and one that is not among them would be asked by nobody until one of those is back.
type Inviter struct {
	Store  *Store
	Self   netip.AddrPort // RPC address of this control VM
	Logger log.Logger
}

// Run invites the processes at the addresses until the roster is settled, for inviteFor at most.
func (i *Inviter) Run(ctx context.Context, processes []netip.AddrPort) {
	if len(processes) == 0 {
		return
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(i.Self.Addr(), 0)))
	if err != nil {
		_ = i.Logger.Log("event", "invitations_not_sent", "error", err)
		return
	}
	defer func() { _ = conn.Close() }()
	datagram := passthrough.AppendInvite(nil, passthrough.EndpointOf(i.Self))
	ticker := time.NewTicker(inviteInterval + time.Duration(len(processes))*invitePause)
	defer ticker.Stop()
	failed := 0
	for started := time.Now(); time.Since(started) < inviteFor && !i.Store.Settled(time.Now()); {
		for _, at := range processes {
			if _, err := conn.WriteToUDPAddrPort(datagram, at); err != nil {
				failed++ // tried again in the next round
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	_ = i.Logger.Log("event", "invitations_sent", "processes", len(processes), "failed", failed)
}
