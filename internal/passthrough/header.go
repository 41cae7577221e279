package passthrough

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"
)

// Datagrams between nodes start with a magic byte and a kind.
const (
	magic           = 0xB7
	kindForward     = 1  // a header and a caller's packet
	kindFlowHeld    = 2  // the sender's upstream answered a packet of the flow
	kindFlowNotHeld = 3  // the sender's upstream returned a packet of the flow
	kindInvite      = 4  // a control VM has started
	kindProbe       = 5  // an entry asks whether an agent is alive
	kindProbeReply  = 6  // answer to a probe
	kindStopping    = 7  // the sending agent's process is stopping
	kindLocated     = 8  // which agent holds a flow according to the directory
	kindRegister    = 9  // flows that the sender's upstream holds
	kindSearched    = 10 // no agent of a section holds a flow
)

// MaxVisited bounds the agents that one packet visits, and with them the size of the header (6 KB). In a larger
// deployment a search from agent to agent does not reach all agents: an entry that receives no answer asks the others
// itself, and such a search never causes a reset.
const MaxVisited = 1024

// MaxHeader is the length of the longest header in bytes.
const MaxHeader = forwardFixedSize + sectionSize + MaxVisited*endpointSize

// Forward is the header of a packet on its way to an upstream.
type Forward struct {
	Entry        Endpoint   // tunnel address of the entry that received the packet
	Version      uint64     // version of the declaration by which the entry chose the service
	Service      uint32     // ServiceTag of the chosen service; only for packets that open a flow
	NoRelay      bool       // the packet was sent to several agents at once, and none of them relays it
	Inconclusive bool       // a visited agent could not determine whether its upstream holds the flow
	Lookup       bool       // the receiver is a directory node of the flow
	Located      bool       // the receiver holds the flow according to the directory
	Section      Section    // agents that the packet visits in a sweep
	Visited      []Endpoint // agents that returned or relayed the packet
}

// ServiceTag returns the short form of a service name in headers.
func ServiceTag(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// FlowHeld notifies an entry that the sending agent's upstream holds a flow.
type FlowHeld struct {
	Flow  Flow
	Flows uint16 // open flows at the upstream
}

// Flags in the header of a Forward.
const (
	flagNoRelay      = 1
	flagInconclusive = 2
	flagLookup       = 4
	flagLocated      = 8
	flagSection      = 16 // a section follows the fixed part
	allForwardFlags  = flagNoRelay | flagInconclusive | flagLookup | flagLocated | flagSection
)

const (
	forwardFixedSize = 2 + 6 + 8 + 4 + 1 + 2
	endpointSize     = 6
	flowSize         = 12
	flowHeldSize     = 2 + flowSize + 2
	flowNotHeldSize  = 2 + flowSize
	inviteSize       = 2 + endpointSize
	probeSize        = 2 + endpointSize
	emptySize        = 2 // kinds without content
	sectionSize      = 3 + endpointSize
	locatedSize      = 2 + flowSize + endpointSize
	searchedSize     = 2 + flowSize + 3
)

// ErrMalformed is returned for datagrams that no node sends.
var ErrMalformed = errors.New("malformed datagram between nodes")

func putEndpoint(b []byte, e Endpoint) {
	copy(b, e.IP[:])
	binary.BigEndian.PutUint16(b[4:], e.Port)
}

func getEndpoint(b []byte) Endpoint {
	return Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:])}
}

func putFlow(b []byte, f Flow) {
	putEndpoint(b, f.Caller)
	putEndpoint(b[endpointSize:], f.Front)
}

func getFlow(b []byte) Flow {
	return Flow{Caller: getEndpoint(b), Front: getEndpoint(b[endpointSize:])}
}

