package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// nearerAfter is how long a control VM in another failure domain is used before a nearer one is tried. It is longer than a
// control VM takes to start and to settle its roster, so that the processes that the first one served do not move at once.
const nearerAfter = 5 * time.Second

// nextMove returns when a nearer control VM is tried. Processes that started together do not move together.
func (c *Client) nextMove() time.Time {
	return time.Now().Add(c.cfg.NearerAfter + rand.N(c.cfg.NearerAfter))
}

// moveNearer changes to a control VM in the failure domain of this process. After a common start the first control VM serves
// most processes, and bytes between failure domains are costly.
func (c *Client) moveNearer(ctx context.Context) {
	c.mu.Lock()
	at, due := c.nearer()
	c.mu.Unlock()
	if !due {
		return
	}
	l := c.newLink(at, dialTimeout)
	response, err := l.client.Sync(ctx, c.request(at))
	if err != nil || !response.GetCurrent() {
		l.close() // the present one goes on
		return
	}
	c.mu.Lock()
	old := c.link
	c.link = l
	c.mu.Unlock()
	old.close()
	_ = c.cfg.Logger.Log("event", "control_changed", "control", at, "before", old.at, "reason", "nearer")
	c.accept(at, response)
}

// nearer returns the control VM to change to, if it is time to. The caller holds mu.
func (c *Client) nearer() (at netip.AddrPort, due bool) {
	if len(c.near) == 0 || slices.Contains(c.near, c.link.at) || time.Now().Before(c.moveAt) {
		return netip.AddrPort{}, false
	}
	c.moveAt = c.nextMove()
	return c.near[rand.IntN(len(c.near))], true
}
