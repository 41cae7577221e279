package agent

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// dialTimeout limits the connection attempt to the upstream process on the same VM.
	dialTimeout = 5 * time.Second
	// relayBufferSize is the buffer size per direction in bytes. The buffers of 2,000 flows take at most 32 MB.
	relayBufferSize = 8 << 10
)

// relay copies data between a caller and the local upstream. The end of one direction is passed on as a half-close. An
// error in either direction ends both connections with a reset, so that neither side takes partial data for complete.
func (a *Agent) relay(svc *model.Service, key model.FlowKey, caller Conn) result.Code {
	addr, ok := a.cfg.Upstream(svc)
	if !ok {
		caller.Abort()
		return result.FlowWrongService
	}
	conn, err := net.DialTimeout("tcp", addr.String(), dialTimeout)
	if err != nil {
		caller.Abort()
		_ = a.cfg.Logger.Log("event", "upstream-refused", "flow", key, "upstream", addr, "err", err)
		return result.FlowUpstreamRefused
	}
	upstream := conn.(*net.TCPConn)
	defer upstream.Close()
	return relayBidirectional(caller, upstream)
}

// relayBidirectional copies in both directions until both have ended.
func relayBidirectional(caller Conn, upstream *net.TCPConn) result.Code {
	abort := func() {
		caller.Abort()
		_ = upstream.SetLinger(0)
		_ = upstream.Close()
	}
	var wg sync.WaitGroup
	var once sync.Once
	code := result.OK
	run := func(dst writeCloser, src io.Reader, classify func(err error) result.Code) {
		if err := copyDirection(dst, src); err != nil {
			once.Do(func() {
				code = classify(err)
				abort()
			})
		}
	}
	wg.Go(func() { run(upstream, caller, classifyCallerToUpstream) })
	run(caller, upstream, classifyUpstreamToCaller)
	wg.Wait()
	return code
}

// readError wraps an error of reading from the source of a direction, as opposed to writing to its destination.
type readError struct{ error }

// writeCloser is the destination of a direction.
type writeCloser interface {
	io.Writer
	CloseWrite() error
}

// copyDirection copies from src to dst and passes the end of src on as a half-close of dst.
func copyDirection(dst writeCloser, src io.Reader) error {
	buf := make([]byte, relayBufferSize)
	for {
		size, err := src.Read(buf)
		if size > 0 {
			if _, writeErr := dst.Write(buf[:size]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return dst.CloseWrite()
		}
		if err != nil {
			return readError{err}
		}
	}
}

// classifyCallerToUpstream returns the code for an error of the direction from the caller to the upstream. Reading
// fails if the caller reset its connection, writing fails if the upstream did.
func classifyCallerToUpstream(err error) result.Code {
	if errors.As(err, &readError{}) {
		return result.FlowCallerReset
	}
	return result.FlowUpstreamReset
}

// classifyUpstreamToCaller returns the code for an error of the direction from the upstream to the caller. Reading
// fails if the upstream reset its connection, writing fails if the caller did.
func classifyUpstreamToCaller(err error) result.Code {
	if errors.As(err, &readError{}) {
		return result.FlowUpstreamReset
	}
	return result.FlowCallerReset
}
