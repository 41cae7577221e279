// Package upstream is a stand-in for the upstream process of a request service. It records what it ran and can shed,
// crash, answer late or truncate its answers.
package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Behaviour says how one request is answered.
type Behaviour struct {
	Shed  bool          // declares that the request is not run
	Delay time.Duration // before the run
	Cut   bool          // runs the request and ends the answer early
	Crash bool          // runs the request and closes the connection without an answer
	Size  int           // of the answer in bytes; 0 for Text
}

// Server is an HTTP server on a loopback port. The body of a request names it.
type Server struct {
	*httptest.Server
	behave func(r *http.Request, body string) Behaviour

	mu  sync.Mutex
	ran map[string]int
}

// New starts a server. behave is called for each request, by many goroutines.
func New(behave func(r *http.Request, body string) Behaviour) *Server {
	s := &Server{ran: map[string]int{}, behave: behave}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Runs returns how often the request with the given body was run.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[body]
}

// Text is the answer to a request.
func Text(body string, size int) string {
	if size > 0 {
		return strings.Repeat("x", size)
	}
	return "ran " + body
}

func (s *Server) run(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[body]++
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body := string(data)
	b := s.behave(r, body)
	if b.Shed {
		w.Header().Set("Plantainseam-Result", "3005 request-shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.Delay)
	s.run(body)
	text := Text(body, b.Size)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if b.Crash {
		panic(http.ErrAbortHandler)
	}
	if b.Cut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}
