package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
	"github.com/plantainseam/plantainseam/standin/bindlog"
	"github.com/plantainseam/plantainseam/standin/httpcall"
	"github.com/plantainseam/plantainseam/standin/lossy"
	"github.com/plantainseam/plantainseam/standin/upstream"
)

const serviceID model.ServiceID = 7

// node is one gate with its upstream, its RPC server and its account.
type node struct {
	gate     *gate.Gate
	upstream *upstream.Server
	rpc      *httptest.Server
	account  *account.Counter
	ref      model.HostRef
}

// cluster holds nodes and one `bindings` log, which call each other through twirp servers.
type cluster struct {
	mu      sync.Mutex
	nodes   map[model.HostID]*node
	log     *bindlog.Log
	control *httptest.Server
	client  *http.Client
	peers   *lossy.Transport // carries the calls between gates
	service *model.Service
	config  func(*request.Config)
}

func newCluster(hosts int, seed uint64, behave func(*http.Request, string) upstream.Behaviour, config func(*request.Config)) *cluster {
	c := &cluster{
		nodes:   map[model.HostID]*node{},
		log:     bindlog.New(binding.NewTable(0), time.Now),
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

// send makes one request on a new connection.
func (c *cluster) send(ctx context.Context, host model.HostID, method, key, body string, header ...string) httpcall.Reply {
	client, server, err := httpcall.Pair()
	if err != nil {
		return httpcall.Reply{Err: err}
	}
	from := netip.MustParseAddrPort(client.LocalAddr().String())
	c.node(host).gate.Serve(c.service, model.FlowKey{Service: serviceID, Caller: from}, server)
	return httpcall.Send(ctx, client, method, body, append(header, gate.HeaderKey, key)...)
}

// noQuorum and withQuorum make the log fail every proposal for lack of a quorum, or accept all.
func noQuorum(int) (before, after error)   { return result.Errorf(result.NoQuorum, "no quorum"), nil }
func withQuorum(int) (before, after error) { return nil, nil }

// TestMain raises the Eventually timeout to one minute, so that tests do not fail on a busy machine.
func TestMain(m *testing.M) {
	gomega.SetDefaultEventuallyTimeout(time.Minute)
	os.Exit(m.Run())
}

func plain(*http.Request, string) upstream.Behaviour { return upstream.Behaviour{} }

func withCluster(t testing.TB, hosts int, behave func(*http.Request, string) upstream.Behaviour) *cluster {
	c := newCluster(hosts, 1, behave, nil)
	t.Cleanup(c.close)
	return c
}
