package node

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// applyJob is a job for the state machine. Exactly one field is set.
type applyJob struct {
	entries  []consensus.Entry
	restore  *consensus.Snapshot
	snapshot bool
}

// applyReport is the result of an applyJob.
type applyReport struct {
	index         uint64 // last entry applied
	entries       []consensus.Entry
	results       [][]byte // results of entries, in the same order
	restored      bool
	snapshot      []byte // state after index, if the job requested a snapshot
	snapshotTaken bool
	err           error
}

// applier runs the jobs for the state machine. Only its goroutine calls the state machine.
type applier struct {
	machine consensus.StateMachine
	jobs    *queue[applyJob]
	reports chan<- applyReport
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

func (a *applier) execute(j applyJob) applyReport {
	switch {
	case j.restore != nil:
		return a.restore(*j.restore)
	case j.snapshot:
		data, err := a.machine.Snapshot()
		return applyReport{index: a.index, snapshot: data, snapshotTaken: true, err: err}
	}
	report := applyReport{entries: j.entries}
	for _, e := range j.entries {
		var response []byte
		if e.Kind == consensus.EntryCommand {
			response = a.machine.Apply(e.Index, time.Unix(0, e.Time).UTC(), e.Command)
		}
		report.results = append(report.results, response)
		a.index = e.Index
	}
	report.index = a.index
	return report
}

// restore replaces the state by a snapshot. The bootstrap snapshot of a log contains no state and is not restored.
func (a *applier) restore(s consensus.Snapshot) applyReport {
	var err error
	if s.Index > consensus.BootstrapIndex {
		err = a.machine.Restore(s.Data)
	}
	a.index = s.Index
	return applyReport{index: s.Index, restored: true, err: err}
}
