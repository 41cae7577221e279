package agent_test

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/site"
)

// sealedSYN returns a SYN in the form in which an entry VM with the given key forwards it. The destination may be
// different from the frontend of the service.
func sealedSYN(t testing.TB, keyID uint8, service model.ServiceID, from string, to netip.AddrPort) []byte {
	t.Helper()
	caller := netip.MustParseAddrPort(from)
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: caller.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(to.Port()), SYN: true}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	packet := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(packet, opts, ip, tcp); err != nil {
		t.Fatal(err)
	}
	keys, err := tunnel.NewKeyRing(site.TestKey(keyID))
	if err != nil {
		t.Fatal(err)
	}
	var ring atomic.Pointer[tunnel.KeyRing]
	ring.Store(keys)
	buf := append(make([]byte, tunnel.MaxHeader), packet.Bytes()...)
	header := tunnel.Header{Service: service, Generation: 1}
	return buf[tunnel.NewCodec(&ring).Seal(buf, tunnel.MaxHeader, &header):]
}
