package gate

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/model"
)

// callerConn is a caller's connection with its service and flow key.
type callerConn struct {
	net.Conn
	service   *model.Service
	key       model.FlowKey
	openConns *atomic.Int64 // Gate.openConns
	once      sync.Once
}

// Close closes the connection and, on the first call, subtracts it from the gate's open connections.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}

// connKey is the context key of a request's *callerConn.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connListener is a net.Listener that returns the connections given to Gate.Serve.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// add queues c for Accept. It returns false if the listener is closed.
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

// Close makes Accept return net.ErrClosed.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns a placeholder; callers' addresses are those of their connections.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
