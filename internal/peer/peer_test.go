package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/pki"
)

// authority makes a folder with an authority and certificates for the named hosts.
func authority(t *testing.T, requests ...pki.Request) string {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(pki.CreateAuthority(dir, time.Now())).To(Succeed())
	for _, r := range requests {
		r.Addresses = []net.IP{net.IPv4(127, 0, 0, 1)}
		g.Expect(pki.Issue(dir, r, time.Now())).To(Succeed())
	}
	return dir
}

func credentials(t *testing.T, dir, name string, now func() time.Time) *peer.Credentials {
	t.Helper()
	c, err := peer.LoadCredentials(peer.Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(dir, pki.AuthorityFile),
	}, now)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c
}

// serve starts a server that answers with the caller's name, and returns its URL.
func serve(t *testing.T, c *peer.Credentials, clock *hlc.Clock) string {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := peer.FromContext(r.Context())
		_, _ = io.WriteString(w, id.Name)
	})
	rules := peer.Rules{"/ops/": {peer.RoleOperator}, "/member/": {peer.RoleEntry, peer.RoleUpstream}}
	server := peer.NewServer(peer.ServerOptions{Credentials: c, Rules: rules, Clock: clock}, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go func() { _ = peer.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
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
func TestRolesDecideWhatAPeerMayCall(t *testing.T) {
	dir := authority(t,
		pki.Request{Name: "c1", Roles: []string{"control"}},
		pki.Request{Name: "e1", Roles: []string{"entry"}},
		pki.Request{Name: "ada", Roles: []string{"operator"}},
	)
	other := authority(t, pki.Request{Name: "ada", Roles: []string{"operator"}})
	url := serve(t, credentials(t, dir, "c1", time.Now), nil)

	cases := map[string]struct {
		dir, name, path string
		status          int // 0 for a failed handshake
	}{
		"operator calls operators' service": {dir, "ada", "/ops/x", http.StatusOK},
		"entry calls membership":            {dir, "e1", "/member/x", http.StatusOK},
		"entry calls operators' service":    {dir, "e1", "/ops/x", http.StatusForbidden},
		"operator calls membership":         {dir, "ada", "/member/x", http.StatusForbidden},
		"path without a rule":               {dir, "ada", "/debug/x", http.StatusForbidden},
		"certificate of another authority":  {other, "ada", "/ops/x", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := peer.NewClient(peer.ClientOptions{Credentials: credentials(t, c.dir, c.name, time.Now)})
			status, body, err := get(client, url+c.path)
			if c.status == 0 {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.status))
			if status == http.StatusOK {
				g.Expect(body).To(Equal(c.name))
			}
		})
	}
}

// Guards against a replaced certificate that needs a restart, and against a broken file that ends service.
func TestCredentialsAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	dir := authority(t, pki.Request{Name: "c1", Roles: []string{"control"}}, pki.Request{Name: "ada", Roles: []string{"operator"}})
	now := time.Now()
	client := credentials(t, dir, "ada", func() time.Time { return now })
	url := serve(t, credentials(t, dir, "c1", time.Now), nil)

	g.Expect(os.WriteFile(filepath.Join(dir, "ada.pem"), []byte("broken"), 0o600)).To(Succeed())
	now = now.Add(time.Minute)
	status, _, err := get(peer.NewClient(peer.ClientOptions{Credentials: client}), url+"/ops/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(client.ReloadError()).To(HaveOccurred())

	g.Expect(pki.Issue(dir, pki.Request{Name: "ada", Roles: []string{"entry"}}, time.Now())).To(Succeed())
	now = now.Add(time.Minute)
	status, _, err = get(peer.NewClient(peer.ClientOptions{Credentials: client}), url+"/ops/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusForbidden))
	g.Expect(client.ReloadError()).NotTo(HaveOccurred())
}

// Guards against an answer that orders before the call that caused it.
func TestClockTravelsBothWays(t *testing.T) {
	g := NewWithT(t)
	base := time.Now()
	behind := hlc.New(func() time.Time { return base.Add(-10 * time.Second) })
	ahead := hlc.New(func() time.Time { return base })
	url := serve(t, nil, ahead)
	client := peer.NewClient(peer.ClientOptions{Identity: peer.Identity{Name: "e1", Roles: []peer.Role{peer.RoleEntry}}, Clock: behind})
	_, _, err := get(client, url+"/member/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(behind.Now().Wall).To(BeNumerically(">=", base.UnixMilli()))
}

// Guards against a client that keeps trusting a connection on which calls get no answer.
func TestFailedCallRedials(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, nil, nil)
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
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Do(request)
	g.Expect(err).To(HaveOccurred())
	status, _, err := get(client, url+"/member/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(dials).To(Equal(2))
}

// silentConn drops everything that is written, like a path that has lost track of the connection.
type silentConn struct{ net.Conn }

func (c *silentConn) Write(p []byte) (int, error) { return len(p), nil }
