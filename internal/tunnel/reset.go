package tunnel

import (
	"fmt"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// resetTTL is the IPv4 TTL or IPv6 hop limit of a reset.
const resetTTL = 64

// Reset returns an IP packet with the TCP reset that answers a caller's packet (RFC 9293, section 3.10.7.1). It returns
// nil if the packet is itself a reset, which must not be answered.
//
// It is built with the header package of netstack, because the layers package of gopacket allocates 6 MB of tables in
// every process that links it.
func Reset(packet []byte) ([]byte, error) {
	src, dst, segment, err := tcpSegment(packet)
	if err != nil {
		return nil, err
	}
	if segment.Flags().Contains(header.TCPFlagRst) {
		return nil, nil
	}
	if ProtoOf(packet) == ProtoIPv6 {
		out := make([]byte, header.IPv6MinimumSize+header.TCPMinimumSize)
		header.IPv6(out).Encode(&header.IPv6Fields{
			PayloadLength: header.TCPMinimumSize, TransportProtocol: header.TCPProtocolNumber, HopLimit: resetTTL,
			SrcAddr: dst, DstAddr: src,
		})
		encodeReset(out[header.IPv6MinimumSize:], segment, dst, src)
		return out, nil
	}
	out := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	ip := header.IPv4(out)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(out)), TTL: resetTTL, Protocol: uint8(header.TCPProtocolNumber), SrcAddr: dst, DstAddr: src,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	encodeReset(out[header.IPv4MinimumSize:], segment, dst, src)
	return out, nil
}

// tcpSegment returns the source and destination addresses and the TCP segment of an IP packet.
func tcpSegment(packet []byte) (src, dst tcpip.Address, segment header.TCP, err error) {
	var protocol tcpip.TransportProtocolNumber
	if ProtoOf(packet) == ProtoIPv6 {
		ip := header.IPv6(packet)
		if !ip.IsValid(len(packet)) {
			return src, dst, nil, fmt.Errorf("packet of %d bytes is not a valid IPv6 packet", len(packet))
		}
		src, dst, protocol, segment = ip.SourceAddress(), ip.DestinationAddress(), tcpip.TransportProtocolNumber(ip.NextHeader()), ip.Payload()
	} else {
		ip := header.IPv4(packet)
		if !ip.IsValid(len(packet)) {
			return src, dst, nil, fmt.Errorf("packet of %d bytes is not a valid IPv4 packet", len(packet))
		}
		src, dst, protocol, segment = ip.SourceAddress(), ip.DestinationAddress(), ip.TransportProtocol(), ip.Payload()
	}
	hasHeader := len(segment) >= header.TCPMinimumSize
	if protocol != header.TCPProtocolNumber || !hasHeader || int(segment.DataOffset()) < header.TCPMinimumSize ||
		int(segment.DataOffset()) > len(segment) {
		return src, dst, nil, fmt.Errorf("packet of %d bytes has no valid TCP segment", len(packet))
	}
	return src, dst, segment, nil
}

// encodeReset writes the TCP reset that answers segment. If segment has an ACK, its acknowledgement number becomes the
// sequence number of the reset. Otherwise the reset has sequence number 0 and acknowledges the whole segment.
func encodeReset(out []byte, segment header.TCP, src, dst tcpip.Address) {
	fields := header.TCPFields{
		SrcPort: segment.DestinationPort(), DstPort: segment.SourcePort(), DataOffset: header.TCPMinimumSize,
		Flags: header.TCPFlagRst,
	}
	if flags := segment.Flags(); flags.Contains(header.TCPFlagAck) {
		fields.SeqNum = segment.AckNumber()
	} else {
		fields.Flags |= header.TCPFlagAck
		fields.AckNum = segment.SequenceNumber() + uint32(len(segment)) - uint32(segment.DataOffset())
		if flags.Contains(header.TCPFlagSyn) {
			fields.AckNum++
		}
		if flags.Contains(header.TCPFlagFin) {
			fields.AckNum++
		}
	}
	tcp := header.TCP(out)
	tcp.Encode(&fields)
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, src, dst, header.TCPMinimumSize)
	tcp.SetChecksum(^tcp.CalculateChecksum(sum))
}
