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

// Timing of announcements.
const (
	Heartbeat   = time.Second
	callTimeout = 1500 * time.Millisecond
	// maxHops bounds how many control VMs are asked in one heartbeat.
	maxHops = 3
)

// Source describes the host at the moment of a call. Sequence is set by the client.
type Source interface {
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
	OnLease func(Lease) // called in the client's goroutine after each accepted call
}

// Client announces one host.
type Client struct {
	config   Config
	target   target
	sequence uint64
	lease    atomic.Pointer[Lease]

	lastCode   result.Code
	lastDetail string
}

// NewClient returns a client that holds no lease yet.
func NewClient(c Config) *Client {
	client := &Client{config: c, target: target{servers: c.Servers}}
	client.lease.Store(&Lease{})
	return client
}

// Lease returns the latest lease. It is safe for concurrent use.
func (c *Client) Lease() Lease { return *c.lease.Load() }

// Run announces the host until ctx ends.
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

// Announce makes one announcement and follows leader hints within it.
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

// call asks one control VM and tells whether the announcement is settled.
func (c *Client) call(ctx context.Context, req *memberpb.AnnounceRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := c.target.address()
	sent := c.config.Now()
	server := memberpb.NewMembershipProtobufClient(c.config.Scheme+"://"+address, c.config.HTTP)
	resp, err := server.Announce(ctx, req)
	if err != nil {
		c.target.failed()
		level.Debug(c.config.Logger).Log("event", "announce-failed", "server", address, "err", err)
		return ctx.Err() != nil && ctx.Err() != context.DeadlineExceeded
	}
	code := result.Code(resp.Code)
	if code == result.NotLeader {
		c.target.hint(resp.Leader)
		return false
	}
	c.report(code, resp.Detail)
	if code != result.OK && resp.LeaseMs == 0 {
		if resp.Drained {
			// A retired host is refused and may stop nevertheless.
			l := c.Lease()
			l.Drained = true
			c.grant(l)
		}
		return true
	}
	c.config.Source.Acknowledged(req.Sequence)
	c.grant(Lease{
		Until:    sent.Add(time.Duration(resp.LeaseMs) * time.Millisecond),
		Revision: model.Revision(resp.Revision),
		Drained:  resp.Drained,
	})
	return true
}

func (c *Client) grant(l Lease) {
	c.lease.Store(&l)
	if c.config.OnLease != nil {
		c.config.OnLease(l)
	}
}

// report logs a result when it changes, not once per heartbeat.
func (c *Client) report(code result.Code, detail string) {
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
