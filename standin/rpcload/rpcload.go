// Package rpcload sends prepared RPCs from many hosts over open connections, with certificates of its own authority, and
// measures the processor time and memory of benchmarks.
package rpcload

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/pki"
)

// Sizes of the target in two years.
const (
	TargetServices    = 1100
	TargetUpstreams   = 5900
	TargetEntries     = 770
	TargetNodes       = TargetUpstreams + TargetEntries
	MembersPerService = 7
)

// Workers is the number of calls in flight; further calls wait at the client.
const Workers = 32

// TB is the part of *testing.B that the helpers need.
type TB interface {
	Helper()
	Fatal(args ...any)
	TempDir() string
	Cleanup(f func())
}

// Authority issues certificates for a benchmark with TLS.
type Authority struct {
	dir  string
	pool *x509.CertPool
}

// NewAuthority creates an authority in a temporary directory.
func NewAuthority(b TB) *Authority {
	b.Helper()
	a := &Authority{dir: b.TempDir(), pool: x509.NewCertPool()}
	if err := pki.CreateAuthority(a.dir, time.Now()); err != nil {
		b.Fatal(err)
	}
	pem, err := os.ReadFile(filepath.Join(a.dir, pki.AuthorityFile))
	if err != nil || !a.pool.AppendCertsFromPEM(pem) {
		b.Fatal("no authority", err)
	}
	return a
}

// Issue writes a certificate for a host on 127.0.0.1 and returns its files.
func (a *Authority) Issue(b TB, name string, role peer.Role) peer.Files {
	b.Helper()
	r := pki.Request{Name: name, Roles: []string{string(role)}, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	if err := pki.Issue(a.dir, r, time.Now()); err != nil {
		b.Fatal(err)
	}
	base := filepath.Join(a.dir, name)
	return peer.Files{Certificate: base + ".pem", Key: base + "-key.pem", Authority: filepath.Join(a.dir, pki.AuthorityFile)}
}

// Credentials returns those of a server, or nil without an authority.
func (a *Authority) Credentials(b TB) *peer.Credentials {
	b.Helper()
	if a == nil {
		return nil
	}
	c, err := peer.LoadCredentials(a.Issue(b, "control", peer.RoleControl), time.Now)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// Host is a host with one open connection that sends prepared requests. It costs less than an HTTP client, so that
// the figures are mostly those of the server.
type Host struct {
	name   string
	role   peer.Role
	config *tls.Config // nil for plain text
	Conn   net.Conn    // nil when closed
	Buf    []byte      // holds the last answer and is used again
}

// NewHost returns a host without a connection. Without an authority it uses plain text.
func NewHost(b TB, a *Authority, name string, role peer.Role) *Host {
	b.Helper()
	h := &Host{name: name, role: role}
	if a == nil {
		return h
	}
	files := a.Issue(b, name, role)
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		b.Fatal(err)
	}
	h.config = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: a.pool, ServerName: "127.0.0.1"}
	return h
}

// Dial opens the connection, with TLS if the host has a certificate.
func (h *Host) Dial(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	h.Conn = conn
	if h.config == nil {
		return nil
	}
	secure := tls.Client(conn, h.config)
	h.Conn = secure
	return secure.Handshake()
}

// Close ends the connection, if any.
func (h *Host) Close() {
	if h.Conn != nil {
		_ = h.Conn.Close()
		h.Conn = nil
	}
}

// Request returns the bytes that the system's HTTP client sends for a call.
func (h *Host) Request(b TB, address, path string, m proto.Message) []byte {
	b.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Accept", "application/protobuf")
	r.Header.Set("Accept-Encoding", "gzip")
	r.Header.Set("Content-Type", "application/protobuf")
	r.Header.Set("Twirp-Version", "v8.1.3")
	r.Header.Set("Plantainseam-Clock", "1800000000000.0")
	if h.config == nil {
		r.Header.Set("Plantainseam-Peer", h.name)
		r.Header.Set("Plantainseam-Role", string(h.role))
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		b.Fatal(err)
	}
	return out.Bytes()
}

// Call sends a prepared request and returns the answer's body and the bytes on the connection without TLS framing.
func (h *Host) Call(request []byte) (body []byte, wire int, err error) {
	if _, err := h.Conn.Write(request); err != nil {
		return nil, 0, err
	}
	if h.Buf == nil {
		h.Buf = make([]byte, 1024)
	}
	n, end, size := 0, -1, 0
	for end < 0 || n < end+size {
		if n == len(h.Buf) {
			h.Buf = append(h.Buf, make([]byte, max(n, end+size-n))...)
		}
		k, err := h.Conn.Read(h.Buf[n:])
		if err != nil {
			return nil, 0, err
		}
		n += k
		if end < 0 {
			end, size = headerEnd(h.Buf[:n])
		}
	}
	if !bytes.HasPrefix(h.Buf, []byte("HTTP/1.1 200")) {
		return nil, 0, fmt.Errorf("answer %q", h.Buf[:n])
	}
	return h.Buf[end:n], len(request) + n, nil
}

// headerEnd returns where the body starts and its length, or -1 while the headers are incomplete.
func headerEnd(p []byte) (end, size int) {
	end = bytes.Index(p, []byte("\r\n\r\n"))
	if end < 0 {
		return -1, 0
	}
	const name = "\r\nContent-Length: "
	if at := bytes.Index(p[:end+2], []byte(name)); at >= 0 {
		value := p[at+len(name):]
		size, _ = strconv.Atoi(string(value[:bytes.IndexByte(value, '\r')]))
	}
	return end + 4, size
}

// Each runs f for every host with a bounded number at once and returns the first error.
func Each(hosts []*Host, workers int, f func(i int, h *Host) error) error {
	var next atomic.Int64
	var group sync.WaitGroup
	errs := make(chan error, workers)
	for range min(workers, len(hosts)) {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := next.Add(1) - 1; int(i) < len(hosts); i = next.Add(1) - 1 {
				if err := f(int(i), hosts[i]); err != nil {
					errs <- fmt.Errorf("%s: %w", hosts[i].name, err)
					return
				}
			}
		}()
	}
	group.Wait()
	close(errs)
	return <-errs
}

// CPUTime returns the processor time of this process so far.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory returns the heap and the stacks in use after a collection.
func Memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Listen opens a loopback port until the benchmark ends.
func Listen(b TB) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l
}

// ServeFixed starts a stand-in that gives the same answer to each request without an HTTP server. It shows the share of
// the client, the sockets and TLS in a figure.
func ServeFixed(b TB, credentials *peer.Credentials, request int, answer []byte) string {
	b.Helper()
	l := Listen(b)
	address := l.Addr().String()
	if credentials != nil {
		l = tls.NewListener(l, credentials.ServerConfig())
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, request)
				for {
					if _, err := io.ReadFull(conn, buf); err != nil {
						return
					}
					if _, err := conn.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return address
}
