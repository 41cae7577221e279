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

// maxInvited bounds the control VMs that are asked because they said that they have started: a group has at most 7.
const maxInvited = 8

// Invite asks a control VM that has just started, unless one is in use. A process that has started as well knows only the
// given control VMs, which may come later.
func (c *Client) Invite(at netip.AddrPort) {
	c.mu.Lock()
	wanted := c.link == nil
	if wanted && !slices.Contains(c.invited, at) && len(c.invited) < maxInvited {
		c.invited = append(c.invited, at)
		select {
		case c.came <- at:
		default:
		}
	}
	c.mu.Unlock()
	if wanted {
		c.Wake()
	}
}

// idleConnection closes a connection that was left behind.
const idleConnection = 10 * time.Second

// link is the connection to one control VM.
type link struct {
	at     netip.AddrPort
	client pb.Roster
	close  func()
}

// newLink returns a link whose connections are opened within the given time.
func (c *Client) newLink(at netip.AddrPort, within time.Duration) *link {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			return c.cfg.Dial(ctx, network, address)
		},
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleConnection,
	}
	client := pb.NewRosterProtobufClient("http://"+at.String(), &http.Client{Transport: transport})
	return &link{at: at, client: client, close: transport.CloseIdleConnections}
}

// answer is the outcome of a call to one of several control VMs.
type answer struct {
	link     *link
	response *pb.SyncResponse
	err      error
}

// connect asks all known control VMs, and those that start meanwhile, and uses the first one that hears its leader. Until
// then it takes what the others know, unless that is older than what another one has told, and the caller tries again.
func (c *Client) connect(ctx context.Context) bool {
	c.connecting.Lock()
	defer c.connecting.Unlock()
	patience, dial := c.patience()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for len(c.came) > 0 {
		<-c.came // among the known ones
	}
	controls := c.Controls()
	request := c.request(netip.AddrPort{})
	answers := make(chan answer, len(controls)+maxInvited)
	asked := 0
	ask := func(l *link) {
		asked++
		c.tried[l.at] = l
		go func() {
			response, err := l.client.Sync(ctx, request)
			answers <- answer{l, response, err}
		}()
	}
	for _, at := range controls {
		l := c.tried[at]
		if l == nil {
			l = c.newLink(at, dial)
		}
		ask(l)
	}
	var newest uint64
	for asked > 0 {
		select {
		case at := <-c.came: // its connection may have been lost before it started
			if c.room(answers, asked) {
				ask(c.newLink(at, dial))
			}
		case a := <-answers:
			asked--
			if c.hear(a, &newest) {
				return true
			}
		}
	}
	return false
}

// room reports whether one more control VM can be asked without blocking its answer.
func (c *Client) room(answers chan answer, asked int) bool { return asked+len(answers) < cap(answers) }

// hear processes the outcome of a call while no control VM is in use. It reports whether this one is used from now on.
// newest is the newest declaration that was taken in this attempt.
func (c *Client) hear(a answer, newest *uint64) bool {
	switch {
	case a.err != nil:
		a.link.close()
		if c.tried[a.link.at] == a.link {
			delete(c.tried, a.link.at)
		}
	case a.response.GetCurrent():
		c.use(a.link)
		c.accept(a.link.at, a.response)
		return true
	case a.response.GetDeclared() >= *newest:
		*newest = a.response.GetDeclared()
		c.accept(a.link.at, a.response)
	}
	return false
}

// Timeouts of an attempt to connect. Each attempt waits longer than the one before, up to callTimeout.
const (
	// connectTimeout is how long the first attempt waits for control VMs that do not answer, and by how much each further
	// one waits longer. An answer from another failure domain takes less than 20 ms.
	connectTimeout = 100 * time.Millisecond
	// dialTimeout is how long the first attempt waits for a connection. A VM without power loses the opening packet, which
	// is repeated only after a second: the next attempt is sooner.
	dialTimeout = 70 * time.Millisecond
	// dialGrowth is by how much each further attempt waits longer for a connection.
	dialGrowth = 10 * time.Millisecond
)

// patience returns how long this attempt waits for answers and for connections.
func (c *Client) patience() (answer, dial time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	n := time.Duration(c.attempts)
	return min(n*connectTimeout, callTimeout), min(dialTimeout+(n-1)*dialGrowth, callTimeout)
}

func (c *Client) use(l *link) {
	for at, other := range c.tried {
		if other != l {
			other.close()
		}
		delete(c.tried, at)
	}
	c.mu.Lock()
	c.link, c.attempts, c.invited = l, 0, nil
	c.moveAt = c.nextMove()
	regained := c.lost
	c.lost = false
	c.mu.Unlock()
	if regained {
		_ = c.cfg.Logger.Log("event", "control_regained", "control", l.at)
	}
}