// AppendForward appends the header and the packet to buf.
func AppendForward(buf []byte, h Forward, packet []byte) []byte {
	var fixed [forwardFixedSize]byte
	fixed[0], fixed[1] = magic, kindForward
	putEndpoint(fixed[2:], h.Entry)
	binary.BigEndian.PutUint64(fixed[8:], h.Version)
	binary.BigEndian.PutUint32(fixed[16:], h.Service)
	if h.NoRelay {
		fixed[20] |= flagNoRelay
	}
	if h.Inconclusive {
		fixed[20] |= flagInconclusive
	}
	if h.Lookup {
		fixed[20] |= flagLookup
	}
	if h.Located {
		fixed[20] |= flagLocated
	}
	if h.Section.Count > 0 {
		fixed[20] |= flagSection
	}
	binary.BigEndian.PutUint16(fixed[21:], uint16(len(h.Visited)))
	buf = append(buf, fixed[:]...)
	if h.Section.Count > 0 {
		var b [sectionSize]byte
		b[0], b[1], b[2] = h.Section.Count, h.Section.Index, h.Section.Attempt
		putEndpoint(b[3:], h.Section.Start)
		buf = append(buf, b[:]...)
	}
	for _, v := range h.Visited {
		var e [endpointSize]byte
		putEndpoint(e[:], v)
		buf = append(buf, e[:]...)
	}
	return append(buf, packet...)
}

// AppendFlowHeld appends a FlowHeld datagram to buf.
func AppendFlowHeld(buf []byte, h FlowHeld) []byte {
	var b [flowHeldSize]byte
	b[0], b[1] = magic, kindFlowHeld
	putFlow(b[2:], h.Flow)
	binary.BigEndian.PutUint16(b[14:], h.Flows)
	return append(buf, b[:]...)
}

// AppendFlowNotHeld appends to buf a datagram that the sender's upstream does not hold the flow.
func AppendFlowNotHeld(buf []byte, f Flow) []byte {
	var b [flowNotHeldSize]byte
	b[0], b[1] = magic, kindFlowNotHeld
	putFlow(b[2:], f)
	return append(buf, b[:]...)
}

// AppendFlowLocated appends a FlowLocated datagram to buf.
func AppendFlowLocated(buf []byte, l FlowLocated) []byte {
	var b [locatedSize]byte
	b[0], b[1] = magic, kindLocated
	putFlow(b[2:], l.Flow)
	putEndpoint(b[2+flowSize:], l.Holder)
	return append(buf, b[:]...)
}

// AppendRegistration appends a datagram with flows to register to buf.
func AppendRegistration(buf []byte, flows []Flow) []byte {
	buf = append(buf, magic, kindRegister)
	for _, f := range flows {
		var b [flowSize]byte
		putFlow(b[:], f)
		buf = append(buf, b[:]...)
	}
	return buf
}

// AppendSectionSearched appends a SectionSearched datagram to buf.
func AppendSectionSearched(buf []byte, m SectionSearched) []byte {
	var b [searchedSize]byte
	b[0], b[1] = magic, kindSearched
	putFlow(b[2:], m.Flow)
	b[2+flowSize], b[3+flowSize] = m.Index, m.Attempt
	if m.Inconclusive {
		b[4+flowSize] = 1
	}
	return append(buf, b[:]...)
}

// AppendInvite appends an invitation to report to a control VM to buf. control is the RPC address of the control VM.
func AppendInvite(buf []byte, control Endpoint) []byte {
	var b [inviteSize]byte
	b[0], b[1] = magic, kindInvite
	putEndpoint(b[2:], control)
	return append(buf, b[:]...)
}

// AppendProbe appends a probe to buf. entry is the tunnel address to which the reply goes.
func AppendProbe(buf []byte, entry Endpoint) []byte {
	var b [probeSize]byte
	b[0], b[1] = magic, kindProbe
	putEndpoint(b[2:], entry)
	return append(buf, b[:]...)
}

// AppendProbeReply appends the reply to a probe to buf.
func AppendProbeReply(buf []byte) []byte { return append(buf, magic, kindProbeReply) }

// AppendStopping appends to buf a notice that the sender's process is stopping.
func AppendStopping(buf []byte) []byte { return append(buf, magic, kindStopping) }

// Datagram is a decoded datagram between nodes. Exactly one of its fields is set, besides Packet.
type Datagram struct {
	Forward     *Forward
	FlowHeld    *FlowHeld
	FlowNotHeld *Flow     // the sender's upstream does not hold the flow
	Invite      *Endpoint // RPC address of a control VM that has started
	Probe       *Endpoint // tunnel address of the probing entry
	ProbeReply  bool      // reply to a probe
	Stopping    bool      // the process of the sending agent is stopping
	Located     *FlowLocated
	Registered  []Flow // flows that the sender's upstream holds
	Searched    *SectionSearched
	Packet      []byte // packet after a Forward header; refers to the input
}

