package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// totalsInterval is the commit interval for the totals of a host that is not draining and reports no callers.
const totalsInterval = 30 * time.Second

// MembershipServer implements memberpb.Membership.
type MembershipServer struct {
	control *Control

	mu        sync.Mutex
	committed map[string]committedTotals // by host; only a cache that avoids repeated commits of equal totals
}

type committedTotals struct {
	at          time.Time
	incarnation uint64
	totals      []*memberpb.AccountTotal
}

// NewMembershipServer returns the server of announcements.
func NewMembershipServer(c *Control) *MembershipServer {
	return &MembershipServer{control: c, committed: map[string]committedTotals{}}
}

// Announce registers a host or renews its lease. Account totals are committed before the lease table sees the
// announcement, so that a drain is never complete before its account is committed.
func (s *MembershipServer) Announce(ctx context.Context, req *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	res, err := s.announce(ctx, req)
	if err != nil {
		res = &memberpb.AnnounceResponse{Code: uint32(result.CodeOf(err)), Detail: detailOf(err)}
		if result.CodeOf(err) == result.NotLeader {
			res.Leader = s.control.cfg.Log.Leader()
		}
		res.Drained = s.retired(req.Host)
	}
	return res, nil
}

func (s *MembershipServer) announce(ctx context.Context, req *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	if err := checkAnnouncer(ctx, req.Host); err != nil {
		return nil, err
	}
	if !s.control.cfg.Log.Leading() {
		return nil, result.Errorf(result.NotLeader, "leader is %q", s.control.cfg.Log.Leader())
	}
	if err := s.commitTotals(ctx, req); err != nil {
		return nil, err
	}
	var d membership.Decision
	err := s.control.runAsLeader(ctx, func(v planner.View, t *membership.Table) { d = t.Announce(v.Now, req, v.Catalog) })
	if err != nil {
		return nil, err
	}
	if d.Err != nil {
		return nil, d.Err
	}
	if d.Register != nil {
		if err := s.control.batch.commit(ctx, batchItem{host: d.Register}); err != nil {
			return nil, err
		}
		// The totals of an unregistered host could not be committed above. The response acknowledges them, so that they
		// must be committed first.
		if err := s.commitTotals(ctx, req); err != nil {
			return nil, err
		}
	}
	return s.respond(ctx, req, d)
}

func (s *MembershipServer) respond(ctx context.Context, req *memberpb.AnnounceRequest, d membership.Decision) (*memberpb.AnnounceResponse, error) {
	res := &memberpb.AnnounceResponse{LeaseMs: uint32(d.Lease.Milliseconds())}
	err := s.control.runAsLeader(ctx, func(v planner.View, t *membership.Table) {
		res.Revision = uint64(v.Catalog.Revision())
		res.Drained = req.Leaving && planner.IsDrained(v, req.Host)
		if h := v.Catalog.Host(req.Host); h == nil || h.Incarnation != req.Incarnation {
			res.LeaseMs = 0 // a concurrent announcement of another incarnation was registered
		}
	})
	if err != nil {
		return nil, err
	}
	switch {
	case len(d.Missing) > 0:
		// The code tells the operator; the lease stays for the other services, since one service of a host may be
		// closed while the settings of the host still name it.
		res.Code = uint32(result.AnnounceNotPermitted)
		res.Detail = fmt.Sprintf("%s may not carry %s", req.Host, strings.Join(d.Missing, ", "))
	case d.Lost:
		res.Detail = fmt.Sprintf("%s was declared lost and returns after a stable period", req.Host)
	case d.LastActive:
		res.Detail = fmt.Sprintf("%s is the last active upstream of a service and cannot leave yet", req.Host)
	}
	return res, nil
}

func (s *MembershipServer) retired(host string) bool {
	retired := false
	s.control.cfg.State.Read(func(c *catalog.Catalog) { retired = c.Host(host).GetRetired() })
	return retired
}

// commitTotals commits the account totals of a host if they are due.
func (s *MembershipServer) commitTotals(ctx context.Context, req *memberpb.AnnounceRequest) error {
	if len(req.Totals) == 0 && len(req.Callers) == 0 {
		return nil
	}
	var known *catalogpb.Host
	workEnding := false
	s.control.cfg.State.Read(func(c *catalog.Catalog) {
		if h := c.Host(req.Host); h != nil {
			known = &catalogpb.Host{Incarnation: h.Incarnation}
			workEnding = h.Draining || h.Leaving || h.Retired || c.Claimant(catalog.HostObject(req.Host)) != 0
		}
		for _, svc := range c.ServicesOf(req.Host) {
			workEnding = workEnding || svc.Closing || slices.Contains(svc.Draining, req.Host)
		}
	})
	if known == nil || req.Incarnation < known.Incarnation {
		return nil // a host that is not registered has no account yet
	}
	if len(req.Callers) == 0 && !s.totalsDue(req, workEnding) {
		return nil
	}
	totals := &catalogpb.HostTotals{Host: req.Host, Incarnation: req.Incarnation, Totals: req.Totals, Callers: req.Callers}
	if err := s.control.batch.commit(ctx, batchItem{totals: totals}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.committed) >= catalog.MaxHosts {
		clear(s.committed)
	}
	s.committed[req.Host] = committedTotals{at: s.control.cfg.Now(), incarnation: req.Incarnation, totals: req.Totals}
	return nil
}

// totalsDue reports whether totals without callers must be committed. Unchanged totals never are. Changed totals are
// committed at once if the host is about to end its work (workEnding), otherwise every totalsInterval.
func (s *MembershipServer) totalsDue(req *memberpb.AnnounceRequest, workEnding bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.committed[req.Host]
	if !ok || last.incarnation != req.Incarnation {
		return true
	}
	same := slices.EqualFunc(last.totals, req.Totals, func(a, b *memberpb.AccountTotal) bool {
		return a.Service == b.Service && a.Unit == b.Unit && a.Code == b.Code && a.Intent == b.Intent && a.Count == b.Count
	})
	if same {
		return false
	}
	return workEnding || s.control.cfg.Now().Sub(last.at) >= totalsInterval
}
