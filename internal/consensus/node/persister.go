package node

import (
	"github.com/plantainseam/plantainseam/internal/consensus"
)

// persistJob is the part of an output that needs the disk, and the messages to send afterwards.
type persistJob struct {
	sequence  uint64
	hard      *consensus.HardState
	install   *consensus.Snapshot
	entries   []consensus.Entry
	compact   *consensus.Compaction
	afterSync []envelope
}

// envelope is a group of messages to one member.
type envelope struct {
	to       consensus.Member
	messages []consensus.Message
}

// persisted reports that everything up to a sequence is synced, or that writing failed.
type persisted struct {
	sequence uint64
	err      error
}

// persister owns the store after the start. It groups the jobs that arrived during a sync into the next one.
type persister struct {
	store   consensus.Store
	jobs    *queue[persistJob]
	send    func([]envelope)
	reports chan<- persisted
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
		case p.reports <- persisted{sequence: jobs[len(jobs)-1].sequence, err: err}:
		case <-p.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// write stores the jobs in order, with one sync for consecutive appends.
func (p *persister) write(jobs []persistJob) error {
	var g group
	for _, j := range jobs {
		if j.hard != nil {
			g.hard = j.hard
		}
		if j.install != nil {
			if err := g.flush(p.store); err != nil {
				return err
			}
			if err := p.store.Reset(*j.install); err != nil {
				return err
			}
		}
		g.add(j.entries)
		if j.compact != nil {
			if err := g.flush(p.store); err != nil {
				return err
			}
			if err := p.store.Compact(j.compact.Snapshot, j.compact.FirstKept); err != nil {
				return err
			}
		}
	}
	return g.flush(p.store)
}

// group is a set of appends that are stored together.
type group struct {
	hard    *consensus.HardState
	entries []consensus.Entry
}

// add appends entries; those at or after the first new index are replaced.
func (g *group) add(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	n := len(g.entries)
	for n > 0 && g.entries[n-1].Index >= first {
		n--
	}
	if n == 0 {
		g.entries = entries
		return
	}
	// The limited capacity makes append copy: messages that are not yet sent refer to the same entries.
	g.entries = append(g.entries[:n:n], entries...)
}

func (g *group) flush(store consensus.Store) error {
	if g.hard == nil && len(g.entries) == 0 {
		return nil
	}
	err := store.Append(g.hard, g.entries)
	*g = group{}
	return err
}
