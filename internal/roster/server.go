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
	Flows *openflows.Registry // nil if open flows are not remembered

	store        *Store
	feed         *feed // for processes
	others       *feed // for other control VMs
	declarations Declarations
	now          func() time.Time
}

// NewServer returns a server of the store.
func NewServer(store *Store, d Declarations, now func() time.Time) *Server {
	return &Server{store: store, feed: newFeed(false), others: newFeed(true), declarations: d, now: now}
}

// Sync implements the twirp service.
func (s *Server) Sync(_ context.Context, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	now := s.now()
	if request.GetSelf() != nil {
		self := FromWire(request.GetSelf())
		self.Age = 0
		s.store.Put(now, self)
	}
	s.store.put(now, false, fromWire(request.GetKnown()))
	response := &pb.SyncResponse{Current: s.declarations.Current(), Quiet: s.store.Quiet(now)}
	version, content := s.declarations.Held()
	response.Declared = version
	if version > request.GetDeclared() {
		response.Declaration = content
	}
	n := s.feed.since(now, Position{request.GetFeed(), request.GetPosition()}, s.store.listSettled)
	response.Settled, response.Feed, response.Position, response.Partial = n.settled, n.position.Feed, n.position.Change, !n.whole
	response.Records, response.Removed = wireRecords(n.records), wireKeys(n.removed)
	if report := request.GetFlows(); report != nil && s.Flows != nil {
		response.Flows, response.Orphans = s.Flows.Report(now, request.GetSelf().GetAddress(), report)
	}
	return response, nil
}

// Exchange implements the twirp service.
func (s *Server) Exchange(_ context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	now := s.now()
	if request.GetSelf() != nil {
		s.store.Put(now, FromWire(request.GetSelf()))
	}
	s.store.put(now, false, fromWire(request.GetKnown()))
	s.store.learn(request.GetRemembered())
	response := &pb.ExchangeResponse{Remembered: s.store.ownList(now)}
	n := s.others.since(now, Position{request.GetFeed(), request.GetPosition()}, s.store.reporting)
	response.Settled = n.settled && s.declarations.Current()
	response.Feed, response.Position, response.Partial = n.position.Feed, n.position.Change, !n.whole
	response.Records, response.Removed = wireRecords(n.records), wireKeys(n.removed)
	response.Others = wireRecords(s.store.elsewhere(now, request.GetUnsettled(), request.GetUnreached()))
	if s.Flows != nil {
		s.Flows.MergeLoaded(now, request.GetFlows())
		response.Copies = s.Flows.HandleCopies(now, request.GetCopies())
	}
	return response, nil
}

// learn takes over the list of another control VM.
func (s *Store) learn(list *pb.Remembered) {
	if list != nil {
		s.remember(addressOf(list.GetControl()), list.GetAgents(), false)
	}
}

func wireRecords(records []Record) []*pb.Record {
	out := make([]*pb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, ToWire(r))
	}
	return out
}

func fromWire(messages []*pb.Record) []Record {
	out := make([]Record, 0, len(messages))
	for _, m := range messages {
		out = append(out, FromWire(m))
	}
	return out
}

func wireKeys(keys []key) []*pb.Record {
	var out []*pb.Record
	for _, k := range keys {
		out = append(out, &pb.Record{Kind: uint32(k.kind), Address: k.address})
	}
	return out
}
