package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
)

const serviceID model.ServiceID = 7

// log is a Proposer over one Table that loses commands before and answers after they are applied.
type log struct {
	mu     sync.Mutex
	table  *binding.Table
	index  uint64
	random *rand.Rand
	lose   float64 // share of proposals that fail
	down   bool
	leader string
}

func newLog(seed uint64) *log {
	return &log{table: binding.NewTable(0), random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *log) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return nil, result.Errorf(result.NotLeader, "leader is %s", l.leader)
	}
	if l.down || l.random.Float64() < l.lose/2 {
		return nil, result.Errorf(result.ProposalLost, "lost before it was applied")
	}
	l.index++
	out := l.table.Apply(l.index, time.Now(), command)
	if l.random.Float64() < l.lose/2 {
		return nil, result.Errorf(result.ProposalLost, "lost after it was applied")
	}
	return out, nil
}

func (l *log) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

func (l *log) set(f func(*log)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// upstream records what it ran. behave returns how to answer one request.
type upstream struct {
	*httptest.Server
	mu     sync.Mutex
	ran    map[string]int // by the body of the request
	behave func(r *http.Request, body string) behaviour
}

type behaviour struct {
	shed  bool          // do not run; declare it
	delay time.Duration // before running
	cut   bool          // run, and end the answer early
	crash bool          // run, and close the connection without an answer
	size  int           // of the answer in bytes; 0 for a short text
}

func newUpstream(behave func(*http.Request, string) behaviour) *upstream {
	u := &upstream{ran: map[string]int{}, behave: behave}
	u.Server = httptest.NewServer(http.HandlerFunc(u.serve))
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	body := string(data)
	b := u.behave(r, body)
	if b.shed {
		w.Header().Set(gate.HeaderResult, "3005 request-shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.delay > 0 {
		time.Sleep(b.delay)
	}
	u.mu.Lock()
	u.ran[body]++
	u.mu.Unlock()
	text := "ran " + body
	if b.size > 0 {
		text = strings.Repeat("x", b.size)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if b.crash {
		panic(http.ErrAbortHandler)
	}
	if b.cut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (u *upstream) runs(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[body]
}

// node is one gate with its upstream, its RPC server and its account.
type node struct {
	gate     *gate.Gate
	upstream *upstream
	rpc      *httptest.Server
	account  *account.Counter
	ref      model.HostRef
}

// cluster is a few nodes with one log behind real twirp servers.
type cluster struct {
	mu      sync.Mutex
	nodes   map[model.HostID]*node
	log     *log
	control *httptest.Server
	client  *http.Client
	service *model.Service
	config  func(*request.Config)
}

func newCluster(hosts int, seed uint64, behave func(*http.Request, string) behaviour, config func(*request.Config)) *cluster {
	c := &cluster{
		nodes:   map[model.HostID]*node{},
		log:     newLog(seed),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		service: &model.Service{ID: serviceID, Name: "sample-book", Kind: model.KindRequest, QueueLimit: 64},
		config:  config,
	}
	c.control = httptest.NewServer(bindpb.NewBindingsServer(binding.NewServer(c.log)))
	for i := range hosts {
		host := model.HostID(fmt.Sprintf("host-%d", i))
		c.service.Members = append(c.service.Members, model.Member{Host: host, State: model.UpstreamActive})
	}
	for _, member := range c.service.Members {
		c.start(model.HostRef{Host: member.Host, Incarnation: 1}, newUpstream(behave))
	}
	return c
}

// start adds a node. The upstream process outlives the agent, as it does on a VM.
func (c *cluster) start(ref model.HostRef, u *upstream) *node {
	cfg := request.DefaultConfig(ref)
	if c.config != nil {
		c.config(&cfg)
	}
	n := &node{upstream: u, ref: ref, account: account.NewCounter(0)}
	addr := strings.TrimPrefix(u.URL, "http://")
	control := strings.TrimPrefix(c.control.URL, "http://")
	n.gate = gate.New(gate.Config{
		Self:     ref,
		Machine:  cfg,
		Binder:   binding.NewClient(func() []string { return []string{control} }, "http", c.client),
		Upstream: gate.NewHTTPUpstream(func(model.ServiceID) (string, bool) { return addr, true }),
		Peers:    c.peer,
		Account:  n.account,
	})
	n.rpc = httptest.NewServer(gatepb.NewGateServer(n.gate.RPC()))
	snapshot := model.NewSnapshot()
	snapshot.Services[serviceID] = c.service
	n.gate.Apply(snapshot)
	c.mu.Lock()
	c.nodes[ref.Host] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) peer(host model.HostID) (gatepb.Gate, bool) {
	n := c.node(host)
	if n == nil {
		return nil, false
	}
	return gatepb.NewGateProtobufClient(n.rpc.URL, c.client), true
}

func (c *cluster) node(host model.HostID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[host]
}

// restart ends an agent at once and starts its next incarnation beside the same upstream.
func (c *cluster) restart(host model.HostID) {
	old := c.node(host)
	old.rpc.CloseClientConnections()
	old.gate.Close()
	go old.rpc.Close()
	c.start(model.HostRef{Host: host, Incarnation: old.ref.Incarnation + 1}, old.upstream)
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.gate.Close()
		n.rpc.Close()
		n.upstream.Close()
	}
	c.control.Close()
	c.client.CloseIdleConnections()
}

// runs counts the runs of a body over all upstreams.
func (c *cluster) runs(body string) int {
	n := 0
	for _, node := range c.nodes {
		n += node.upstream.runs(body)
	}
	return n
}

// reply is what a caller saw. err is set when the answer did not arrive whole.
type reply struct {
	status int
	code   string
	body   string
	err    error
}

// send makes one request on a connection of its own.
func (c *cluster) send(ctx context.Context, host model.HostID, method, key, body string, header ...string) reply {
	client, server := tcpPair()
	n := c.node(host)
	caller := netip.MustParseAddrPort(client.LocalAddr().String())
	n.gate.Serve(c.service, model.FlowKey{Service: serviceID, Caller: caller}, server)
	stop := context.AfterFunc(ctx, func() { _ = client.Close() })
	defer stop()
	defer client.Close()
	req, err := http.NewRequestWithContext(ctx, method, "http://service/match", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		req.Header.Set(gate.HeaderKey, key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if err := req.Write(client); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	code, _, _ := strings.Cut(resp.Header.Get(gate.HeaderResult), " ")
	return reply{resp.StatusCode, code, string(data), err}
}

func tcpPair() (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := l.Accept()
		accepted <- conn
	}()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	return client, <-accepted
}

func plain(*http.Request, string) behaviour { return behaviour{} }

func withCluster(t testing.TB, hosts int, behave func(*http.Request, string) behaviour) *cluster {
	c := newCluster(hosts, 1, behave, nil)
	t.Cleanup(c.close)
	return c
}
