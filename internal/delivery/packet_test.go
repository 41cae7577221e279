package delivery_test

import (
	"net"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

// syn returns a SYN from an address that no host has, so that the handshake is never completed.
func syn(t *testing.T, port uint16) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(10, 1, 0, 77).To4(), DstIP: frontend.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: layers.TCPPort(frontend.Port()), SYN: true, Window: 1000}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// mssOf returns the maximum segment size that a SYN-ACK announces, or zero.
func mssOf(packet []byte) int {
	decoded := gopacket.NewPacket(packet, layers.LayerTypeIPv4, gopacket.Default)
	tcp, ok := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if !ok {
		return 0
	}
	for _, o := range tcp.Options {
		if o.OptionType == layers.TCPOptionKindMSS {
			return int(o.OptionData[0])<<8 | int(o.OptionData[1])
		}
	}
	return 0
}

// hasFIN returns true if a packet has the FIN flag.
func hasFIN(packet []byte) bool {
	decoded := gopacket.NewPacket(packet, layers.LayerTypeIPv4, gopacket.Default)
	tcp, ok := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
	return ok && tcp.FIN
}
