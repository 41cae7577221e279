package node

import (
	"context"
	"fmt"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// NotLeaderError is returned by proposals on a member that is not the leader. Its code is result.NotLeader.
type NotLeaderError struct {
	Leader consensus.Member // empty if unknown
}

// Error implements error. The text includes the leader's name.
func (e *NotLeaderError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with the result code.
func (e *NotLeaderError) Unwrap() error {
	if e.Leader.ID == "" {
		return result.Errorf(result.NotLeader, "the leader is not known")
	}
	return result.Errorf(result.NotLeader, "the leader is %s", e.Leader.Name)
}

// proposal is a call of Propose that the loop has not processed yet.
type proposal struct {
	ctx     context.Context
	command []byte
	reply   chan outcome
}

// outcome is the result of a proposal or of an administrative request.
type outcome struct {
	response []byte
	err      error
}

// maxPendingProposals is the limit of the proposals that wait for an outcome.
const maxPendingProposals = 4096

// pendingProposal is a proposal that was appended and waits to be applied.
type pendingProposal struct {
	term  uint64
	bytes int
	reply chan outcome
}

// pendingProposals holds the proposals that were appended but not applied yet.
type pendingProposals struct {
	byIndex  map[uint64]pendingProposal
	bytes    int
	maxBytes int
}

func newPendingProposals(maxBytes int) pendingProposals {
	return pendingProposals{byIndex: map[uint64]pendingProposal{}, maxBytes: maxBytes}
}

func (p *pendingProposals) full() bool {
	return len(p.byIndex) >= maxPendingProposals || p.bytes >= p.maxBytes
}

func (p *pendingProposals) add(index, term uint64, bytes int, reply chan outcome) {
	p.resolve(index, outcome{err: errReplaced(index)})
	p.byIndex[index] = pendingProposal{term: term, bytes: bytes, reply: reply}
	p.bytes += bytes
}

func (p *pendingProposals) resolve(index uint64, o outcome) {
	w, ok := p.byIndex[index]
	if !ok {
		return
	}
	delete(p.byIndex, index)
	p.bytes -= w.bytes
	w.reply <- o
}

// complete resolves the proposal at the index of an applied entry. If the entry has another term, it replaced the proposal.
func (p *pendingProposals) complete(e consensus.Entry, response []byte) {
	w, ok := p.byIndex[e.Index]
	if !ok {
		return
	}
	if w.term != e.Term {
		p.resolve(e.Index, outcome{err: errReplaced(e.Index)})
		return
	}
	p.resolve(e.Index, outcome{response: response})
}

// failAfter fails the proposals after commit, the commit index at which this member stopped leading.
func (p *pendingProposals) failAfter(commit uint64) {
	for index := range p.byIndex {
		if index > commit {
			p.resolve(index, outcome{err: result.Errorf(result.ProposalLost, "leadership changed before entry %d was committed", index)})
		}
	}
}

// failUpTo fails the proposals up to index, whose results are unknown because an installed snapshot covers them.
func (p *pendingProposals) failUpTo(index uint64) {
	for i := range p.byIndex {
		if i <= index {
			p.resolve(i, outcome{err: result.Errorf(result.ProposalLost, "entry %d is covered by a snapshot", i)})
		}
	}
}

// errReplaced returns the error of a proposal that another entry replaced.
func errReplaced(index uint64) error {
	return result.Errorf(result.ProposalLost, "another entry took index %d", index)
}

// propose appends a proposal together with the queued ones, up to the limits of a batch.
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
			p.reply <- outcome{err: n.withLeader(err)}
			continue
		}
		n.pending.add(index+uint64(i), term, len(p.command), p.reply)
	}
}
