package delivery_test

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/plantainseam/plantainseam/internal/delivery"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/standin/caller"
)

// Guards against a flow that stays open after both sides closed it, because the caller's last acknowledgement was lost
// once. The stack then waited in FIN-WAIT-2 for a FIN that it had already received, and a drain waited with it.
func TestLostLastAcknowledgement(t *testing.T) {
	cfg := delivery.Config{SilentAfter: time.Hour, TimeWait: time.Millisecond, SweepInterval: 20 * time.Millisecond}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		lost := 0
		l.set(func(l *link) {
			l.lose = func(packet []byte) bool { return acknowledgesFIN(l, packet) && countOnce(&lost) }
		})
		g.Expect(client.Close()).To(Succeed())
		_, err := io.ReadAll(server)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server.Close()).To(Succeed())
		g.Eventually(l.ends, patience).Should(Equal([]result.Code{result.OK}))
		g.Expect(lost).To(Equal(1))
	})
}

// acknowledgesFIN tells whether a packet of the caller answers a FIN of the delivery. The link's lock is held.
func acknowledgesFIN(l *link, packet []byte) bool {
	if len(l.toCaller) == 0 {
		return false
	}
	last := header.TCP(header.IPv4(l.toCaller[len(l.toCaller)-1]).Payload())
	ack := header.TCP(header.IPv4(packet).Payload())
	return last.Flags().Contains(header.TCPFlagFin) && ack.AckNumber() == last.SequenceNumber()+1
}

// countOnce returns true at its first call only.
func countOnce(n *int) bool {
	if *n > 0 {
		return false
	}
	*n++
	return true
}
