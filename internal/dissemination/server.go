package dissemination

import (
	"context"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// MaxWait bounds how long a Fetch may wait at the server.
const MaxWait = 30 * time.Second

// Server serves the newest snapshot that was published to it. Any process that has a snapshot can run one. It
// implements configpb.Configuration and is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	log     *DeltaLog
	changed chan struct{} // closed and replaced by each Publish
}

// NewServer returns a server with an empty snapshot.
func NewServer() *Server {
	return &Server{log: NewDeltaLog(), changed: make(chan struct{})}
}

// Publish makes a snapshot the newest one and answers the callers that wait. It refuses a revision that is not newer
// with result.RevisionOld.
func (s *Server) Publish(snapshot *model.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.log.Publish(snapshot); err != nil {
		return err
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Current returns the newest snapshot.
func (s *Server) Current() *model.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, _ := s.log.Current()
	return snapshot
}

// Fetch waits for a revision that the caller does not have, up to the caller's limit and MaxWait.
func (s *Server) Fetch(ctx context.Context, req *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, MaxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		res, changed := s.answer(req)
		if res.Snapshot != nil || res.Delta != nil {
			return res, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return res, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Server) answer(req *configpb.FetchRequest) (*configpb.FetchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Answer(model.Revision(req.Since), req.Digest), s.changed
}
