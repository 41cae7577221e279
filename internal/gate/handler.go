package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
)

// call holds a request of a caller, or a join or a handed-over request of another agent, until the machine answers it.
type call struct {
	id         request.ID
	service    model.ServiceID
	caller     netip.AddrPort
	method     string
	uri        string
	host       string
	header     http.Header // end-to-end headers only
	body       []byte
	key        string
	deadline   time.Time
	handedOver bool
	inAccount  bool // accountStart has counted the request

	answer          chan callAnswer      // buffered; the machine's answer, sent once
	stream          chan *streamedAnswer // at most one answer, which is copied to the caller while it is received
	streamAbandoned chan struct{}        // closed when nothing receives from stream any more
}

// callAnswer is the machine's answer to a call.
type callAnswer struct {
	code   result.Code
	answer *request.Answer
	held   bool // for a join: code describes a run of the key
}

// streamedAnswer is an answer that is still being received. The handler that copies it sends the error or nil to
// outcome.
type streamedAnswer struct {
	resp    *http.Response
	body    io.Reader
	outcome chan error
}

func newCall(id request.ID, service model.ServiceID) *call {
	return &call{
		id:              id,
		service:         service,
		answer:          make(chan callAnswer, 1),
		stream:          make(chan *streamedAnswer),
		streamAbandoned: make(chan struct{}),
	}
}

// idempotent tells whether a request with the method may be run again (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// safe tells whether a method is safe (RFC 9110, section 9.2.1). Its requests need no binding, as running one twice
// has no effect.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// outgoingRequest returns the request to the upstream. A keyed request is not marked idempotent, so that the transport
// never sends it twice.
func (c *call) outgoingRequest() *OutgoingRequest {
	h := c.header.Clone()
	if c.caller.IsValid() {
		h.Set("X-Forwarded-For", c.caller.Addr().String())
	}
	return &OutgoingRequest{
		Service: c.service,
		Method:  c.method,
		URI:     c.uri,
		Host:    c.host,
		Header:  h,
		Body:    c.body,
	}
}

// digest identifies the request: method, target, deadline and body, each preceded by its length.
func (c *call) digest() binding.Digest {
	h := sha256.New()
	var n [8]byte
	for _, part := range [][]byte{[]byte(c.method), []byte(c.uri), []byte(c.header.Get(HeaderDeadline)), c.body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return binding.Digest(h.Sum(nil)[:binding.HashSize])
}

// parseHeaders checks the target and sets the key and the deadline. It refuses targets that the transport could not
// send, because they must not count as failures of the upstream.
func (c *call) parseHeaders() result.Code {
	if _, err := url.ParseRequestURI(c.uri); err != nil || c.method == http.MethodConnect {
		return result.RequestMalformed
	}
	if v := c.header.Get(HeaderDeadline); v != "" {
		t, err := time.Parse(time.RFC3339Nano, v)
		if err != nil || time.Until(t) > binding.MaxDeadline {
			return result.RequestMalformed
		}
		c.deadline = t
	}
	key := c.header.Get(HeaderKey)
	if !validKey(key) || len(c.header.Values(HeaderKey)) > 1 {
		return result.RequestMalformed
	}
	if !safe(c.method) {
		c.key = key
	}
	return result.OK
}

// validKey tells whether a key is short enough and consists of visible ASCII characters, which every process reads
// alike.
func validKey(key string) bool {
	for i := 0; i < len(key); i++ {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return len(key) <= maxKeyLength
}

func (c *call) receivedEvent() request.Received {
	return request.Received{
		ID:         c.id,
		Service:    c.service,
		Caller:     c.caller,
		Key:        c.key,
		Digest:     c.digest(),
		Deadline:   c.deadline,
		Idempotent: idempotent(c.method),
		HandedOver: c.handedOver,
	}
}

// serveCaller handles one request of a caller.
func (g *Gate) serveCaller(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		writeCode(w, result.Internal)
		return
	}
	c := newCall(g.nextID(), conn.service.ID)
	defer close(c.streamAbandoned)
	c.caller = conn.key.Caller
	c.method = r.Method
	c.uri = r.URL.RequestURI()
	c.host = r.Host
	c.header = endToEnd(r.Header)
	g.accountStart(c)
	if code := g.readRequest(c, w, r); code != result.OK {
		g.accountEnd(c, code)
		writeCode(w, code)
		return
	}
	if !g.post(input{event: c.receivedEvent(), call: c}) {
		code := result.RequestDraining
		if c.key != "" {
			code = result.RequestKeyUnchecked
		}
		g.accountEnd(c, code)
		writeCode(w, code)
		return
	}
	g.awaitOutcome(c, w, r)
}

func (g *Gate) accountStart(c *call) {
	if g.cfg.Account == nil {
		return
	}
	c.inAccount = true
	g.cfg.Account.Start(c.service, account.UnitRequest, noIntent)
}

func (g *Gate) readRequest(c *call, w http.ResponseWriter, r *http.Request) result.Code {
	if code := c.parseHeaders(); code != result.OK {
		return code
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.cfg.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.RequestTooLarge
	}
	if err != nil {
		// The body was not received whole, so the request is not complete and must not run.
		return result.RequestCancelled
	}
	c.body = body
	return result.OK
}

// awaitOutcome writes the outcome of a request to its caller. A caller that disconnects cancels its request.
func (g *Gate) awaitOutcome(c *call, w http.ResponseWriter, r *http.Request) {
	disconnected := r.Context().Done()
	for {
		select {
		case streamed := <-c.stream:
			err := g.copyStream(c, w, streamed)
			if err != nil && r.Context().Err() != nil {
				g.post(input{event: request.Cancelled{ID: c.id}})
				_, err = io.Copy(io.Discard, streamed.body)
			}
			streamed.outcome <- err
			g.endStream(c)
			return
		case a := <-c.answer:
			g.accountEnd(c, a.code)
			if a.answer != nil {
				writeAnswer(w, c.method, a.answer)
				return
			}
			writeCode(w, a.code)
			return
		case <-disconnected:
			disconnected = nil
			g.post(input{event: request.Cancelled{ID: c.id}})
		case <-g.done:
			g.accountEnd(c, result.RequestOutcomeUnknown)
			panic(http.ErrAbortHandler)
		}
	}
}

// copyStream copies an answer to the caller while it is received.
func (g *Gate) copyStream(c *call, w http.ResponseWriter, streamed *streamedAnswer) error {
	h := w.Header()
	for _, line := range sortedEndToEnd(streamed.resp.Header) {
		h.Add(line.Name, line.Value)
	}
	h.Set(HeaderResult, resultValue(result.OK))
	w.WriteHeader(streamed.resp.StatusCode)
	if _, err := io.Copy(w, streamed.body); err != nil {
		return err
	}
	if !hasEndMarker(c.method, streamed.resp) {
		return errNoEndMarker
	}
	return nil
}

// endStream waits for the machine's result and aborts the connection unless the answer was whole.
func (g *Gate) endStream(c *call) {
	select {
	case a := <-c.answer:
		g.accountEnd(c, a.code)
		if a.code != result.OK {
			panic(http.ErrAbortHandler)
		}
	case <-g.done:
		g.accountEnd(c, result.RequestOutcomeUnknown)
		panic(http.ErrAbortHandler)
	}
}
