package dissemination_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// sized returns a snapshot at revision 1 with the given numbers of objects.
func sized(services, upstreams, entries int) *model.Snapshot {
	s := model.NewSnapshot()
	s.Revision = 1
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6081)
	}
	for i := range upstreams {
		host := model.HostID(fmt.Sprintf("host-%05d", i))
		s.Upstreams[host] = &model.Upstream{
			Ref: model.HostRef{Host: host, Incarnation: 1}, FailureDomain: "luimneach-a", Tunnel: addr(i), RPC: addr(i), Slots: 3, MaxConnections: 2000,
		}
	}
	for i := range entries {
		host := model.HostID(fmt.Sprintf("entry-%05d", i))
		s.Entries[host] = &model.Entry{Ref: model.HostRef{Host: host, Incarnation: 1}, FailureDomain: "sligeach-a", Tunnel: addr(i), RPC: addr(i)}
	}
	for i := 1; i <= services; i++ {
		svc := &model.Service{
			ID: model.ServiceID(i), Name: fmt.Sprintf("service-%04d", i), Frontend: addr(i), Kind: model.KindRequest, Seed: uint64(i), Generation: 1, QueueLimit: 64,
		}
		for j := range min(7, upstreams) {
			host := model.HostID(fmt.Sprintf("host-%05d", (i*7+j)%upstreams))
			svc.Members = append(svc.Members, model.Member{Host: host, State: model.UpstreamActive})
		}
		s.Services[svc.ID] = svc
	}
	return s
}

// change returns the next revision, with another state of one member of one service.
func change(s *model.Snapshot) *model.Snapshot {
	next := s.Clone()
	next.Revision++
	id := model.ServiceID(uint64(next.Revision)%uint64(len(s.Services)) + 1)
	svc := *s.Services[id]
	svc.Members = append([]model.Member(nil), svc.Members...)
	svc.Members[0].State = 3 - svc.Members[0].State // active to draining and back
	svc.Generation = next.Revision
	next.Services[id] = &svc
	return next
}

// Guards against a delta or snapshot that leads to another content than the server's, for callers at any distance.
func TestCatchUpGivesTheServersContent(t *testing.T) {
	for _, missed := range []int{0, 1, 10, 300, dissemination.MaxDeltas, dissemination.MaxDeltas + 5} {
		t.Run(fmt.Sprint(missed), func(t *testing.T) {
			g := NewWithT(t)
			server := dissemination.NewDeltaLog()
			s := sized(5, 20, 3)
			g.Expect(server.Publish(s)).To(Succeed())
			caller, digest := server.Current()
			for i := range missed {
				s = change(s)
				if i%7 == 3 {
					delete(s.Entries, "entry-00001")
				}
				g.Expect(server.Publish(s)).To(Succeed())
			}
			res := server.Answer(caller.Revision, digest)
			g.Expect(res.Snapshot != nil).To(Equal(missed > dissemination.MaxDeltas))
			next, err := dissemination.Next(caller, res)
			g.Expect(err).NotTo(HaveOccurred())
			if missed == 0 {
				g.Expect(next).To(BeNil())
				return
			}
			g.Expect(next).To(Equal(s))
		})
	}
}

// Guards against a configuration that is installed although it is older, damaged, or made for another base.
func TestNextRefuses(t *testing.T) {
	server := dissemination.NewDeltaLog()
	first := sized(3, 9, 2)
	server.Publish(first)
	_, digest := server.Current()
	second := change(first)
	server.Publish(second)
	delta := func() *configpb.FetchResponse { return server.Answer(1, digest) }
	for name, c := range map[string]struct {
		current *model.Snapshot
		res     func() *configpb.FetchResponse
		code    result.Code
	}{
		"older revision": {change(second), delta, result.RevisionOld},
		"other base":     {change(sized(1, 9, 2)), func() *configpb.FetchResponse { r := delta(); r.Revision = 9; return r }, result.RevisionDigest},
		"changed member": {first, func() *configpb.FetchResponse { r := delta(); r.Delta.Services[0].Seed++; return r }, result.RevisionDigest},
		"lost object":    {first, func() *configpb.FetchResponse { r := delta(); r.Delta.Services = nil; return r }, result.RevisionDigest},
		"other revision": {first, func() *configpb.FetchResponse { r := delta(); r.Delta.To++; return r }, result.RevisionDigest},
		"no digest":      {first, func() *configpb.FetchResponse { r := delta(); r.Digest = nil; return r }, result.RevisionDigest},
		"bad address":    {first, func() *configpb.FetchResponse { r := delta(); r.Delta.Services[0].Frontend = "x"; return r }, result.RevisionDigest},
		"unchanged":      {first, delta, result.OK},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := dissemination.Next(c.current, c.res())
			g.Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
		})
	}
}

