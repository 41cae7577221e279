package roster

import (
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// replica is the roster of a control VM as a process knows it.
type replica struct {
	position Position
	records  map[key]received
}

// received is a record with the time of the answer that brought it.
type received struct {
	record Record
	at     time.Time
}

// apply takes over an answer. It reports false for one that names changes after another position than the last one: the
// answers of two calls have crossed.
func (c *replica) apply(now time.Time, response *pb.SyncResponse) bool {
	partial := response.GetPartial()
	if partial && response.GetFeed() != c.position.Feed {
		return false
	}
	if !partial {
		c.records = make(map[key]received, len(response.GetRecords()))
	}
	for _, m := range response.GetRecords() {
		r := FromWire(m)
		c.records[key{r.Kind, addressBits(r.Address)}] = received{r, now}
	}
	for _, m := range response.GetRemoved() {
		delete(c.records, key{Kind(m.GetKind()), m.GetAddress()})
	}
	c.position = Position{response.GetFeed(), response.GetPosition()}
	return true
}

// list returns the records. A process that was not silent when it was told about has reported since, or the control VM
// would have said so; the age of a silent one goes on.
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
