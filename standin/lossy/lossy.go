// Package lossy is a stand-in for an unreliable path between processes: an HTTP transport that loses calls before they
// are sent and answers after the call was served.
package lossy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
)

// ErrLost is the error of a lost call or answer.
var ErrLost = errors.New("lost by the stand-in")

// Transport loses a share of calls. It is safe for concurrent use.
type Transport struct {
	next http.RoundTripper

	mu     sync.Mutex
	random *rand.Rand
	share  float64 // half of it is lost before, half after the call
}

// New returns a transport that passes calls on to next.
func New(next http.RoundTripper, seed uint64) *Transport {
	return &Transport{next: next, random: rand.New(rand.NewPCG(seed, 0))}
}

// SetShare sets the share of lost calls, 0 to 1.
func (t *Transport) SetShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
}

func (t *Transport) lose() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.share/2
}

// RoundTrip sends a call unless it is lost.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.lose() {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, ErrLost
	}
	resp, err := t.next.RoundTrip(r)
	if err == nil && t.lose() {
		_ = resp.Body.Close()
		return nil, ErrLost
	}
	return resp, err
}
