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

// Guards against a flow that stays open after both sides have closed it, because the caller's last acknowledgement was
// lost once. The stack then waited in FIN-WAIT-2 for a FIN that it had already received, which delayed a drain.
func TestLostLastAcknowledgement(t *testing.T) {
	cfg := delivery.Config{SilenceTimeout: time.Hour, TimeWait: time.Millisecond,
		SweepInterval: 20 * time.Millisecond}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		lost := 0
		l.update(func(l *link) {
			l.dropIf = func(packet []byte) bool { return acknowledgesFIN(l, packet) && firstCall(&lost) }
		})
		g.Expect(client.Close()).To(Succeed())
		_, err := io.ReadAll(server)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server.Close()).To(Succeed())
		g.Eventually(l.flowEndCodes, testTimeout).Should(Equal([]result.Code{result.OK}))
		g.Expect(lost).To(Equal(1))
	})
}

// acknowledgesFIN returns true if a packet of the caller acknowledges the last packet to the caller and that packet has
// a FIN. The caller must hold l.mu.
func acknowledgesFIN(l *link, packet []byte) bool {
	if len(l.toCaller) == 0 {
		return false
	}
	last := header.TCP(header.IPv4(l.toCaller[len(l.toCaller)-1]).Payload())
	ack := header.TCP(header.IPv4(packet).Payload())
	return last.Flags().Contains(header.TCPFlagFin) && ack.AckNumber() == last.SequenceNumber()+1
}

// firstCall increments *n and returns true at the first call only.
func firstCall(n *int) bool {
	if *n > 0 {
		return false
	}
	*n++
	return true
}
