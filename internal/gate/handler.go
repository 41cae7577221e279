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

// call is one request or join that waits for the machine.
type call struct {
	id         request.ID
	service    model.ServiceID
	caller     netip.AddrPort
	method     string
	uri        string
	host       string
	header     http.Header // end to end
	body       []byte
	key        string
	deadline   time.Time
	handedOver bool
	counted    bool // the account has its start

	answer chan callAnswer // receives once
	stream chan *streamed  // receives at most one answer that is passed on while it arrives
	gone   chan struct{}   // closed when nobody receives from stream any more
}

type callAnswer struct {
	code   result.Code
	answer *request.Answer
	held   bool
}

// streamed is an answer in progress. The receiver sends the outcome to ended.
type streamed struct {
	resp  *http.Response
	body  io.Reader
	ended chan error
}

func newCall(id request.ID, service model.ServiceID) *call {
	return &call{
		id:      id,
		service: service,
		answer:  make(chan callAnswer, 1),
		stream:  make(chan *streamed),
		gone:    make(chan struct{}),
	}
}

// idempotent tells whether a method may be run again (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// safe methods need no binding: running one twice has no effect.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// outgoing is the request to the upstream. A keyed request is never sent twice by the transport.
func (c *call) outgoing() *Outgoing {
	h := c.header.Clone()
	if c.caller.IsValid() {
		h.Set("X-Forwarded-For", c.caller.Addr().String())
	}
	return &Outgoing{
		Service:    c.service,
		Method:     c.method,
		URI:        c.uri,
		Host:       c.host,
		Header:     h,
		Body:       c.body,
		Idempotent: idempotent(c.method) && c.key == "",
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

// readHeaders checks target, key and deadline. A request that the transport could not send must not count as a failure of
// the upstream.
func (c *call) readHeaders() result.Code {
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

// validKey accepts visible ASCII only, so that every process sees the same key.
func validKey(key string) bool {
	for i := 0; i < len(key); i++ {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return len(key) <= maxKey
}

func (c *call) received() request.Received {
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
	defer close(c.gone)
	c.caller = conn.key.Caller
	c.method = r.Method
	c.uri = r.URL.RequestURI()
	c.host = r.Host
	c.header = endToEnd(r.Header)
	g.begin(c)
	if code := g.readRequest(c, w, r); code != result.OK {
		g.end(c, code)
		writeCode(w, code)
		return
	}
	if !g.post(input{event: c.received(), call: c}) {
		code := result.RequestDraining
		if c.key != "" {
			code = result.RequestKeyUnchecked
		}
		g.end(c, code)
		writeCode(w, code)
		return
	}
	g.await(c, w, r)
}

func (g *Gate) begin(c *call) {
	if g.cfg.Account == nil {
		return
	}
	c.counted = true
	g.cfg.Account.Start(c.service, account.UnitRequest, noIntent)
}

func (g *Gate) readRequest(c *call, w http.ResponseWriter, r *http.Request) result.Code {
	if code := c.readHeaders(); code != result.OK {
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

// await passes the outcome on. A caller that leaves cancels its request.
func (g *Gate) await(c *call, w http.ResponseWriter, r *http.Request) {
	gone := r.Context().Done()
	for {
		select {
		case part := <-c.stream:
			err := g.passOn(c, w, part)
			if err != nil && r.Context().Err() != nil {
				g.post(input{event: request.Cancelled{ID: c.id}})
				_, err = io.Copy(io.Discard, part.body)
			}
			part.ended <- err
			g.endStream(c)
			return
		case a := <-c.answer:
			g.end(c, a.code)
			if a.answer != nil {
				writeAnswer(w, c.method, a.answer)
				return
			}
			writeCode(w, a.code)
			return
		case <-gone:
			gone = nil
			g.post(input{event: request.Cancelled{ID: c.id}})
		case <-g.done:
			g.end(c, result.RequestOutcomeUnknown)
			panic(http.ErrAbortHandler)
		}
	}
}

// passOn copies an answer in progress to the caller.
func (g *Gate) passOn(c *call, w http.ResponseWriter, part *streamed) error {
	h := w.Header()
	for _, line := range fromHTTP(part.resp.Header) {
		h.Add(line.Name, line.Value)
	}
	h.Set(HeaderResult, resultValue(result.OK))
	w.WriteHeader(part.resp.StatusCode)
	if _, err := io.Copy(w, part.body); err != nil {
		return err
	}
	if !wholeLength(c.method, part.resp) {
		return errNoEnd
	}
	return nil
}

// endStream waits for the machine and ends the connection with an error unless the answer is whole.
func (g *Gate) endStream(c *call) {
	select {
	case a := <-c.answer:
		g.end(c, a.code)
		if a.code != result.OK {
			panic(http.ErrAbortHandler)
		}
	case <-g.done:
		g.end(c, result.RequestOutcomeUnknown)
		panic(http.ErrAbortHandler)
	}
}
