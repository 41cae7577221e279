package control

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// Bounds of a batch.
const (
	batchItems = 512      // announcements or totals in one batch
	batchBytes = 96 << 10 // bytes of one command; the log refuses commands above 128 KiB
	batchQueue = 8192     // items in the queue; further items are refused with result.NoQuorum
)

// batcher commits announcements and totals of many hosts together, so that a start of the whole fleet needs a few
// commands instead of one for each host.
type batcher struct {
	log   Log
	items chan batchItem
}

type batchItem struct {
	host   *catalogpb.Host
	totals *catalogpb.HostTotals
	done   chan error
}

func newBatcher(l Log) *batcher {
	return &batcher{log: l, items: make(chan batchItem, batchQueue)}
}

// commit returns when the item is committed.
func (b *batcher) commit(ctx context.Context, item batchItem) error {
	item.done = make(chan error, 1)
	select {
	case b.items <- item:
	default:
		return result.Errorf(result.NoQuorum, "too many announcements wait")
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return result.Errorf(result.ProposalLost, "announcement: %w", ctx.Err())
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.items:
			b.flush(ctx, b.takeQueued(first))
		}
	}
}

// takeQueued returns the first item and the items in the queue, up to batchItems, without waiting for more.
func (b *batcher) takeQueued(first batchItem) []batchItem {
	items := []batchItem{first}
	for len(items) < batchItems {
		select {
		case item := <-b.items:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

// flush commits a batch. A host that the catalog refuses gets the refusal at its next announcement, which the lease table
// checks before the host is added to a batch.
func (b *batcher) flush(ctx context.Context, items []batchItem) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	announce, totals := &catalogpb.Announce{}, &catalogpb.Totals{}
	for _, item := range items {
		if item.host != nil {
			announce.Hosts = append(announce.Hosts, item.host)
		}
		if item.totals != nil {
			totals.Hosts = append(totals.Hosts, item.totals)
		}
	}
	err := b.proposeTotals(ctx, totals.Hosts)
	if err == nil {
		err = b.proposeHosts(ctx, announce.Hosts)
	}
	for _, item := range items {
		item.done <- err
	}
}

func (b *batcher) proposeTotals(ctx context.Context, hosts []*catalogpb.HostTotals) error {
	var parts []*catalogpb.HostTotals
	for _, h := range hosts {
		parts = append(parts, splitTotals(h)...)
	}
	return forEachChunk(parts, func(part []*catalogpb.HostTotals) error {
		cmd := &catalogpb.Command_Totals{Totals: &catalogpb.Totals{Hosts: part}}
		_, err := propose(ctx, b.log, &catalogpb.Command{Do: cmd})
		return err
	})
}

func (b *batcher) proposeHosts(ctx context.Context, hosts []*catalogpb.Host) error {
	return forEachChunk(hosts, func(part []*catalogpb.Host) error {
		cmd := &catalogpb.Command_Announce{Announce: &catalogpb.Announce{Hosts: part}}
		_, err := propose(ctx, b.log, &catalogpb.Command{Do: cmd})
		return ignoreRefusal(err, len(part))
	})
}

// rowsPerPart bounds the rows of one host in one command. Rows are well below 100 bytes.
const rowsPerPart = 500

// splitTotals splits the totals of a host into parts of at most rowsPerPart rows. Counts are cumulative, so that the parts
// can be committed separately.
func splitTotals(h *catalogpb.HostTotals) []*catalogpb.HostTotals {
	var parts []*catalogpb.HostTotals
	for totals := range slices.Chunk(h.Totals, rowsPerPart) {
		parts = append(parts, &catalogpb.HostTotals{Host: h.Host, Incarnation: h.Incarnation, Totals: totals})
	}
	for callers := range slices.Chunk(h.Callers, rowsPerPart) {
		parts = append(parts, &catalogpb.HostTotals{Host: h.Host, Incarnation: h.Incarnation, Callers: callers})
	}
	return parts
}

// forEachChunk calls f for consecutive parts of the list that stay within batchBytes, and stops at the first error.
func forEachChunk[M proto.Message](list []M, f func(part []M) error) error {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+proto.Size(list[n]) < batchBytes) {
			size += proto.Size(list[n])
			n++
		}
		if err := f(list[:n]); err != nil {
			return err
		}
		list = list[n:]
	}
	return nil
}

// ignoreRefusal drops a refusal of a batch of several hosts, since it may concern only one host of the batch.
func ignoreRefusal(err error, hosts int) error {
	switch result.CodeOf(err) {
	case result.AnnounceStale, result.AnnounceAddressTaken, result.AnnounceNotPermitted:
		if hosts > 1 {
			return nil
		}
	}
	return err
}
