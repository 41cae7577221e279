package tunnel

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Inner holds the addresses and flags of a caller's TCP packet.
type Inner struct {
	Caller   netip.AddrPort // source
	Frontend netip.AddrPort // destination
	Flags    header.TCPFlags
}

// ParseInner decodes the addresses, ports and flags of a caller's packet. The packet must be unfragmented TCP over IPv4
// or TCP over IPv6 without extension headers, and its length fields must match the data; otherwise ParseInner returns
// TunnelMalformed. It does not verify checksums, which the receiving TCP stack does.
func ParseInner(packet []byte) (Inner, result.Code) {
	if len(packet) == 0 {
		return Inner{}, result.TunnelMalformed
	}
	switch packet[0] >> 4 {
	case 4:
		return parseIPv4(packet)
	case 6:
		return parseIPv6(packet)
	}
	return Inner{}, result.TunnelMalformed
}

// parseIPv4 decodes an IPv4 packet.
func parseIPv4(packet []byte) (Inner, result.Code) {
	ip := header.IPv4(packet)
	if !ip.IsValid(len(packet)) || int(ip.TotalLength()) != len(packet) {
		return Inner{}, result.TunnelMalformed
	}
	if ip.TransportProtocol() != header.TCPProtocolNumber || ip.More() || ip.FragmentOffset() != 0 {
		return Inner{}, result.TunnelMalformed
	}
	src := netip.AddrFrom4([4]byte(packet[12:16]))
	dst := netip.AddrFrom4([4]byte(packet[16:20]))
	return parseTCP(src, dst, packet[ip.HeaderLength():])
}

// parseIPv6 decodes an IPv6 packet.
func parseIPv6(packet []byte) (Inner, result.Code) {
	ip := header.IPv6(packet)
	if !ip.IsValid(len(packet)) || header.IPv6MinimumSize+int(ip.PayloadLength()) != len(packet) {
		return Inner{}, result.TunnelMalformed
	}
	if ip.NextHeader() != uint8(header.TCPProtocolNumber) {
		return Inner{}, result.TunnelMalformed
	}
	src := netip.AddrFrom16([16]byte(packet[8:24]))
	dst := netip.AddrFrom16([16]byte(packet[24:40]))
	return parseTCP(src, dst, packet[header.IPv6MinimumSize:])
}

// parseTCP decodes a TCP segment.
func parseTCP(src, dst netip.Addr, segment []byte) (Inner, result.Code) {
	if len(segment) < header.TCPMinimumSize {
		return Inner{}, result.TunnelMalformed
	}
	tcp := header.TCP(segment)
	offset := int(tcp.DataOffset())
	if offset < header.TCPMinimumSize || offset > len(segment) {
		return Inner{}, result.TunnelMalformed
	}
	inner := Inner{
		Caller:   netip.AddrPortFrom(src, tcp.SourcePort()),
		Frontend: netip.AddrPortFrom(dst, tcp.DestinationPort()),
		Flags:    tcp.Flags(),
	}
	if inner.Caller.Port() == 0 || inner.Frontend.Port() == 0 {
		return Inner{}, result.TunnelMalformed
	}
	return inner, result.OK
}