// IsInternal reports whether b is a datagram between nodes. Packets of callers never start with the magic byte, because
// they carry zeros there.
func IsInternal(b []byte) bool { return len(b) >= 2 && b[0] == magic }

// Decode decodes a datagram between nodes.
func Decode(b []byte) (Datagram, error) {
	if !IsInternal(b) {
		return Datagram{}, ErrMalformed
	}
	switch b[1] {
	case kindForward:
		return decodeForward(b)
	case kindFlowHeld:
		if len(b) != flowHeldSize {
			return Datagram{}, ErrMalformed
		}
		return Datagram{FlowHeld: &FlowHeld{
			Flow:  getFlow(b[2:]),
			Flows: binary.BigEndian.Uint16(b[14:]),
		}}, nil
	case kindFlowNotHeld:
		if len(b) != flowNotHeldSize {
			return Datagram{}, ErrMalformed
		}
		f := getFlow(b[2:])
		return Datagram{FlowNotHeld: &f}, nil
	case kindInvite:
		if len(b) != inviteSize {
			return Datagram{}, ErrMalformed
		}
		e := getEndpoint(b[2:])
		return Datagram{Invite: &e}, nil
	case kindLocated, kindRegister, kindSearched:
		return decodeDirectory(b)
	}
	return decodeProbes(b)
}

func decodeDirectory(b []byte) (Datagram, error) {
	content := b[2:]
	switch {
	case b[1] == kindLocated && len(b) == locatedSize:
		return Datagram{Located: &FlowLocated{Flow: getFlow(content), Holder: getEndpoint(content[flowSize:])}}, nil
	case b[1] == kindSearched && len(b) == searchedSize && content[flowSize] < maxSections && content[flowSize+2] <= 1:
		return Datagram{Searched: &SectionSearched{
			Flow: getFlow(content), Index: content[flowSize], Attempt: content[flowSize+1], Inconclusive: content[flowSize+2] == 1,
		}}, nil
	case b[1] == kindRegister && len(content) > 0 && len(content)%flowSize == 0 && len(content) <= maxRegistrationFlows*flowSize:
		flows := make([]Flow, 0, len(content)/flowSize)
		for part := range slices.Chunk(content, flowSize) {
			flows = append(flows, getFlow(part))
		}
		return Datagram{Registered: flows}, nil
	}
	return Datagram{}, ErrMalformed
}

func decodeProbes(b []byte) (Datagram, error) {
	switch {
	case b[1] == kindProbe && len(b) == probeSize:
		e := getEndpoint(b[2:])
		return Datagram{Probe: &e}, nil
	case b[1] == kindProbeReply && len(b) == emptySize:
		return Datagram{ProbeReply: true}, nil
	case b[1] == kindStopping && len(b) == emptySize:
		return Datagram{Stopping: true}, nil
	}
	return Datagram{}, ErrMalformed
}

func decodeForward(b []byte) (Datagram, error) {
	if len(b) < forwardFixedSize {
		return Datagram{}, ErrMalformed
	}
	n := int(binary.BigEndian.Uint16(b[21:]))
	flags, rest := b[20], b[forwardFixedSize:]
	var section Section
	if flags&flagSection != 0 {
		if len(rest) < sectionSize || rest[0] == 0 || rest[0] > maxSections || rest[1] >= rest[0] {
			return Datagram{}, ErrMalformed
		}
		section = Section{Count: rest[0], Index: rest[1], Attempt: rest[2], Start: getEndpoint(rest[3:])}
		rest = rest[sectionSize:]
	}
	if flags&^allForwardFlags != 0 || n > MaxVisited || len(rest) < n*endpointSize {
		return Datagram{}, ErrMalformed
	}
	h := &Forward{
		Entry:        getEndpoint(b[2:]),
		Version:      binary.BigEndian.Uint64(b[8:]),
		Service:      binary.BigEndian.Uint32(b[16:]),
		NoRelay:      flags&flagNoRelay != 0,
		Inconclusive: flags&flagInconclusive != 0,
		Lookup:       flags&flagLookup != 0,
		Located:      flags&flagLocated != 0,
		Section:      section,
	}
	for range n {
		h.Visited = append(h.Visited, getEndpoint(rest))
		rest = rest[endpointSize:]
	}
	return Datagram{Forward: h, Packet: rest}, nil
}
