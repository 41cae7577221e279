package announce

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// Timing of announcements and limit on the calls in one heartbeat.
const (
	Heartbeat   = time.Second // interval between announcements
	callTimeout = 1500 * time.Millisecond
	// maxHops limits the number of calls in one heartbeat.
	maxHops = 3
)

// Source provides the content of announcements.
type Source interface {
	// Announcement returns the current state of the host. The client sets Sequence.
	Announcement() *memberpb.AnnounceRequest
	// Acknowledged is called when the leader has accepted the announcement with that sequence.
	Acknowledged(sequence uint64)
}

// Config configures a Client.
type Config struct {
	Servers []string // RPC addresses of the control VMs
	Scheme  string   // http or https
	HTTP    *http.Client
	Source  Source
	Logger  log.Logger
	Now     func() time.Time
	OnLease func(Lease) // called in the client's goroutine after each change of the lease; may be nil
}

// Client sends the announcements of one host and holds its lease.
type Client struct {
	config   Config
	target   target
	sequence uint64
	lease    atomic.Pointer[Lease]

	lastCode   result.Code
	lastDetail string
}

// NewClient returns a client without a lease.
func NewClient(c Config) *Client {
	client := &Client{config: c, target: target{servers: c.Servers}}
	client.lease.Store(&Lease{})
	return client
}

// Lease returns the latest lease. It is safe for concurrent use.
func (c *Client) Lease() Lease { return *c.lease.Load() }

// Run sends an announcement at every heartbeat until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		c.Announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement. It tries up to maxHops control VMs, following leader hints.
func (c *Client) Announce(ctx context.Context) {
	req := c.config.Source.Announcement()
	c.sequence++
	req.Sequence = c.sequence
	for range maxHops {
		if c.call(ctx, req) {
			return
		}
	}
}

// call sends the announcement to one control VM and reports whether no other one needs to be tried.
func (c *Client) call(ctx context.Context, req *memberpb.AnnounceRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := c.target.address()
	sent := c.config.Now()
	server := memberpb.NewMembershipProtobufClient(c.config.Scheme+"://"+address, c.config.HTTP)
	resp, err := server.Announce(ctx, req)
	if err != nil {
		c.target.advance()
		level.Debug(c.config.Logger).Log("event", "announce-failed", "server", address, "err", err)
		return ctx.Err() != nil && ctx.Err() != context.DeadlineExceeded
	}
	code := result.Code(resp.Code)
	if code == result.NotLeader {
		c.target.setLeader(resp.Leader)
		return false
	}
	c.logResult(code, resp.Detail)
	if code != result.OK && resp.LeaseMs == 0 {
		if resp.Drained {
			// A retired host gets no lease but may stop.
			l := c.Lease()
			l.Drained = true
			c.setLease(l)
		}
		return true
	}
	c.config.Source.Acknowledged(req.Sequence)
	c.setLease(Lease{
		Until:    sent.Add(time.Duration(resp.LeaseMs) * time.Millisecond),
		Revision: model.Revision(resp.Revision),
		Drained:  resp.Drained,
	})
	return true
}

// setLease stores a lease and passes it to OnLease.
func (c *Client) setLease(l Lease) {
	c.lease.Store(&l)
	if c.config.OnLease != nil {
		c.config.OnLease(l)
	}
}

// logResult logs the result of an announcement if it differs from the previous one.
func (c *Client) logResult(code result.Code, detail string) {
	if code == c.lastCode && detail == c.lastDetail {
		return
	}
	c.lastCode, c.lastDetail = code, detail
	if code == result.OK {
		level.Info(c.config.Logger).Log("event", "announcement-accepted", "detail", detail)
		return
	}
	level.Warn(c.config.Logger).Log("event", "announcement-refused", "code", int(code), "result", code, "detail", detail)
}
