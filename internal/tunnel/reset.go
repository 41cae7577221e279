package tunnel

import (
	"fmt"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

// resetTTL is the hop limit of a reset.
const resetTTL = 64

// Reset returns the IP packet with the TCP reset that answers a caller's packet (RFC 9293, section 3.10.7.1). It returns
// nil when the packet is itself a reset, which is never answered.
func Reset(packet []byte) ([]byte, error) {
	first := layers.LayerTypeIPv4
	if ProtoOf(packet) == ProtoIPv6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(packet, first, gopacket.DecodeOptions{NoCopy: true})
	tcp, ok := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if !ok {
		return nil, fmt.Errorf("packet of %d bytes has no TCP segment", len(packet))
	}
	if tcp.RST {
		return nil, nil
	}
	answer := answerTo(tcp)
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	var network gopacket.SerializableLayer
	switch ip := decoded.NetworkLayer().(type) {
	case *layers.IPv4:
		out := &layers.IPv4{Version: 4, TTL: resetTTL, Protocol: layers.IPProtocolTCP, SrcIP: ip.DstIP, DstIP: ip.SrcIP}
		network = out
		if err := answer.SetNetworkLayerForChecksum(out); err != nil {
			return nil, fmt.Errorf("reset: %w", err)
		}
	case *layers.IPv6:
		out := &layers.IPv6{Version: 6, HopLimit: resetTTL, NextHeader: layers.IPProtocolTCP, SrcIP: ip.DstIP, DstIP: ip.SrcIP}
		network = out
		if err := answer.SetNetworkLayerForChecksum(out); err != nil {
			return nil, fmt.Errorf("reset: %w", err)
		}
	}
	if err := gopacket.SerializeLayers(buf, opts, network, answer); err != nil {
		return nil, fmt.Errorf("reset: %w", err)
	}
	return buf.Bytes(), nil
}

// answerTo returns the reset segment: with the acknowledged number as sequence number if the segment has an ACK, and
// acknowledging the whole segment otherwise.
func answerTo(tcp *layers.TCP) *layers.TCP {
	answer := &layers.TCP{SrcPort: tcp.DstPort, DstPort: tcp.SrcPort, RST: true}
	if tcp.ACK {
		answer.Seq = tcp.Ack
		return answer
	}
	length := uint32(len(tcp.Payload))
	if tcp.SYN {
		length++
	}
	if tcp.FIN {
		length++
	}
	answer.ACK = true
	answer.Ack = tcp.Seq + length
	return answer
}
