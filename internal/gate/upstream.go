package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Upstream sends a request to the upstream process of a service on this VM, at most once.
type Upstream interface {
	// Do returns sent=false only if no byte of the request can have reached the upstream. The caller closes the body
	// of the answer.
	Do(ctx context.Context, r *OutgoingRequest) (resp *http.Response, sent bool, err error)
}

// OutgoingRequest is a request to the upstream.
type OutgoingRequest struct {
	Service model.ServiceID
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
}

// upstreamDialTimeout bounds the connection setup to a process on the same VM.
const upstreamDialTimeout = 2 * time.Second

// HTTPUpstream is an Upstream over http.Transport.
//
// Each request gets a connection of its own. On a reused connection a late second copy of an answer would be taken for the
// answer to the next request, and after an error http.Transport resends requests that it takes as replayable because of
// their method or an Idempotency-Key header. This also distinguishes a refused connection from a lost request. The
// upstream runs on the same VM, so a connection costs little.
type HTTPUpstream struct {
	address   func(model.ServiceID) (string, bool)
	transport *http.Transport
}

// NewHTTPUpstream returns an HTTPUpstream. address returns the TCP address of a service's local process.
func NewHTTPUpstream(address func(model.ServiceID) (string, bool)) *HTTPUpstream {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &HTTPUpstream{address: address, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: 64 << 10,
	}}
}

// Close closes idle connections.
func (u *HTTPUpstream) Close() { u.transport.CloseIdleConnections() }

// Do implements Upstream.
func (u *HTTPUpstream) Do(ctx context.Context, r *OutgoingRequest) (*http.Response, bool, error) {
	addr, ok := u.address(r.Service)
	if !ok {
		return nil, false, result.Errorf(result.RequestNoUpstream, "no local upstream for service %d", r.Service)
	}
	target, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, false, result.Errorf(result.RequestMalformed, "target %q: %w", r.URI, err)
	}
	target.Scheme = "http"
	target.Host = addr
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req := &http.Request{
		Method: r.Method,
		URL:    target,
		Host:   r.Host,
		Header: r.Header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		// A plain ReadCloser without GetBody, so that the transport cannot rewind it.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := u.transport.RoundTrip(req)
	return resp, sent.Load(), err
}

// hasEndMarker tells whether the end of an answer can be recognised: by its length, by chunks, or because it has no
// body. An answer that ends when the connection closes cannot be told from a truncated one.
func hasEndMarker(method string, resp *http.Response) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// isShed tells whether the upstream declares that it did not run the request: status 503 or 429 with a
// Plantainseam-Result header of RequestShed. Without the header the answer is an ordinary one.
func isShed(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false
	}
	number, _, _ := strings.Cut(resp.Header.Get(HeaderResult), " ")
	n, err := strconv.Atoi(number)
	return err == nil && result.Code(n) == result.RequestShed
}

// errNoEndMarker reports an answer for which hasEndMarker is false.
var errNoEndMarker = errors.New("answer has neither a length nor chunks")

// readUpTo reads r until its end or just beyond limit bytes. whole tells whether r ended within limit bytes.
func readUpTo(r io.Reader, limit int64) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(r, limit+1))
	return data, err == nil && int64(len(data)) <= limit, err
}

// dispatch sends a request to the local upstream and posts the result of the run.
func (g *Gate) dispatch(ctx context.Context, c *call) {
	resp, sent, err := g.cfg.Upstream.Do(ctx, c.outgoingRequest())
	if err != nil {
		r := request.RunBroken
		if !sent {
			r = request.RunNotSent
		}
		g.post(input{event: request.RunEnded{Run: c.id, Result: r}})
		return
	}
	defer resp.Body.Close()
	if isShed(resp) {
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunShed}})
		return
	}
	limit := int64(maxBufferedAnswer)
	switch {
	case c.handedOver:
		limit = maxHandOverAnswer
	case c.key != "":
		limit = maxRetainedAnswer
	}
	data, whole, err := readUpTo(resp.Body, limit)
	if err == nil && whole && !hasEndMarker(c.method, resp) {
		err = errNoEndMarker
	}
	if err != nil {
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunTruncated}})
		return
	}
	if whole {
		answer := &request.Answer{Status: resp.StatusCode, Header: sortedEndToEnd(resp.Header), Body: data}
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunAnswered, Answer: answer}})
		return
	}
	g.stream(ctx, c, resp, data)
}

// stream lets the caller's handler copy an answer larger than the limit while it is received. prefix holds the bytes
// that were read already.
func (g *Gate) stream(ctx context.Context, c *call, resp *http.Response, prefix []byte) {
	body := io.MultiReader(bytes.NewReader(prefix), resp.Body)
	ended := request.RunEnded{Run: c.id, Result: request.RunTruncated}
	streamed := &streamedAnswer{resp: resp, body: body, outcome: make(chan error, 1)}
	var err error
	if c.handedOver {
		// The answer does not fit into one message; the agent that handed the request over learns only that it ran.
		_, err = io.Copy(io.Discard, body)
		if err == nil && hasEndMarker(c.method, resp) {
			ended.Result = request.RunAnswered
		}
		g.post(input{event: ended})
		return
	}
	select {
	case c.stream <- streamed:
		ended.StreamedTo = c.id
		err = <-streamed.outcome
	case <-c.streamAbandoned:
		// The caller has disconnected; the run ends by itself or by cancellation.
		_, err = io.Copy(io.Discard, body)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil && hasEndMarker(c.method, resp) {
		ended.Result = request.RunAnswered
	}
	g.post(input{event: ended})
}
