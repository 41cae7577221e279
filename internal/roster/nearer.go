package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// nearerAfter is how long a control VM in another failure domain is used before one in the domain of this process is tried.
// It is longer than a control VM takes to start and to settle its roster, so that after a common start the processes do not
// leave the first control VM while others still settle.
const nearerAfter = 5 * time.Second

// nextMoveTime returns when a control VM in this failure domain is tried. It has jitter, so that processes that started
// together do not move together.
func (c *Client) nextMoveTime() time.Time {
	return time.Now().Add(c.cfg.NearerAfter + rand.N(c.cfg.NearerAfter))
}

// moveNearer switches to a control VM in the failure domain of this process if one is known and the time has come. After a
// common start the first control VM serves most processes, and traffic between failure domains is costly.
func (c *Client) moveNearer(ctx context.Context) {
	c.mu.Lock()
	at, due := c.nearerControl()
	c.mu.Unlock()
	if !due {
		return
	}
	l := c.newLink(at, dialTimeout)
	response, err := l.client.Sync(ctx, c.request(at))
	if err != nil || !response.GetCurrent() {
		l.close() // the control VM in use stays in use
		return
	}
	c.mu.Lock()
	old := c.link
	c.link = l
	c.mu.Unlock()
	old.close()
	_ = c.cfg.Logger.Log("event", "control_changed", "control", at, "before", old.at, "reason", "nearer")
	c.applyResponse(at, response)
}

// nearerControl returns the control VM to switch to, if a switch is due. The caller holds mu.
func (c *Client) nearerControl() (at netip.AddrPort, due bool) {
	if len(c.localControls) == 0 || slices.Contains(c.localControls, c.link.at) || time.Now().Before(c.nextMoveAt) {
		return netip.AddrPort{}, false
	}
	c.nextMoveAt = c.nextMoveTime()
	return c.localControls[rand.IntN(len(c.localControls))], true
}
