package node

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// applyJob is work for the state machine. Exactly one field is set.
type applyJob struct {
	entries  []consensus.Entry
	restore  *consensus.Snapshot
	snapshot bool
}

// applied reports finished work of the state machine.
type applied struct {
	index    uint64 // last entry applied
	entries  []consensus.Entry
	results  [][]byte // of entries
	restored bool
	snapshot []byte // state after index, if the job asked for it
	taken    bool
	err      error
}

// applier is the only goroutine that calls the state machine.
type applier struct {
	machine consensus.StateMachine
	jobs    *queue[applyJob]
	reports chan<- applied
	done    <-chan struct{}
	index   uint64
}

func (a *applier) run() {
	for {
		jobs := a.jobs.takeAll(a.done)
		if jobs == nil {
			return
		}
		for _, j := range jobs {
			select {
			case a.reports <- a.execute(j):
			case <-a.done:
				return
			}
		}
	}
}

func (a *applier) execute(j applyJob) applied {
	switch {
	case j.restore != nil:
		return a.restore(*j.restore)
	case j.snapshot:
		data, err := a.machine.Snapshot()
		return applied{index: a.index, snapshot: data, taken: true, err: err}
	}
	report := applied{entries: j.entries}
	for _, e := range j.entries {
		var answer []byte
		if e.Kind == consensus.EntryCommand {
			answer = a.machine.Apply(e.Index, time.Unix(0, e.Time).UTC(), e.Command)
		}
		report.results = append(report.results, answer)
		a.index = e.Index
	}
	report.index = a.index
	return report
}

// restore replaces the state. The first snapshot of a log holds no state.
func (a *applier) restore(s consensus.Snapshot) applied {
	var err error
	if s.Index > consensus.BootstrapIndex {
		err = a.machine.Restore(s.Data)
	}
	a.index = s.Index
	return applied{index: s.Index, restored: true, err: err}
}
