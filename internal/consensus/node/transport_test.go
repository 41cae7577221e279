package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
)

// pair is two members connected by the Transport under test.
type pair struct {
	from, to node.Transport
	receiver consensus.Member
	restart  func() // replaces the receiver by a new process at the same address
}

func memoryPair(*testing.T) *pair {
	n := newNetwork()
	p := &pair{from: memoryTransport{n, "a"}, to: memoryTransport{n, "b"}, receiver: consensus.Member{ID: "b"}}
	p.restart = func() { delete(n.handlers, "b") }
	return p
}

// generousTimeout is a call timeout and order wait that calls do not exceed even on a busy machine.
const generousTimeout = 10 * time.Second

func twirpPair(t *testing.T) *pair {
	server := serve(t, "b", "127.0.0.1:0", generousTimeout)
	from := node.NewTwirp(node.TwirpConfig{ID: "a", CallTimeout: generousTimeout})
	t.Cleanup(from.Close)
	p := &pair{from: from, to: server.transport, receiver: consensus.Member{ID: "b", Address: server.address}}
	p.restart = func() {
		server.stop()
		server = serve(t, "b", server.address, 0)
		p.to = server.transport
	}
	return p
}

// server is a Twirp transport that accepts calls on a loopback address.
type server struct {
	transport *node.Twirp
	address   string
	stop      func()
}

func serve(t testing.TB, id consensus.MemberID, address string, orderWait time.Duration) *server {
	listener, err := net.Listen("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	address = listener.Addr().String()
	tr := node.NewTwirp(node.TwirpConfig{ID: id, Address: address, OrderWait: orderWait})
	h := &http.Server{Handler: tr.Handler()}
	go func() { _ = h.Serve(listener) }()
	stop := func() {
		_ = h.Close()
		_ = listener.Close() // h.Close does not close it if Serve has not begun
		tr.Close()
	}
	t.Cleanup(stop)
	return &server{transport: tr, address: address, stop: stop}
}

// inbox collects received messages.
type inbox struct {
	mu       sync.Mutex
	messages []consensus.Message
}

func (i *inbox) receive(_ context.Context, m []consensus.Message) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.messages = append(i.messages, m...)
	return nil
}

func (i *inbox) all() []consensus.Message {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]consensus.Message(nil), i.messages...)
}

// messageWithAllFields is a message in which every field is set.
func messageWithAllFields(n uint64) consensus.Message {
	members := consensus.Membership{Members: []consensus.Member{{ID: "a", Name: "n", Address: "127.0.0.1:1", Learner: true}}}
	return consensus.Message{
		Kind: consensus.MsgAppend, From: "a", To: "b", Term: 1, Index: n, LogTerm: 2, Commit: 3,
		Entries: []consensus.Entry{
			{Index: 4, Term: 5, Time: 6, Kind: consensus.EntryCommand, Command: []byte("x")},
			{Index: 5, Term: 5, Time: 6, Kind: consensus.EntryMembership, Membership: &members},
		},
		Reject: true, Hint: 7, Round: 8, Read: consensus.ReadID{Incarnation: 9, Sequence: 10}, Transfer: true,
		Chunk: &consensus.SnapshotChunk{Index: 1, Term: 2, Time: 3, Membership: members, Offset: 4, Total: 5, Data: []byte("y")},
	}
}

// transportContract lists the requirements on every Transport.
var transportContract = []struct {
	name string
	run  func(g *WithT, p *pair)
}{
	{"messages arrive whole, in order, and in their log only", func(g *WithT, p *pair) {
		var catalog, bindings inbox
		p.to.Register("catalog", catalog.receive)
		p.to.Register("bindings", bindings.receive)
		var want []consensus.Message
		for i := range uint64(20) {
			want = append(want, messageWithAllFields(i))
			p.from.Send("catalog", p.receiver, []consensus.Message{messageWithAllFields(i)})
		}
		g.Eventually(func() int { return len(catalog.all()) }, "10s").Should(Equal(len(want)))
		got := catalog.all()
		for i := range got {
			g.Expect(got[i].Entries[1].Command).To(BeEmpty())
			got[i].Entries[1].Command = nil
		}
		g.Expect(got).To(Equal(want))
		g.Expect(bindings.all()).To(BeEmpty())
	}},
	{"sending without a receiver does not block, and a restarted receiver is reached", func(g *WithT, p *pair) {
		for i := range uint64(200) {
			p.from.Send("catalog", p.receiver, []consensus.Message{messageWithAllFields(i)})
		}
		p.restart()
		var got inbox
		p.to.Register("catalog", got.receive)
		g.Eventually(func() int {
			p.from.Send("catalog", p.receiver, []consensus.Message{messageWithAllFields(1)})
			return len(got.all())
		}, "10s").Should(BeNumerically(">", 0))
	}},
}

func TestTransportContract(t *testing.T) {
	for kind, newPair := range map[string]func(*testing.T) *pair{"memory": memoryPair, "twirp": twirpPair} {
		for _, c := range transportContract {
			t.Run(kind+"/"+c.name, func(t *testing.T) { c.run(NewWithT(t), newPair(t)) })
		}
	}
}

// Messages must not reach a member with another identity at the same address, as after the replacement of a VM.
func TestTwirpRefusesOtherIdentity(t *testing.T) {
	g := NewWithT(t)
	p := twirpPair(t)
	var got inbox
	p.to.Register("catalog", got.receive)
	other := consensus.Member{ID: "b-before", Address: p.receiver.Address}
	p.from.Send("catalog", other, []consensus.Message{messageWithAllFields(1)})
	p.from.Send("catalog", p.receiver, []consensus.Message{messageWithAllFields(2)})
	g.Eventually(func() int { return len(got.all()) }, "10s").Should(Equal(1))
	g.Consistently(func() int { return len(got.all()) }, "100ms").Should(Equal(1))
	g.Expect(got.all()[0].Index).To(Equal(uint64(2)))
}

// relay forwards TCP connections until stall is called: the connections that are open then stay open but carry no more
// data, while new ones work.
type relay struct {
	mu      sync.Mutex
	stalled chan struct{} // closed when the connections that are open now stall
}

func (r *relay) generation() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}

func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stalled)
	r.stalled = make(chan struct{})
}

func (r *relay) serve(listener net.Listener, target string) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		stalled := r.generation()
		go r.copy(out, in, stalled)
		go r.copy(in, out, stalled)
	}
}

func (r *relay) copy(to io.Writer, from io.Reader, stalled chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-stalled: // drops the data
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}

// The transport must dial again when a connection stalls for good while new ones work.
func TestTwirpRedialsSilentConnection(t *testing.T) {
	g := NewWithT(t)
	p := twirpPair(t)
	var got inbox
	p.to.Register("catalog", got.receive)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	r := &relay{stalled: make(chan struct{})}
	go r.serve(listener, p.receiver.Address)
	p.receiver.Address = listener.Addr().String()
	from := node.NewTwirp(node.TwirpConfig{ID: "a"}) // with the default call timeout
	defer from.Close()

	reach := func(n int) {
		g.Eventually(func() int {
			from.Send("catalog", p.receiver, []consensus.Message{messageWithAllFields(1)})
			return len(got.all())
		}, "20s", "20ms").Should(BeNumerically(">", n))
	}
	reach(0)
	r.stall()
	reach(len(got.all()) + 1)
}
