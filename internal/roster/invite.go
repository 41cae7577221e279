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
	// absentInterval is the time between two invitations to a process that has fallen silent.
	absentInterval = 2 * time.Second
)

// Inviter announces a control VM to processes that may not know one that runs: after its start to those in its process file, and
// later to those that fell silent. After a loss of all power, or after a partition in which all control VMs that they knew were
// replaced, nobody else would tell them.
type Inviter struct {
	Store  *Store
	Self   netip.AddrPort // RPC address of this control VM
	Logger log.Logger
	// AbsentInterval is the time between two invitations to absent processes. The default is absentInterval.
	AbsentInterval time.Duration
}

// Run sends invitations to the given addresses until the roster is settled, for at most inviteDuration, and then to absent
// processes until ctx is done.
func (i *Inviter) Run(ctx context.Context, processes []netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(i.Self.Addr(), 0)))
	if err != nil {
		_ = i.Logger.Log("event", "invitations_not_sent", "error", err)
		return
	}
	defer func() { _ = conn.Close() }()
	if len(processes) > 0 {
		i.inviteKnown(ctx, conn, processes)
	}
	i.inviteAbsent(ctx, conn)
}

// inviteKnown sends invitations to the processes in the process file.
func (i *Inviter) inviteKnown(ctx context.Context, conn *net.UDPConn, processes []netip.AddrPort) {
	ticker := time.NewTicker(inviteInterval + time.Duration(len(processes))*invitePerProcess)
	defer ticker.Stop()
	failed := 0
	for started := time.Now(); time.Since(started) < inviteDuration && !i.Store.Settled(time.Now()); {
		failed += i.send(conn, processes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	_ = i.Logger.Log("event", "invitations_sent", "processes", len(processes), "failed", failed)
}

// inviteAbsent sends invitations to absent processes until ctx is done.
func (i *Inviter) inviteAbsent(ctx context.Context, conn *net.UDPConn) {
	every := i.AbsentInterval
	if every == 0 {
		every = absentInterval
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	invited := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			absent := i.Store.Absent(now)
			failed := i.send(conn, absent)
			if len(absent) != invited {
				invited = len(absent)
				_ = i.Logger.Log("event", "absent_processes_invited", "processes", invited, "failed", failed)
			}
		}
	}
}

// send sends an invitation to each address and returns the number of those that could not be sent; the next round repeats them.
func (i *Inviter) send(conn *net.UDPConn, processes []netip.AddrPort) (failed int) {
	datagram := passthrough.AppendInvite(nil, passthrough.EndpointOf(i.Self))
	for _, at := range processes {
		if _, err := conn.WriteToUDPAddrPort(datagram, at); err != nil {
			failed++
		}
	}
	return failed
}
