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
	"github.com/plantainseam/plantainseam/standin/lossy"
	"github.com/plantainseam/plantainseam/standin/upstream"
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

// node is one gate with its upstream, its RPC server and its account.
type node struct {
	gate     *gate.Gate
	upstream *upstream.Server
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
	peers   *lossy.Transport // between gates
	service *model.Service
	config  func(*request.Config)
}

func newCluster(hosts int, seed uint64, behave func(*http.Request, string) upstream.Behaviour, config func(*request.Config)) *cluster {
	c := &cluster{
		nodes:   map[model.HostID]*node{},
		log:     newLog(seed),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		service: &model.Service{ID: serviceID, Name: "sample-book", Kind: model.KindRequest, QueueLimit: 64},
		config:  config,
	}
	c.peers = lossy.New(c.client.Transport, seed)
	c.control = httptest.NewServer(bindpb.NewBindingsServer(binding.NewServer(c.log)))
	for i := range hosts {
		host := model.HostID(fmt.Sprintf("host-%d", i))
		c.service.Members = append(c.service.Members, model.Member{Host: host, State: model.UpstreamActive})
	}
	for _, member := range c.service.Members {
		c.start(model.HostRef{Host: member.Host, Incarnation: 1}, upstream.New(behave))
	}
	return c
}

// start adds a node. The upstream process outlives the agent, as it does on a VM.
func (c *cluster) start(ref model.HostRef, u *upstream.Server) *node {
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
	return gatepb.NewGateProtobufClient(n.rpc.URL, &http.Client{Transport: c.peers}), true
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
		n += node.upstream.Runs(body)
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

func plain(*http.Request, string) upstream.Behaviour { return upstream.Behaviour{} }

func withCluster(t testing.TB, hosts int, behave func(*http.Request, string) upstream.Behaviour) *cluster {
	c := newCluster(hosts, 1, behave, nil)
	t.Cleanup(c.close)
	return c
}
