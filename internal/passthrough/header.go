package passthrough

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

// Datagrams between nodes start with a magic byte and a kind.
const (
	magic       = 0xB7
	kindForward = 1 // a caller's packet follows the header
	kindHolds   = 2 // the sender's upstream answered a packet of the flow
	kindMisses  = 3 // the sender's upstream returned a packet of the flow
	kindInvite  = 4 // a control VM has started
	kindProbe   = 5 // an entry asks whether an agent is alive
	kindAlive   = 6 // the answer
	kindStops   = 7 // the process of an agent stops
)

// MaxVisited bounds the agents that one packet visits, and so the header (6 KB). In a larger deployment a search from agent
// to agent does not reach everybody: an entry that gets no answer asks the others itself, and no caller is told on the word
// of such a search that its flow is gone.
const MaxVisited = 1024

// MaxHeader is the length of the longest header in bytes.
const MaxHeader = forwardFixed + MaxVisited*endpointSize

// Forward is the header of a packet on its way to an upstream.
type Forward struct {
	Entry   Endpoint // tunnel address of the entry that received the packet
	Version uint64   // declaration by which the entry chose the service
	Service uint32   // ServiceTag of the chosen service; only for packets that open a flow
	Only    bool     // the packet was sent to several agents at once; none passes it on
	Unsure  bool     // a visited agent could not tell whether its upstream holds the flow
	Visited []Endpoint
}

// ServiceTag returns the short form of a service name in headers.
func ServiceTag(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Holds tells an entry which agent has the upstream of a flow, and how many flows that holds.
type Holds struct {
	Flow  Flow
	Flows uint16
}

// Flags of a Forward.
const (
	flagOnly   = 1
	flagUnsure = 2
)

const (
	forwardFixed = 2 + 6 + 8 + 4 + 1 + 2
	endpointSize = 6
	flowSize     = 12
	holdsSize    = 2 + flowSize + 2
	missesSize   = 2 + flowSize
	inviteSize   = 2 + endpointSize
	probeSize    = 2 + endpointSize
	wordSize     = 2 // of the kinds without content
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
	var fixed [forwardFixed]byte
	fixed[0], fixed[1] = magic, kindForward
	putEndpoint(fixed[2:], h.Entry)
	binary.BigEndian.PutUint64(fixed[8:], h.Version)
	binary.BigEndian.PutUint32(fixed[16:], h.Service)
	if h.Only {
		fixed[20] |= flagOnly
	}
	if h.Unsure {
		fixed[20] |= flagUnsure
	}
	binary.BigEndian.PutUint16(fixed[21:], uint16(len(h.Visited)))
	buf = append(buf, fixed[:]...)
	for _, v := range h.Visited {
		var e [endpointSize]byte
		putEndpoint(e[:], v)
		buf = append(buf, e[:]...)
	}
	return append(buf, packet...)
}

// AppendHolds appends the datagram to buf.
func AppendHolds(buf []byte, h Holds) []byte {
	var b [holdsSize]byte
	b[0], b[1] = magic, kindHolds
	putFlow(b[2:], h.Flow)
	binary.BigEndian.PutUint16(b[14:], h.Flows)
	return append(buf, b[:]...)
}

// AppendMisses appends the datagram to buf.
func AppendMisses(buf []byte, f Flow) []byte {
	var b [missesSize]byte
	b[0], b[1] = magic, kindMisses
	putFlow(b[2:], f)
	return append(buf, b[:]...)
}

// AppendInvite appends the datagram to buf. control is the RPC address of a control VM.
func AppendInvite(buf []byte, control Endpoint) []byte {
	var b [inviteSize]byte
	b[0], b[1] = magic, kindInvite
	putEndpoint(b[2:], control)
	return append(buf, b[:]...)
}

// AppendProbe appends the datagram to buf. entry is the tunnel address that the answer goes to.
func AppendProbe(buf []byte, entry Endpoint) []byte {
	var b [probeSize]byte
	b[0], b[1] = magic, kindProbe
	putEndpoint(b[2:], entry)
	return append(buf, b[:]...)
}

// AppendAlive appends the answer to a probe to buf.
func AppendAlive(buf []byte) []byte { return append(buf, magic, kindAlive) }

// AppendStops appends the word that the sender's process stops to buf.
func AppendStops(buf []byte) []byte { return append(buf, magic, kindStops) }

// Datagram is a decoded datagram between nodes. Exactly one of the pointers, Alive and Stops is set.
type Datagram struct {
	Forward *Forward
	Holds   *Holds
	Misses  *Flow     // the sender's upstream does not hold the flow
	Invite  *Endpoint // RPC address of a control VM that has started
	Probe   *Endpoint // tunnel address of the entry that asks
	Alive   bool      // answer to a probe
	Stops   bool      // the process of the sending agent stops
	Packet  []byte    // of a Forward; refers to the input
}

// IsInternal reports whether the datagram is one between nodes. Packets of callers never start with the magic byte,
// because they carry zeros there.
func IsInternal(b []byte) bool { return len(b) >= 2 && b[0] == magic }

// Decode decodes a datagram between nodes.
func Decode(b []byte) (Datagram, error) {
	if !IsInternal(b) {
		return Datagram{}, ErrMalformed
	}
	switch b[1] {
	case kindForward:
		return decodeForward(b)
	case kindHolds:
		if len(b) != holdsSize {
			return Datagram{}, ErrMalformed
		}
		return Datagram{Holds: &Holds{
			Flow:  getFlow(b[2:]),
			Flows: binary.BigEndian.Uint16(b[14:]),
		}}, nil
	case kindMisses:
		if len(b) != missesSize {
			return Datagram{}, ErrMalformed
		}
		f := getFlow(b[2:])
		return Datagram{Misses: &f}, nil
	case kindInvite:
		if len(b) != inviteSize {
			return Datagram{}, ErrMalformed
		}
		e := getEndpoint(b[2:])
		return Datagram{Invite: &e}, nil
	}
	return decodeProbes(b)
}

func decodeProbes(b []byte) (Datagram, error) {
	switch {
	case b[1] == kindProbe && len(b) == probeSize:
		e := getEndpoint(b[2:])
		return Datagram{Probe: &e}, nil
	case b[1] == kindAlive && len(b) == wordSize:
		return Datagram{Alive: true}, nil
	case b[1] == kindStops && len(b) == wordSize:
		return Datagram{Stops: true}, nil
	}
	return Datagram{}, ErrMalformed
}

func decodeForward(b []byte) (Datagram, error) {
	if len(b) < forwardFixed {
		return Datagram{}, ErrMalformed
	}
	n := int(binary.BigEndian.Uint16(b[21:]))
	if b[20] > flagOnly|flagUnsure || n > MaxVisited || len(b) < forwardFixed+n*endpointSize {
		return Datagram{}, ErrMalformed
	}
	h := &Forward{
		Entry:   getEndpoint(b[2:]),
		Version: binary.BigEndian.Uint64(b[8:]),
		Service: binary.BigEndian.Uint32(b[16:]),
		Only:    b[20]&flagOnly != 0,
		Unsure:  b[20]&flagUnsure != 0,
	}
	rest := b[forwardFixed:]
	for range n {
		h.Visited = append(h.Visited, getEndpoint(rest))
		rest = rest[endpointSize:]
	}
	return Datagram{Forward: h, Packet: rest}, nil
}
