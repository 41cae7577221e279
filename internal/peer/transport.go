package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/plantainseam/plantainseam/internal/hlc"
)

// clockHeader carries the sender's hybrid logical clock.
const clockHeader = "Plantainseam-Clock"

// Limits of connections between processes.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxIdlePerHost    = 8
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// Dialer opens the TCP connections of a client; tests replace it to add delay and loss.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions configure a client.
type ClientOptions struct {
	Credentials *Credentials // nil for plain text
	Identity    Identity     // sent in headers when plain text is used
	Clock       *hlc.Clock   // may be nil
	Dialer      Dialer       // nil for the default
}

// NewClient returns an HTTP client for twirp. After a call fails, its idle connections are closed, so that the next
// call opens a fresh socket and does not reuse one that a device on the path has forgotten.
func NewClient(o ClientOptions) *http.Client { return &http.Client{Transport: NewTransport(o)} }

// NewTransport returns the transport of NewClient with connections of its own.
func NewTransport(o ClientOptions) *Transport {
	dial := o.Dialer
	if dial == nil {
		dial = defaultDialer().DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}
	if o.Credentials != nil {
		transport.DialTLSContext = tlsDialer(dial, o.Credentials)
	}
	return &Transport{next: transport, options: o}
}

func defaultDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}

func tlsDialer(dial Dialer, credentials *Credentials) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := credentials.ClientConfig()
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			raw.Close()
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		config.ServerName = host
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		return conn, nil
	}
}

// Transport is an http.RoundTripper that identifies the process and carries its clock.
type Transport struct {
	next    *http.Transport
	options ClientOptions
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if t.options.Credentials == nil {
		r.Header.Set(nameHeader, t.options.Identity.Name)
		r.Header.Set(roleHeader, joinRoles(t.options.Identity.Roles))
	}
	if t.options.Clock != nil {
		r.Header.Set(clockHeader, t.options.Clock.Now().String())
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		t.next.CloseIdleConnections()
		return nil, err
	}
	observe(t.options.Clock, resp.Header)
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

func joinRoles(roles []Role) string {
	var out []string
	for _, r := range roles {
		out = append(out, string(r))
	}
	return strings.Join(out, ",")
}

// observe merges a received clock. A missing or refused one is ignored: it only affects the order of the time line.
func observe(clock *hlc.Clock, header http.Header) {
	if clock == nil {
		return
	}
	if t, err := hlc.Parse(header.Get(clockHeader)); err == nil {
		_ = clock.Observe(t)
	}
}

// ServerOptions configure a server.
type ServerOptions struct {
	Credentials *Credentials // nil for plain text
	Rules       Rules
	Clock       *hlc.Clock // may be nil
}

// NewServer returns an HTTP server that checks identities and roles before handler sees a call.
func NewServer(o ServerOptions, handler http.Handler) *http.Server {
	checked := Authorize(o.Rules, o.Credentials == nil, handler)
	server := &http.Server{
		Handler:           clockHandler(o.Clock, checked),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
	if o.Credentials != nil {
		server.TLSConfig = o.Credentials.ServerConfig()
	}
	return server
}

// Serve runs the server on a listener, over TLS when it has a TLS configuration. It returns after Close or Shutdown.
func Serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		listener = tls.NewListener(listener, server.TLSConfig)
	}
	return server.Serve(listener)
}

func clockHandler(clock *hlc.Clock, next http.Handler) http.Handler {
	if clock == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observe(clock, r.Header)
		next.ServeHTTP(&clockWriter{ResponseWriter: w, clock: clock}, r)
	})
}

// clockWriter sets the clock header just before the headers are sent, so that events of the handler order before it.
type clockWriter struct {
	http.ResponseWriter
	clock *hlc.Clock
	sent  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *clockWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *clockWriter) Write(p []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(p)
}

func (w *clockWriter) stamp() {
	if w.sent {
		return
	}
	w.sent = true
	w.Header().Set(clockHeader, w.clock.Now().String())
}
