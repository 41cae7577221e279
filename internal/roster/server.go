package roster

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/openflows"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Declarations gives the declaration that this control VM has applied.
type Declarations interface {
	// Held returns the newest applied version and its content; version 0 for none.
	Held() (version uint64, declaration []byte)
	// Current reports whether this control VM hears the leader of its group.
	Current() bool
}

// Server implements the Roster service of a control VM.
type Server struct {
	Flows *openflows.Book // nil if open flows are not remembered

	store        *Store
	feed         *feed
	declarations Declarations
	now          func() time.Time
}

// NewServer returns a server of the store.
func NewServer(store *Store, d Declarations, now func() time.Time) *Server {
	return &Server{store: store, feed: newFeed(), declarations: d, now: now}
}

// Sync implements the twirp service.
func (s *Server) Sync(_ context.Context, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	now := s.now()
	if request.GetSelf() != nil {
		self := FromWire(request.GetSelf())
		self.Age = 0
		s.store.Put(now, self)
	}
	for _, m := range request.GetKnown() {
		s.store.Put(now, FromWire(m))
	}
	response := &pb.SyncResponse{
		Current: s.declarations.Current(), Settled: s.store.Settled(now), Quiet: s.store.Quiet(now),
	}
	version, content := s.declarations.Held()
	response.Declared = version
	if version > request.GetDeclared() {
		response.Declaration = content
	}
	n := s.feed.since(now, Position{request.GetFeed(), request.GetPosition()}, s.store.List)
	response.Feed, response.Position, response.Partial = n.position.Feed, n.position.Change, !n.whole
	response.Records = wireRecords(n.records)
	for _, k := range n.removed {
		response.Removed = append(response.Removed, &pb.Record{Kind: uint32(k.kind), Address: k.address})
	}
	if report := request.GetFlows(); report != nil && s.Flows != nil {
		response.Flows, response.Orphans = s.Flows.Report(now, request.GetSelf().GetAddress(), report)
	}
	return response, nil
}

// Exchange implements the twirp service.
func (s *Server) Exchange(_ context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	now := s.now()
	s.store.learn(now, request)
	response := &pb.ExchangeResponse{
		Records: wireRecords(s.store.List(now)), Remembered: s.store.ownList(now),
		Settled: s.declarations.Current() && s.store.Settled(now),
	}
	if s.Flows != nil {
		s.Flows.Adopt(now, request.GetFlows())
		response.Copies = s.Flows.Incoming(now, request.GetCopies())
	}
	return response, nil
}

// exchanged is what both directions of an exchange carry.
type exchanged interface {
	GetRecords() []*pb.Record
	GetRemembered() *pb.Remembered
	GetSettled() bool
}

// learn takes over what another control VM told. With all records of a settled roster, this one is settled as well.
func (s *Store) learn(now time.Time, from exchanged) {
	for _, m := range from.GetRecords() {
		s.Put(now, FromWire(m))
	}
	if list := from.GetRemembered(); list != nil {
		s.remember(addressOf(list.GetControl()), list.GetAgents(), false)
	}
	if from.GetSettled() {
		s.mu.Lock()
		s.told = true
		s.mu.Unlock()
	}
}

func wireRecords(records []Record) []*pb.Record {
	out := make([]*pb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, ToWire(r))
	}
	return out
}
