package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// maxInvited bounds the control VMs that are called because of their invitations. A group has at most 7 members.
const maxInvited = 8

// Invite handles an invitation from a control VM that has just started: Run calls it unless a control VM is in use. A
// process that has just started too knows only its seeds, which may start later than the inviting control VM.
func (c *Client) Invite(at netip.AddrPort) {
	c.mu.Lock()
	disconnected := c.link == nil
	if disconnected && !slices.Contains(c.invited, at) && len(c.invited) < maxInvited {
		c.invited = append(c.invited, at)
		select {
		case c.invitations <- at:
		default:
		}
	}
	c.mu.Unlock()
	if disconnected {
		c.Wake()
	}
}

// idleConnTimeout is how long an unused HTTP connection stays open.
const idleConnTimeout = 10 * time.Second

// link is the connection to one control VM.
type link struct {
	at     netip.AddrPort
	client pb.Roster
	close  func()
}

// newLink returns a link whose connection attempts time out after the given time.
func (c *Client) newLink(at netip.AddrPort, within time.Duration) *link {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			return c.cfg.Dial(ctx, network, address)
		},
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnTimeout,
	}
	client := pb.NewRosterProtobufClient("http://"+at.String(), &http.Client{Transport: transport})
	return &link{at: at, client: client, close: transport.CloseIdleConnections}
}

// syncResult is the outcome of one of several parallel Sync calls.
type syncResult struct {
	link     *link
	response *pb.SyncResponse
	err      error
}

// connect calls all known control VMs, and those whose invitations arrive meanwhile, and uses the first one that hears its
// leader. Until one does, it applies the responses of the others, except those with an older declaration than one already
// applied. It returns false if no control VM hears a leader; the caller tries again.
func (c *Client) connect(ctx context.Context) bool {
	c.connecting.Lock()
	defer c.connecting.Unlock()
	timeout, dial := c.timeouts()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for len(c.invitations) > 0 {
		<-c.invitations // c.Controls below includes it
	}
	controls := c.Controls()
	request := c.request(netip.AddrPort{})
	answers := make(chan syncResult, len(controls)+maxInvited)
	asked := 0
	ask := func(l *link) {
		asked++
		c.triedLinks[l.at] = l
		go func() {
			response, err := l.client.Sync(ctx, request)
			answers <- syncResult{l, response, err}
		}()
	}
	for _, at := range controls {
		l := c.triedLinks[at]
		if l == nil {
			l = c.newLink(at, dial)
		}
		ask(l)
	}
	var newest uint64
	for asked > 0 {
		select {
		case at := <-c.invitations: // an earlier connection attempt may have failed before it started
			if c.hasCapacity(answers, asked) {
				ask(c.newLink(at, dial))
			}
		case a := <-answers:
			asked--
			if c.handleResult(a, &newest) {
				return true
			}
		}
	}
	return false
}

// hasCapacity reports whether the channel can buffer the result of one more call.
func (c *Client) hasCapacity(answers chan syncResult, asked int) bool {
	return asked+len(answers) < cap(answers)
}

// handleResult processes the result of a call made by connect and reports whether its control VM is now in use. newest is
// the highest declaration version applied in this attempt.
func (c *Client) handleResult(a syncResult, newest *uint64) bool {
	switch {
	case a.err != nil:
		a.link.close()
		if c.triedLinks[a.link.at] == a.link {
			delete(c.triedLinks, a.link.at)
		}
	case a.response.GetCurrent():
		c.useLink(a.link)
		c.applyResponse(a.link.at, a.response)
		return true
	case a.response.GetDeclared() >= *newest:
		*newest = a.response.GetDeclared()
		c.applyResponse(a.link.at, a.response)
	}
	return false
}

// Timeouts of an attempt to connect. They grow with each attempt, up to callTimeout.
const (
	// connectTimeout is how long the first attempt waits for responses, and the increment for each further attempt. A
	// response from another failure domain takes less than 20 ms.
	connectTimeout = 100 * time.Millisecond
	// dialTimeout is how long the first attempt waits for a connection. TCP repeats a SYN to a VM without power only after a
	// second; a new attempt comes sooner.
	dialTimeout = 70 * time.Millisecond
	// dialGrowth is the increment of the dial timeout for each further attempt.
	dialGrowth = 10 * time.Millisecond
)

// timeouts returns how long this attempt waits for responses and for connections.
func (c *Client) timeouts() (call, dial time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectAttempts++
	n := time.Duration(c.connectAttempts)
	return min(n*connectTimeout, callTimeout), min(dialTimeout+(n-1)*dialGrowth, callTimeout)
}

// useLink makes l the connection in use and closes those of the other control VMs.
func (c *Client) useLink(l *link) {
	for at, other := range c.triedLinks {
		if other != l {
			other.close()
		}
		delete(c.triedLinks, at)
	}
	c.mu.Lock()
	c.link, c.connectAttempts, c.invited = l, 0, nil
	c.nextMoveAt = c.nextMoveTime()
	regained := c.lostControl
	c.lostControl = false
	c.mu.Unlock()
	if regained {
		_ = c.cfg.Logger.Log("event", "control_regained", "control", l.at)
	}
}
