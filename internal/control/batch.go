package control

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// Bounds of a batch.
const (
	batchItems = 512  // announcements or totals in one command
	batchQueue = 8192 // announcements that wait; further ones are refused with result.NoQuorum
)

// batcher commits announcements and totals of many hosts together, so that a start of the whole fleet makes a few
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
			b.flush(ctx, b.collect(first))
		}
	}
}

// collect takes what is queued now, without waiting for more.
func (b *batcher) collect(first batchItem) []batchItem {
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

// flush commits a batch. Hosts that the catalog refuses are found by their next announcement, which is checked before
// it gets here.
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
	var err error
	if len(totals.Hosts) > 0 {
		_, err = propose(ctx, b.log, &catalogpb.Command{Do: &catalogpb.Command_Totals{Totals: totals}})
	}
	if err == nil && len(announce.Hosts) > 0 {
		_, err = propose(ctx, b.log, &catalogpb.Command{Do: &catalogpb.Command_Announce{Announce: announce}})
		err = ignoreRefusal(err, len(announce.Hosts))
	}
	for _, item := range items {
		item.done <- err
	}
}

// ignoreRefusal drops a refusal that concerns some other host of the batch.
func ignoreRefusal(err error, hosts int) error {
	switch result.CodeOf(err) {
	case result.AnnounceStale, result.AnnounceAddressTaken, result.AnnounceNotPermitted:
		if hosts > 1 {
			return nil
		}
	}
	return err
}
