// Package wire encodes the messages between agents as protobuf.
package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/peerpb"
)

const (
	callerSizeV4 = 4 + 2  // bytes of an IPv4 caller
	callerSizeV6 = 16 + 2 // bytes of an IPv6 caller

	// maxSYNSize bounds the caller's packet in a Decline, in bytes. Longer SYNs (TCP Fast Open) are left out, and the
	// caller has to retransmit them.
	maxSYNSize = 1024
)

// Encode returns the protobuf form of a message.
func Encode(m flow.Message) ([]byte, error) {
	var e peerpb.Envelope
	switch m := m.(type) {
	case flow.Register:
		e.Message = &peerpb.Envelope_Register{Register: encodeRegister(m)}
	case flow.RegisterAck:
		e.Message = &peerpb.Envelope_RegisterAck{RegisterAck: encodeRegisterAck(m)}
	case flow.Query:
		e.Message = &peerpb.Envelope_Query{Query: encodeQuery(m)}
	case flow.Answer:
		e.Message = &peerpb.Envelope_Answer{Answer: encodeAnswer(m)}
	case flow.Decline:
		e.Message = &peerpb.Envelope_Decline{Decline: encodeDecline(m)}
	case flow.Release:
		e.Message = &peerpb.Envelope_Release{Release: &peerpb.Release{
			Service: uint32(m.Service), Generation: uint64(m.Generation), Callers: packCallers(m.Callers),
			Sequence: m.Sequence,
		}}
	case flow.Load:
		e.Message = &peerpb.Envelope_Load{Load: encodeLoad(m)}
	default:
		return nil, fmt.Errorf("encode peer message: unknown type %T", m)
	}
	b, err := proto.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return b, nil
}

// Decode decodes the protobuf form of a message. It returns an error with result.TunnelMalformed if b is not one valid
// message.
func Decode(b []byte) (flow.Message, error) {
	var e peerpb.Envelope
	if err := proto.Unmarshal(b, &e); err != nil {
		return nil, result.Errorf(result.TunnelMalformed, "decode peer message: %w", err)
	}
	m, err := decodeEnvelope(&e)
	if err != nil {
		return nil, result.Errorf(result.TunnelMalformed, "decode peer message: %w", err)
	}
	return m, nil
}

func decodeEnvelope(e *peerpb.Envelope) (flow.Message, error) {
	switch m := e.Message.(type) {
	case *peerpb.Envelope_Register:
		return decodeRegister(m.Register)
	case *peerpb.Envelope_RegisterAck:
		return decodeRegisterAck(m.RegisterAck)
	case *peerpb.Envelope_Query:
		return decodeQuery(m.Query)
	case *peerpb.Envelope_Answer:
		return decodeAnswer(m.Answer)
	case *peerpb.Envelope_Decline:
		return decodeDecline(m.Decline)
	case *peerpb.Envelope_Release:
		callers, err := unpackCallers(m.Release.GetCallers())
		return flow.Release{
			Service: model.ServiceID(m.Release.GetService()), Generation: model.Revision(m.Release.GetGeneration()),
			Callers: callers, Sequence: m.Release.GetSequence(),
		}, err
	case *peerpb.Envelope_Load:
		return decodeLoad(m.Load)
	}
	return nil, fmt.Errorf("no message")
}

func encodeRegister(m flow.Register) *peerpb.Register {
	return &peerpb.Register{
		Service: uint32(m.Service), Generation: uint64(m.Generation), HomeIncarnation: uint64(m.HomeIncarnation),
		Sequence: m.Sequence, Callers: packCallers(m.Callers), Seal: m.Seal,
	}
}

func decodeRegister(m *peerpb.Register) (flow.Message, error) {
	callers, err := unpackCallers(m.GetCallers())
	return flow.Register{
		Service: model.ServiceID(m.GetService()), Generation: model.Revision(m.GetGeneration()),
		HomeIncarnation: model.Incarnation(m.GetHomeIncarnation()), Sequence: m.GetSequence(), Callers: callers,
		Seal: m.GetSeal(),
	}, err
}

func encodeRegisterAck(m flow.RegisterAck) *peerpb.RegisterAck {
	return &peerpb.RegisterAck{
		Service: uint32(m.Service), Generation: uint64(m.Generation), Incarnation: uint64(m.Incarnation),
		Sequence: m.Sequence, Rejected: packCallers(m.Rejected),
	}
}

func decodeRegisterAck(m *peerpb.RegisterAck) (flow.Message, error) {
	rejected, err := unpackCallers(m.GetRejected())
	return flow.RegisterAck{
		Service: model.ServiceID(m.GetService()), Generation: model.Revision(m.GetGeneration()),
		Incarnation: model.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(), Rejected: rejected,
	}, err
}

func encodeQuery(m flow.Query) *peerpb.Query {
	return &peerpb.Query{
		Service: uint32(m.Service), Generation: uint64(m.Generation), Callers: packCallers(m.Callers), Audit: m.Audit,
	}
}

func decodeQuery(m *peerpb.Query) (flow.Message, error) {
	callers, err := unpackCallers(m.GetCallers())
	return flow.Query{
		Service: model.ServiceID(m.GetService()), Generation: model.Revision(m.GetGeneration()), Callers: callers,
		Audit: m.GetAudit(),
	}, err
}

