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
	// inviteInterval is the time between two invitations to the same process. They repeat because a process that is still
	// starting misses them.
	inviteInterval = 50 * time.Millisecond
	// invitePerProcess lengthens inviteInterval for each process, so that a control VM sends at most 10,000 datagrams a
	// second.
	invitePerProcess = 100 * time.Microsecond
	// inviteDuration is how long a control VM sends invitations. Processes that lost power together start within 0.5 s of
	// each other.
	inviteDuration = time.Second
)

// Inviter announces a control VM after its start to the processes in its process file. After a loss of all power those
// processes know only their seeds: without an invitation, nobody would call a control VM outside the seeds until a seed is
// back.
type Inviter struct {
	Store  *Store
	Self   netip.AddrPort // RPC address of this control VM
	Logger log.Logger
}

// Run sends invitations to the given addresses until the roster is settled, for at most inviteDuration.
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
	ticker := time.NewTicker(inviteInterval + time.Duration(len(processes))*invitePerProcess)
	defer ticker.Stop()
	failed := 0
	for started := time.Now(); time.Since(started) < inviteDuration && !i.Store.Settled(time.Now()); {
		for _, at := range processes {
			if _, err := conn.WriteToUDPAddrPort(datagram, at); err != nil {
				failed++ // the next round retries
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
