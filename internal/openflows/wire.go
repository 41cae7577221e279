package openflows

import (
	"encoding/binary"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

func toWire(o passthrough.OpenFlow) *pb.OpenFlow {
	return &pb.OpenFlow{
		Caller: ipToUint32(o.Flow.Caller.IP), CallerPort: uint32(o.Flow.Caller.Port),
		Front: ipToUint32(o.Flow.Front.IP), FrontPort: uint32(o.Flow.Front.Port), Acknowledged: o.Acknowledged,
	}
}

func fromWire(m *pb.OpenFlow) passthrough.OpenFlow {
	return passthrough.OpenFlow{
		Flow: passthrough.Flow{
			Caller: passthrough.Endpoint{IP: uint32ToIP(m.GetCaller()), Port: uint16(m.GetCallerPort())},
			Front:  passthrough.Endpoint{IP: uint32ToIP(m.GetFront()), Port: uint16(m.GetFrontPort())},
		},
		Acknowledged: m.GetAcknowledged(),
	}
}

func allToWire(flows []passthrough.OpenFlow) []*pb.OpenFlow {
	out := make([]*pb.OpenFlow, 0, len(flows))
	for _, o := range flows {
		out = append(out, toWire(o))
	}
	return out
}

func allFromWire(messages []*pb.OpenFlow) []passthrough.OpenFlow {
	out := make([]passthrough.OpenFlow, 0, len(messages))
	for _, m := range messages {
		out = append(out, fromWire(m))
	}
	return out
}

func ipToUint32(ip [4]byte) uint32 { return binary.BigEndian.Uint32(ip[:]) }

func uint32ToIP(v uint32) (ip [4]byte) {
	binary.BigEndian.PutUint32(ip[:], v)
	return ip
}
