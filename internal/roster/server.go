package roster

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/openflows"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Declarations provides the declaration that this control VM has applied.
type Declarations interface {
	// Latest returns the highest applied version and its content. Version 0 means that there is none.
	Latest() (version uint64, declaration []byte)
	// Current reports whether this control VM hears the leader of its group.
	Current() bool
}

// Server implements the Roster service of a control VM.
type Server struct {
	Flows *openflows.Registry // nil if open flows are not recorded

	store        *Store
	processFeed  *feed // for entries and agents
	peerFeed     *feed // for other control VMs
	declarations Declarations
	now          func() time.Time
}

// NewServer returns a server for the records in store.
func NewServer(store *Store, d Declarations, now func() time.Time) *Server {
	return &Server{store: store, processFeed: newFeed(false), peerFeed: newFeed(true), declarations: d, now: now}
}

// Sync implements the Roster service: it stores the report of a process and returns the changes of the roster.
func (s *Server) Sync(_ context.Context, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	now := s.now()
	if request.GetSelf() != nil {
		self := FromWire(request.GetSelf())
		self.Age = 0
		s.store.Put(now, self)
	}
	s.store.put(now, false, fromWire(request.GetKnown()))
	response := &pb.SyncResponse{
		Current: s.declarations.Current(), Quiet: s.store.Quiet(now), Collecting: s.store.Collecting(now),
	}
	version, content := s.declarations.Latest()
	response.Declared = version
	if version > request.GetDeclared() {
		response.Declaration = content
	}
	n := s.processFeed.changesSince(now, Position{request.GetFeed(), request.GetPosition()}, s.store.listSettled)
	response.Settled, response.Feed, response.Position, response.Partial = n.settled, n.position.Feed, n.position.Change, !n.full
	response.Records, response.Removed = wireRecords(n.records), wireKeys(n.removed)
	if report := request.GetFlows(); report != nil && s.Flows != nil {
		response.Flows, response.Orphans = s.Flows.Report(now, request.GetSelf().GetAddress(), report)
	}
	return response, nil
}

// Exchange implements the Roster service: it returns the changes among the processes that report to this control VM.
func (s *Server) Exchange(_ context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	now := s.now()
	if request.GetSelf() != nil {
		s.store.Put(now, FromWire(request.GetSelf()))
	}
	s.store.put(now, false, fromWire(request.GetKnown()))
	s.store.mergeRemembered(request.GetRemembered())
	response := &pb.ExchangeResponse{Remembered: s.store.unsettledList(now)}
	n := s.peerFeed.changesSince(now, Position{request.GetFeed(), request.GetPosition()}, s.store.directRecords)
	response.Settled = n.settled && s.declarations.Current()
	response.Feed, response.Position, response.Partial = n.position.Feed, n.position.Change, !n.full
	response.Records, response.Removed = wireRecords(n.records), wireKeys(n.removed)
	response.Others = wireRecords(s.store.indirectRecords(now, request.GetUnsettled(), request.GetUnreached()))
	if s.Flows != nil {
		s.Flows.MergeLoaded(now, request.GetFlows())
		response.Copies = s.Flows.HandleCopies(now, request.GetCopies())
	}
	return response, nil
}

// mergeRemembered adds the process list of another control VM; list may be nil.
func (s *Store) mergeRemembered(list *pb.Remembered) {
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
