package node

import (
	"github.com/plantainseam/plantainseam/internal/consensus"
)

// persistJob is the part of an output to store, and the messages to send once it is synced.
type persistJob struct {
	sequence  uint64
	hard      *consensus.HardState
	install   *consensus.Snapshot
	entries   []consensus.Entry
	compact   *consensus.Compaction
	afterSync []messageBatch
}

// messageBatch is a list of messages to one member.
type messageBatch struct {
	to       consensus.Member
	messages []consensus.Message
}

// persistReport reports that the outputs up to sequence are synced, or that writing failed.
type persistReport struct {
	sequence uint64
	err      error
}

// persister writes to the store; after Start, only its goroutine uses it. The jobs that arrive during a sync share the next
// one.
type persister struct {
	store   consensus.Store
	jobs    *queue[persistJob]
	send    func([]messageBatch)
	reports chan<- persistReport
	done    <-chan struct{}
}

func (p *persister) run() {
	for {
		jobs := p.jobs.takeAll(p.done)
		if jobs == nil {
			return
		}
		err := p.write(jobs)
		if err == nil {
			for _, j := range jobs {
				p.send(j.afterSync)
			}
		}
		select {
		case p.reports <- persistReport{sequence: jobs[len(jobs)-1].sequence, err: err}:
		case <-p.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// write stores the jobs in order. Consecutive appends share one sync.
func (p *persister) write(jobs []persistJob) error {
	var batch appendBatch
	for _, j := range jobs {
		if j.hard != nil {
			batch.hard = j.hard
		}
		if j.install != nil {
			if err := batch.flush(p.store); err != nil {
				return err
			}
			if err := p.store.Reset(*j.install); err != nil {
				return err
			}
		}
		batch.add(j.entries)
		if j.compact != nil {
			if err := batch.flush(p.store); err != nil {
				return err
			}
			if err := p.store.Compact(j.compact.Snapshot, j.compact.FirstKept); err != nil {
				return err
			}
		}
	}
	return batch.flush(p.store)
}

// appendBatch collects appends to store them together.
type appendBatch struct {
	hard    *consensus.HardState
	entries []consensus.Entry
}

// add appends entries, which replace all entries from the first new index on.
func (b *appendBatch) add(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	n := len(b.entries)
	for n > 0 && b.entries[n-1].Index >= first {
		n--
	}
	if n == 0 {
		b.entries = entries
		return
	}
	// The limited capacity makes append copy, because messages that are not sent yet refer to the same entries.
	b.entries = append(b.entries[:n:n], entries...)
}

func (b *appendBatch) flush(store consensus.Store) error {
	if b.hard == nil && len(b.entries) == 0 {
		return nil
	}
	err := store.Append(b.hard, b.entries)
	*b = appendBatch{}
	return err
}
