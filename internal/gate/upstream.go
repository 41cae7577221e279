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

// Upstream sends a request to the upstream process of a service on this VM, at most once unless it is idempotent.
type Upstream interface {
	// Do returns sent=false only if no byte of the request can have reached the upstream. The caller closes the body
	// of the answer.
	Do(ctx context.Context, r *Outgoing) (resp *http.Response, sent bool, err error)
}

// Outgoing is a request to the upstream.
type Outgoing struct {
	Service    model.ServiceID
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// dialTimeout bounds the connection to a process on the same VM.
const dialTimeout = 2 * time.Second

// HTTPUpstream is an Upstream over http.Transport.
//
// http.Transport sends some requests again after an error on a reused connection: those with a method or an
// Idempotency-Key header that it takes as replayable. A request that is not idempotent therefore gets a connection of
// its own, which is never reused. This also tells a refused connection from a lost request.
type HTTPUpstream struct {
	address func(model.ServiceID) (string, bool)
	pooled  *http.Transport
	single  *http.Transport
}

// NewHTTPUpstream returns an upstream; address gives the TCP address of a service's local process.
func NewHTTPUpstream(address func(model.ServiceID) (string, bool)) *HTTPUpstream {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 64 << 10,
			MaxIdleConnsPerHost:    8,
			IdleConnTimeout:        30 * time.Second,
		}
	}
	u := &HTTPUpstream{address: address, pooled: transport(), single: transport()}
	u.single.DisableKeepAlives = true
	return u
}

// Close closes idle connections.
func (u *HTTPUpstream) Close() {
	u.pooled.CloseIdleConnections()
	u.single.CloseIdleConnections()
}

// Do sends the request.
func (u *HTTPUpstream) Do(ctx context.Context, r *Outgoing) (*http.Response, bool, error) {
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
	transport := u.pooled
	if !r.Idempotent {
		transport = u.single
	}
	resp, err := transport.RoundTrip(req)
	return resp, sent.Load(), err
}

// wholeLength tells whether the end of an answer can be recognised: by its length, by chunks, or because it has no body.
// An answer that ends when the connection closes cannot be told from a truncated one.
func wholeLength(method string, resp *http.Response) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// shed tells whether the upstream declares that it did not run the request: status 503 or 429 with a
// Plantainseam-Result header of RequestShed. Without the header the answer is an ordinary one.
func shed(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false
	}
	number, _, _ := strings.Cut(resp.Header.Get(HeaderResult), " ")
	n, err := strconv.Atoi(number)
	return err == nil && result.Code(n) == result.RequestShed
}

var errNoEnd = errors.New("answer has neither a length nor chunks")

// readUpTo reads at most limit bytes. whole tells whether the body ended within them.
func readUpTo(r io.Reader, limit int64) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(r, limit+1))
	return data, err == nil && int64(len(data)) <= limit, err
}

// dispatch sends a request to the local upstream and reports how that ended.
func (g *Gate) dispatch(ctx context.Context, c *call) {
	resp, sent, err := g.cfg.Upstream.Do(ctx, c.outgoing())
	if err != nil {
		r := request.RunBroken
		if !sent {
			r = request.RunNotSent
		}
		g.post(input{event: request.RunEnded{Run: c.id, Result: r}})
		return
	}
	defer resp.Body.Close()
	if shed(resp) {
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunShed}})
		return
	}
	limit := int64(bufferAnswer)
	switch {
	case c.handedOver:
		limit = maxHandedAnswer
	case c.key != "":
		limit = retainAnswer
	}
	data, whole, err := readUpTo(resp.Body, limit)
	if err == nil && whole && !wholeLength(c.method, resp) {
		err = errNoEnd
	}
	if err != nil {
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunTruncated}})
		return
	}
	if whole {
		answer := &request.Answer{Status: resp.StatusCode, Header: fromHTTP(resp.Header), Body: data}
		g.post(input{event: request.RunEnded{Run: c.id, Result: request.RunAnswered, Answer: answer}})
		return
	}
	g.stream(ctx, c, resp, data)
}

// stream passes a long answer to the caller while it is received.
func (g *Gate) stream(ctx context.Context, c *call, resp *http.Response, prefix []byte) {
	body := io.MultiReader(bytes.NewReader(prefix), resp.Body)
	ended := request.RunEnded{Run: c.id, Result: request.RunTruncated}
	part := &streamed{resp: resp, body: body, ended: make(chan error, 1)}
	var err error
	if c.handedOver {
		// The answer does not fit into one message; the agent that asked learns that the request ran.
		_, err = io.Copy(io.Discard, body)
		if err == nil && wholeLength(c.method, resp) {
			ended.Result = request.RunAnswered
		}
		g.post(input{event: ended})
		return
	}
	select {
	case c.stream <- part:
		ended.StreamedTo = c.id
		err = <-part.ended
	case <-c.gone:
		// The caller has left; the run ends by itself or by cancellation.
		_, err = io.Copy(io.Discard, body)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil && wholeLength(c.method, resp) {
		ended.Result = request.RunAnswered
	}
	g.post(input{event: ended})
}
