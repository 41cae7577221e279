package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/pki"
)

// authority makes a folder with an authority and certificates for the named hosts.
func authority(requests ...pki.Request) string {
	dir := GinkgoT().TempDir()
	Expect(pki.CreateAuthority(dir, time.Now())).To(Succeed())
	for _, r := range requests {
		r.Addresses = []net.IP{net.IPv4(127, 0, 0, 1)}
		Expect(pki.Issue(dir, r, time.Now())).To(Succeed())
	}
	return dir
}

func credentials(dir, name string, now func() time.Time) *peer.Credentials {
	c, err := peer.LoadCredentials(peer.Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(dir, pki.AuthorityFile),
	}, now)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// serve starts a server that answers with the caller's name, and returns its URL.
func serve(c *peer.Credentials, clock *hlc.Clock) string {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := peer.FromContext(r.Context())
		_, _ = io.WriteString(w, id.Name)
	})
	rules := peer.Rules{"/ops/": {peer.RoleOperator}, "/member/": {peer.RoleEntry, peer.RoleUpstream}}
	server := peer.NewServer(peer.ServerOptions{Credentials: c, Rules: rules, Clock: clock}, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = peer.Serve(server, listener) }()
	DeferCleanup(func() { _ = server.Close() })
	scheme := "https://"
	if c == nil {
		scheme = "http://"
	}
	return scheme + listener.Addr().String()
}

func get(client *http.Client, url string) (int, string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a process or a stranger calling what its role does not allow.
var _ = Describe("roles decide what a peer may call", func() {
	var dir, other, url string
	BeforeEach(func() {
		dir = authority(
			pki.Request{Name: "c1", Roles: []string{"control"}},
			pki.Request{Name: "e1", Roles: []string{"entry"}},
			pki.Request{Name: "ada", Roles: []string{"operator"}},
		)
		other = authority(pki.Request{Name: "ada", Roles: []string{"operator"}})
		url = serve(credentials(dir, "c1", time.Now), nil)
	})

	call := func(folder *string, name, path string) (int, string, error) {
		client := peer.NewClient(peer.ClientOptions{Credentials: credentials(*folder, name, time.Now)})
		return get(client, url+path)
	}
	DescribeTable("known authority", func(name, path string, want int) {
		status, body, err := call(&dir, name, path)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(want))
		if want == http.StatusOK {
			Expect(body).To(Equal(name))
		}
	},
		Entry("operator calls operators' service", "ada", "/ops/x", http.StatusOK),
		Entry("entry calls membership", "e1", "/member/x", http.StatusOK),
		Entry("entry calls operators' service", "e1", "/ops/x", http.StatusForbidden),
		Entry("operator calls membership", "ada", "/member/x", http.StatusForbidden),
		Entry("path without a rule", "ada", "/debug/x", http.StatusForbidden),
	)
	It("refuses a certificate of another authority", func() {
		_, _, err := call(&other, "ada", "/ops/x")
		Expect(err).To(HaveOccurred())
	})
})

// Guards against a replaced certificate that needs a restart, and against a broken file that ends service.
var _ = It("reads replaced credentials without a restart", func() {
	dir := authority(pki.Request{Name: "c1", Roles: []string{"control"}}, pki.Request{Name: "ada", Roles: []string{"operator"}})
	now := time.Now()
	client := credentials(dir, "ada", func() time.Time { return now })
	url := serve(credentials(dir, "c1", time.Now), nil)

	Expect(os.WriteFile(filepath.Join(dir, "ada.pem"), []byte("broken"), 0o600)).To(Succeed())
	now = now.Add(time.Minute)
	status, _, err := get(peer.NewClient(peer.ClientOptions{Credentials: client}), url+"/ops/x")
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	Expect(client.ReloadError()).To(HaveOccurred())

	Expect(pki.Issue(dir, pki.Request{Name: "ada", Roles: []string{"entry"}}, time.Now())).To(Succeed())
	now = now.Add(time.Minute)
	status, _, err = get(peer.NewClient(peer.ClientOptions{Credentials: client}), url+"/ops/x")
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusForbidden))
	Expect(client.ReloadError()).NotTo(HaveOccurred())
})

// Guards against an answer that orders before the call that caused it.
var _ = It("carries the clock both ways", func() {
	base := time.Now()
	behind := hlc.New(func() time.Time { return base.Add(-10 * time.Second) })
	ahead := hlc.New(func() time.Time { return base })
	url := serve(nil, ahead)
	client := peer.NewClient(peer.ClientOptions{Identity: peer.Identity{Name: "e1", Roles: []peer.Role{peer.RoleEntry}}, Clock: behind})
	_, _, err := get(client, url+"/member/x")
	Expect(err).NotTo(HaveOccurred())
	Expect(behind.Now().Wall).To(BeNumerically(">=", base.UnixMilli()))
})

// Guards against a client that keeps trusting a connection on which calls get no answer.
var _ = It("redials after a failed call", func() {
	url := serve(nil, nil)
	var dials int
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || dials > 1 {
			return conn, err
		}
		return &silentConn{Conn: conn}, nil
	}
	client := peer.NewClient(peer.ClientOptions{Identity: peer.Identity{Name: "e1", Roles: []peer.Role{peer.RoleEntry}}, Dialer: dial})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/member/x", nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.Do(request)
	Expect(err).To(HaveOccurred())
	status, _, err := get(client, url+"/member/x")
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	Expect(dials).To(Equal(2))
})

// silentConn drops everything that is written, like a path that has lost track of the connection.
type silentConn struct{ net.Conn }

func (c *silentConn) Write(p []byte) (int, error) { return len(p), nil }
