package gate

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/model"
)

// callerConn is a caller's connection with what the data path knows about it.
type callerConn struct {
	net.Conn
	service *model.Service
	key     model.FlowKey
	open    *atomic.Int64
	once    sync.Once
}

// Close closes the connection and counts it once.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connListener passes handed-over connections to the HTTP server.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// add returns false when the listener is closed.
func (l *connListener) add(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns a placeholder; callers' addresses are those of their connections.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