// Guards against a server that goes back, and a caller with another content that gets a delta instead of a repair.
func TestServerSide(t *testing.T) {
	g := NewWithT(t)
	server := dissemination.NewDeltaLog()
	s := change(sized(3, 9, 2))
	g.Expect(server.Publish(s)).To(Succeed())
	g.Expect(result.CodeOf(server.Publish(sized(3, 9, 2)))).To(Equal(result.RevisionOld))
	g.Expect(result.CodeOf(server.Publish(s))).To(Equal(result.RevisionOld))
	g.Expect(server.Answer(2, []byte("otherwise")).Snapshot).NotTo(BeNil())
	ahead := server.Answer(7, nil)
	g.Expect(ahead.Snapshot == nil && ahead.Delta == nil && ahead.Revision == 7).To(BeTrue())
}

// Guards against a damaged or cut file that is taken as valid, and a stored revision that does not come back.
func TestFile(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	empty, err := dissemination.Load(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(empty.Revision).To(BeZero())
	s := sized(3, 9, 2)
	s.Keys = model.KeyRing{Active: 2, Accepted: []uint32{1, 2}}
	g.Expect(dissemination.Save(dir, s)).To(Succeed())
	loaded, err := dissemination.Load(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded).To(Equal(s))
	path := filepath.Join(dir, dissemination.FileName)
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{nil, raw[:4], raw[:len(raw)-1], append([]byte("X"), raw[1:]...), append(raw[:40:40], append([]byte{raw[40] ^ 1}, raw[41:]...)...)} {
		g.Expect(os.WriteFile(path, damaged, 0o600)).To(Succeed())
		_, err := dissemination.NewClient(dissemination.ClientConfig{DataDir: dir})
		g.Expect(result.CodeOf(err)).To(Equal(result.StoreCorrupt))
	}
}

// startClient runs a client and returns the snapshots that it applies.
func startClient(t *testing.T, cfg dissemination.ClientConfig) (<-chan *model.Snapshot, context.CancelFunc) {
	applied := make(chan *model.Snapshot, 1024)
	cfg.OnApply = func(s *model.Snapshot) { applied <- s }
	cfg.Silence, cfg.Retry, cfg.Pace = 50*time.Millisecond, time.Millisecond, time.Millisecond
	c, err := dissemination.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return applied, cancel
}

func serve(t *testing.T, s configpb.Configuration) string {
	web := httptest.NewServer(configpb.NewConfigurationServer(s))
	t.Cleanup(func() { web.CloseClientConnections(); web.Close() })
	return web.URL
}

// Guards against a process that cannot catch up while no control VM answers although a near peer has newer revisions, and
// that goes back to an older one because of a peer.
func TestClientCatchesUpFromNearPeers(t *testing.T) {
	g := NewWithT(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	dir := t.TempDir()
	first := sized(3, 9, 2)
	stored := change(first)
	g.Expect(dissemination.Save(dir, stored)).To(Succeed())
	older, newer := dissemination.NewServer(), dissemination.NewServer()
	g.Expect(older.Publish(first)).To(Succeed())
	next := stored
	for range 5 {
		next = change(next)
	}
	g.Expect(newer.Publish(next)).To(Succeed())
	peers := []string{serve(t, older), serve(t, newer)}
	applied, _ := startClient(t, dissemination.ClientConfig{
		Host: "e1", Servers: []string{gone.URL, gone.URL}, DataDir: dir, Wait: time.Millisecond,
		Near: func(*model.Snapshot) []string { return peers },
	})
	var got *model.Snapshot
	g.Eventually(applied, time.Minute).Should(Receive(&got))
	g.Expect(got.Revision).To(Equal(stored.Revision))
	g.Eventually(applied, time.Minute).Should(Receive(&got))
	g.Expect(got.Revision).To(Equal(next.Revision))
	g.Expect(dissemination.Digest(got)).To(Equal(dissemination.Digest(next)))
}

// Guards against a process that goes back to an older revision from a partitioned control VM, before or after its own
// restart.
func TestClientNeverReverts(t *testing.T) {
	g := NewWithT(t)
	old, current := dissemination.NewServer(), dissemination.NewServer()
	s := sized(3, 9, 2)
	g.Expect(old.Publish(s)).To(Succeed())
	for range 200 {
		s = change(s)
	}
	g.Expect(current.Publish(s)).To(Succeed())
	oldURL, currentURL := serve(t, old), serve(t, current)
	dir := t.TempDir()
	cfg := dissemination.ClientConfig{Servers: []string{oldURL, currentURL}, DataDir: dir, Wait: 20 * time.Millisecond, Probe: 2 * time.Millisecond}
	applied, stop := startClient(t, cfg)
	last := model.Revision(0)
	for last != s.Revision {
		var got *model.Snapshot
		g.Eventually(applied).Should(Receive(&got))
		g.Expect(got.Revision).To(BeNumerically(">", last))
		last = got.Revision
	}
	stop()
	cfg.Servers = []string{oldURL}
	applied, _ = startClient(t, cfg)
	var first *model.Snapshot
	g.Eventually(applied).Should(Receive(&first))
	g.Expect(first).To(Equal(s))
	g.Consistently(applied, "100ms").ShouldNot(Receive())
}

// damaging answers deltas with a wrong digest.
type damaging struct {
	*dissemination.Server
	full atomic.Int32
}

func (d *damaging) Fetch(ctx context.Context, req *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	res, err := d.Server.Fetch(ctx, req)
	if err == nil && res.Delta != nil {
		res.Digest = []byte("damaged!")
	}
	if err == nil && res.Snapshot != nil {
		d.full.Add(1)
	}
	return res, err
}

// Guards against a client that stays behind after a digest that does not match.
func TestDigestMismatchIsRepaired(t *testing.T) {
	g := NewWithT(t)
	server := &damaging{Server: dissemination.NewServer()}
	s := sized(3, 9, 2)
	g.Expect(server.Publish(s)).To(Succeed())
	applied, _ := startClient(t, dissemination.ClientConfig{Servers: []string{serve(t, server)}, Wait: 20 * time.Millisecond})
	g.Eventually(applied).Should(Receive(Equal(s)))
	for range 3 {
		s = change(s)
		g.Expect(server.Publish(s)).To(Succeed())
		g.Eventually(applied).Should(Receive(Equal(s)))
	}
	g.Expect(server.full.Load()).To(BeNumerically(">=", 4))
}

// silent never answers on the first transport that it makes, as if a device had lost the connection's state.
type silent struct{ made atomic.Int32 }

func (s *silent) transport() http.RoundTripper {
	if s.made.Add(1) == 1 {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, errors.New("silent")
		})
	}
	return &http.Transport{}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a client that waits for ever on a connection that went silent.
func TestClientRedialsAfterSilence(t *testing.T) {
	g := NewWithT(t)
	server := dissemination.NewServer()
	s := sized(1, 3, 1)
	g.Expect(server.Publish(s)).To(Succeed())
	net := &silent{}
	applied, _ := startClient(t, dissemination.ClientConfig{Servers: []string{serve(t, server)}, Wait: time.Millisecond, NewTransport: net.transport})
	g.Eventually(applied).Should(Receive(Equal(s)))
	g.Expect(net.made.Load()).To(BeNumerically(">", 1))
}

// Guards against a process that puts every revision of a burst into force one by one, and against one that waits although
// it cannot go on with its configuration.
func TestClientJoinsRevisionsUntilItIsUrged(t *testing.T) {
	g := NewWithT(t)
	server := dissemination.NewServer()
	s := sized(3, 9, 2)
	g.Expect(server.Publish(s)).To(Succeed())
	applied := make(chan *model.Snapshot, 16)
	client, err := dissemination.NewClient(dissemination.ClientConfig{
		Servers: []string{serve(t, server)}, Pace: time.Hour, OnApply: func(s *model.Snapshot) { applied <- s },
	})
	g.Expect(err).NotTo(HaveOccurred())
	go client.Run(t.Context())
	g.Eventually(applied, "10s").Should(Receive(HaveField("Revision", s.Revision)))
	for range dissemination.PaceBurst {
		s = change(s)
		g.Expect(server.Publish(s)).To(Succeed())
		g.Eventually(applied, "10s").Should(Receive(HaveField("Revision", s.Revision)))
	}
	for range 5 {
		s = change(s)
		g.Expect(server.Publish(s)).To(Succeed())
		client.Hint(s.Revision)
	}
	g.Consistently(applied, "200ms").ShouldNot(Receive())
	client.Hint(dissemination.Urgent)
	g.Eventually(applied, "10s").Should(Receive(HaveField("Revision", s.Revision)))
}

// Guards against a process that stays with a server that is partitioned from the leader although hints tell it of newer
// revisions, and against one that relies on hints after they ended.
func TestClientLeavesPartitionedServer(t *testing.T) {
	for name, hints := range map[string]bool{"hints": true, "no hints": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			old, current := dissemination.NewServer(), dissemination.NewServer()
			s := sized(3, 9, 2)
			g.Expect(old.Publish(s)).To(Succeed())
			g.Expect(current.Publish(s)).To(Succeed())
			applied := make(chan *model.Snapshot, 16)
			cfg := dissemination.ClientConfig{
				Servers: []string{serve(t, old), serve(t, current)}, Probe: time.Hour, Pace: time.Millisecond,
				OnApply: func(s *model.Snapshot) { applied <- s },
			}
			if !hints {
				cfg.Probe = 20 * time.Millisecond
			}
			client, err := dissemination.NewClient(cfg)
			g.Expect(err).NotTo(HaveOccurred())
			go client.Run(t.Context())
			g.Eventually(applied, "10s").Should(Receive(HaveField("Revision", s.Revision)))
			client.Hint(s.Revision)
			s = change(s)
			g.Expect(current.Publish(s)).To(Succeed())
			g.Eventually(func() model.Revision {
				if hints {
					client.Hint(s.Revision)
				}
				select {
				case got := <-applied:
					return got.Revision
				default:
					return 0
				}
			}, "10s").Should(Equal(s.Revision))
		})
	}
}
