package node

import (
	"context"
	"fmt"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// NotLeaderError is the error of a proposal on a member that does not lead. Its code is result.NotLeader.
type NotLeaderError struct {
	Leader consensus.Member // empty if unknown
}

// Error returns the code and the leader's name.
func (e *NotLeaderError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error that carries the code.
func (e *NotLeaderError) Unwrap() error {
	if e.Leader.ID == "" {
		return result.Errorf(result.NotLeader, "the leader is not known")
	}
	return result.Errorf(result.NotLeader, "the leader is %s", e.Leader.Name)
}

// proposal is a call of Propose.
type proposal struct {
	ctx     context.Context
	command []byte
	reply   chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	answer []byte
	err    error
}

// maxPendingProposals bounds the proposals without an outcome.
const maxPendingProposals = 4096

// waiter is a proposal that was appended.
type waiter struct {
	term  uint64
	bytes int
	reply chan outcome
}

// pendingProposals holds the proposals that were appended and not yet applied, by index.
type pendingProposals struct {
	waiters  map[uint64]waiter
	bytes    int
	maxBytes int
}

func newPendingProposals(maxBytes int) pendingProposals {
	return pendingProposals{waiters: map[uint64]waiter{}, maxBytes: maxBytes}
}

func (p *pendingProposals) full() bool {
	return len(p.waiters) >= maxPendingProposals || p.bytes >= p.maxBytes
}

func (p *pendingProposals) add(index, term uint64, bytes int, reply chan outcome) {
	p.resolve(index, outcome{err: errReplaced(index)})
	p.waiters[index] = waiter{term: term, bytes: bytes, reply: reply}
	p.bytes += bytes
}

func (p *pendingProposals) resolve(index uint64, o outcome) {
	w, ok := p.waiters[index]
	if !ok {
		return
	}
	delete(p.waiters, index)
	p.bytes -= w.bytes
	w.reply <- o
}

// finish reports an applied entry. An entry of another term took the place of the proposal.
func (p *pendingProposals) finish(e consensus.Entry, answer []byte) {
	w, ok := p.waiters[e.Index]
	if !ok {
		return
	}
	if w.term != e.Term {
		p.resolve(e.Index, outcome{err: errReplaced(e.Index)})
		return
	}
	p.resolve(e.Index, outcome{answer: answer})
}

// loseAfter fails the proposals that were not committed when this member stopped leading.
func (p *pendingProposals) loseAfter(commit uint64) {
	for index := range p.waiters {
		if index > commit {
			p.resolve(index, outcome{err: result.Errorf(result.ProposalLost, "leadership changed before entry %d was committed", index)})
		}
	}
}

// loseUpTo fails the proposals whose results a snapshot skips.
func (p *pendingProposals) loseUpTo(index uint64) {
	for i := range p.waiters {
		if i <= index {
			p.resolve(i, outcome{err: result.Errorf(result.ProposalLost, "entry %d is covered by a snapshot", i)})
		}
	}
}

func errReplaced(index uint64) error {
	return result.Errorf(result.ProposalLost, "another entry took index %d", index)
}

// propose appends a proposal and all others that are waiting, as far as they fit.
func (n *Node) propose(first proposal) {
	batch := []proposal{first}
	bytes := len(first.command)
	for len(batch) < proposalQueue && n.pending.bytes+bytes < n.cfg.MaxPendingBytes {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			bytes += len(p.command)
			continue
		default:
		}
		break
	}
	n.proposeBatch(batch)
}

func (n *Node) proposeBatch(batch []proposal) {
	var accepted []proposal
	var commands [][]byte
	for _, p := range batch {
		if err := p.ctx.Err(); err != nil {
			p.reply <- outcome{err: result.Errorf(result.NoQuorum, "not proposed: %w", err)}
			continue
		}
		if err := n.core.CheckCommand(p.command); err != nil {
			p.reply <- outcome{err: fmt.Errorf("not proposed: %w", err)}
			continue
		}
		accepted = append(accepted, p)
		commands = append(commands, p.command)
	}
	if len(accepted) == 0 {
		return
	}
	index, term, err := n.core.Propose(n.now(), commands)
	for i, p := range accepted {
		if err != nil {
			p.reply <- outcome{err: n.named(err)}
			continue
		}
		n.pending.add(index+uint64(i), term, len(p.command), p.reply)
	}
}