func encodeAnswer(m flow.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Service: uint32(m.Service), Generation: uint64(m.Generation), Incarnation: uint64(m.Incarnation),
		Owned: packCallers(m.Owned), Free: packCallers(m.Free), Stale: m.Stale, Audit: m.Audit,
		Sequence: m.Sequence,
	}
}

func decodeAnswer(m *peerpb.Answer) (flow.Message, error) {
	owned, err := unpackCallers(m.GetOwned())
	if err != nil {
		return nil, err
	}
	free, err := unpackCallers(m.GetFree())
	return flow.Answer{
		Service: model.ServiceID(m.GetService()), Generation: model.Revision(m.GetGeneration()),
		Incarnation: model.Incarnation(m.GetIncarnation()), Owned: owned, Free: free, Stale: m.GetStale(),
		Audit: m.GetAudit(), Sequence: m.GetSequence(),
	}, err
}

func encodeDecline(m flow.Decline) *peerpb.Decline {
	syn := m.SYN
	if len(syn) > maxSYNSize {
		syn = nil
	}
	return &peerpb.Decline{
		Service: uint32(m.Service), HomeIncarnation: uint64(m.HomeIncarnation),
		Caller: packCallers([]netip.AddrPort{m.Caller}), Code: uint32(m.Code), Generation: uint64(m.Generation),
		Hops: uint32(m.Hops), Syn: syn, Sequence: m.Sequence,
	}
}

func decodeDecline(m *peerpb.Decline) (flow.Message, error) {
	callers, err := unpackCallers(m.GetCaller())
	if err != nil {
		return nil, err
	}
	if len(callers) != 1 {
		return nil, fmt.Errorf("decline of %d callers, want 1", len(callers))
	}
	if m.GetHops() > math.MaxUint8 || len(m.GetSyn()) > maxSYNSize {
		return nil, fmt.Errorf("decline with %d hops and a SYN of %d bytes", m.GetHops(), len(m.GetSyn()))
	}
	return flow.Decline{
		Service: model.ServiceID(m.GetService()), HomeIncarnation: model.Incarnation(m.GetHomeIncarnation()),
		Caller: callers[0], Code: result.Code(m.GetCode()), Generation: model.Revision(m.GetGeneration()),
		Hops: uint8(m.GetHops()), SYN: m.GetSyn(), Sequence: m.GetSequence(),
	}, nil
}

func encodeLoad(m flow.Load) *peerpb.Load {
	return &peerpb.Load{
		Service: uint32(m.Service), Generation: uint64(m.Generation), Incarnation: uint64(m.Incarnation),
		Flows: m.Flows, FreeFlows: m.FreeFlows, Load: m.Load, Accept: m.Accept, Cold: m.Cold,
	}
}

func decodeLoad(m *peerpb.Load) (flow.Message, error) {
	load := m.GetLoad()
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return nil, fmt.Errorf("load %v is not a finite number of at least 0", load)
	}
	return flow.Load{
		Service: model.ServiceID(m.GetService()), Generation: model.Revision(m.GetGeneration()),
		Incarnation: model.Incarnation(m.GetIncarnation()), Flows: m.GetFlows(), FreeFlows: m.GetFreeFlows(), Load: load,
		Accept: m.GetAccept(), Cold: m.GetCold(),
	}, nil
}

// packCallers encodes callers, and returns nil if there are none. Zones of IPv6 addresses are dropped, because callers
// have global addresses.
func packCallers(callers []netip.AddrPort) *peerpb.Callers {
	if len(callers) == 0 {
		return nil
	}
	var c peerpb.Callers
	for _, a := range callers {
		addr := a.Addr().Unmap()
		if addr.Is4() {
			c.V4 = append(c.V4, addr.AsSlice()...)
			c.V4 = binary.BigEndian.AppendUint16(c.V4, a.Port())
			continue
		}
		c.V6 = append(c.V6, addr.AsSlice()...)
		c.V6 = binary.BigEndian.AppendUint16(c.V6, a.Port())
	}
	return &c
}

// unpackCallers decodes callers. It returns an error if a field does not hold a whole number of callers, an IPv6
// address is an IPv4-mapped one, or there are more than flow.MaxCallers callers.
func unpackCallers(c *peerpb.Callers) ([]netip.AddrPort, error) {
	v4, v6 := c.GetV4(), c.GetV6()
	if len(v4)%callerSizeV4 != 0 || len(v6)%callerSizeV6 != 0 {
		return nil, fmt.Errorf("callers of %d and %d bytes", len(v4), len(v6))
	}
	n := len(v4)/callerSizeV4 + len(v6)/callerSizeV6
	if n > flow.MaxCallers {
		return nil, fmt.Errorf("%d callers, limit %d", n, flow.MaxCallers)
	}
	if n == 0 {
		return nil, nil
	}
	callers := make([]netip.AddrPort, 0, n)
	for ; len(v4) > 0; v4 = v4[callerSizeV4:] {
		callers = append(callers, addrPort(netip.AddrFrom4([4]byte(v4)), v4[4:]))
	}
	for ; len(v6) > 0; v6 = v6[callerSizeV6:] {
		addr := netip.AddrFrom16([16]byte(v6))
		if addr.Is4In6() {
			return nil, fmt.Errorf("caller %s is an IPv4-mapped IPv6 address", addr)
		}
		callers = append(callers, addrPort(addr, v6[16:]))
	}
	return callers, nil
}

func addrPort(addr netip.Addr, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(port))
}
