package roster

import (
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// replica is the copy that a process keeps of the roster of a control VM.
type replica struct {
	position Position
	records  map[key]replicaRecord
}

// replicaRecord is a record with the time at which it was received.
type replicaRecord struct {
	record Record
	at     time.Time
}

// apply applies a response. It returns false and changes nothing if the response holds changes of another feed: responses of
// concurrent calls to several control VMs arrived out of order.
func (c *replica) apply(now time.Time, response *pb.SyncResponse) bool {
	partial := response.GetPartial()
	if partial && response.GetFeed() != c.position.Feed {
		return false
	}
	if !partial {
		c.records = make(map[key]replicaRecord, len(response.GetRecords()))
	}
	for _, m := range response.GetRecords() {
		r := FromWire(m)
		c.records[key{r.Kind, addressBits(r.Address)}] = replicaRecord{r, now}
	}
	for _, m := range response.GetRemoved() {
		delete(c.records, key{Kind(m.GetKind()), m.GetAddress()})
	}
	c.position = Position{response.GetFeed(), response.GetPosition()}
	return true
}

// list returns the records. Only the ages of silent processes grow with time: the feed publishes a process that falls silent,
// so one published as not silent has kept reporting.
func (c *replica) list(now time.Time) []Record {
	out := make([]Record, 0, len(c.records))
	for _, r := range c.records {
		if missedReports(r.record.Age) > 0 {
			r.record.Age += now.Sub(r.at)
		}
		out = append(out, r.record)
	}
	return out
}
