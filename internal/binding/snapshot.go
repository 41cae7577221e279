package binding

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// Snapshot returns the state as an encoded bindpb.TableSnapshot. Replicas in the same state return the same bytes.
func (t *Table) Snapshot() ([]byte, error) {
	snap := &bindpb.TableSnapshot{AtUnixMs: t.logTime, SweptUnixMs: t.lastSweep}
	for host, inc := range t.newest {
		snap.Newest = append(snap.Newest, &bindpb.OwnerLost{Host: string(host), Incarnation: uint64(inc)})
	}
	slices.SortFunc(snap.Newest, func(a, b *bindpb.OwnerLost) int { return cmp.Compare(a.Host, b.Host) })
	index := t.snapshotOwners(snap)
	hashes := make([]Hash, 0, len(t.records))
	for h := range t.records {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	for _, h := range hashes {
		r := t.records[h]
		snap.Records = append(snap.Records, &bindpb.Record{
			Key:            bytes.Clone(h[:]),
			Digest:         bytes.Clone(r.digest[:]),
			Owner:          index[t.owners[r.owner]],
			Attempt:        r.attempt,
			DeadlineUnixMs: r.deadline,
			ExpiresUnixMs:  r.expires,
			State:          uint32(r.state),
			Code:           uint32(r.code),
			Service:        r.service,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// snapshotOwners adds the owners that have records to snap and returns their indexes.
func (t *Table) snapshotOwners(snap *bindpb.TableSnapshot) map[model.HostRef]uint32 {
	used := map[model.HostRef]uint32{}
	for _, r := range t.records {
		used[t.owners[r.owner]] = 0
	}
	refs := make([]model.HostRef, 0, len(used))
	for ref := range used {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b model.HostRef) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i, ref := range refs {
		used[ref] = uint32(i)
		snap.Owners = append(snap.Owners, &bindpb.Owner{Host: string(ref.Host), Incarnation: uint64(ref.Incarnation)})
	}
	return used
}

// Restore replaces the state. A snapshot that does not decode leaves the state unchanged.
func (t *Table) Restore(snapshot []byte) error {
	var snap bindpb.TableSnapshot
	if err := proto.Unmarshal(snapshot, &snap); err != nil {
		return result.Errorf(result.StoreCorrupt, "bindings snapshot: %w", err)
	}
	for i, rec := range snap.Records {
		valid := len(rec.Key) == HashSize && len(rec.Digest) == HashSize && int(rec.Owner) < len(snap.Owners)
		if !valid || rec.State < uint32(stateBound) || rec.State > uint32(stateUnknown) {
			return result.Errorf(result.StoreCorrupt, "bindings snapshot: record %d is malformed", i)
		}
	}
	t.reset()
	t.logTime, t.lastSweep = snap.AtUnixMs, snap.SweptUnixMs
	for _, n := range snap.Newest {
		t.newest[model.HostID(n.Host)] = model.Incarnation(n.Incarnation)
	}
	for _, o := range snap.Owners {
		t.ownerIndex(model.HostRef{Host: model.HostID(o.Host), Incarnation: model.Incarnation(o.Incarnation)})
	}
	for _, rec := range snap.Records {
		t.records[Hash(rec.Key)] = record{
			digest:   Digest(rec.Digest),
			attempt:  rec.Attempt,
			deadline: rec.DeadlineUnixMs,
			expires:  rec.ExpiresUnixMs,
			owner:    rec.Owner,
			code:     uint16(rec.Code),
			state:    state(rec.State),
			service:  rec.Service,
		}
	}
	return nil
}
