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
	// dialTimeout bounds the connection attempt to the upstream process on the same VM.
	dialTimeout = 5 * time.Second
	// relayBuffer is the buffer per direction in bytes; 2,000 flows hold at most 32 MB.
	relayBuffer = 8 << 10
)

// relay copies between a caller and the local upstream. The end of one direction is passed on as a half-close; an error
// in either direction ends both sides with a reset, so that neither takes what it received for complete.
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
	return relayBoth(caller, upstream)
}

// relayBoth runs both directions until both have ended.
func relayBoth(caller Conn, upstream *net.TCPConn) result.Code {
	abort := func() {
		caller.Abort()
		_ = upstream.SetLinger(0)
		_ = upstream.Close()
	}
	var wg sync.WaitGroup
	var once sync.Once
	code := result.OK
	run := func(dst writeCloser, src io.Reader, failed func(err error) result.Code) {
		if err := copyHalf(dst, src); err != nil {
			once.Do(func() {
				code = failed(err)
				abort()
			})
		}
	}
	wg.Go(func() { run(upstream, caller, endOfCaller) })
	run(caller, upstream, endOfUpstream)
	wg.Wait()
	return code
}

// readError marks an error of the reading side of a direction.
type readError struct{ error }

// writeCloser is the writing side of a direction.
type writeCloser interface {
	io.Writer
	CloseWrite() error
}

// copyHalf copies one direction and passes on its end.
func copyHalf(dst writeCloser, src io.Reader) error {
	buf := make([]byte, relayBuffer)
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

// endOfCaller classifies an error of the direction from the caller: reading fails when the caller reset its connection,
// writing when the upstream did.
func endOfCaller(err error) result.Code {
	if errors.As(err, &readError{}) {
		return result.FlowCallerReset
	}
	return result.FlowUpstreamReset
}

// endOfUpstream is endOfCaller for the other direction.
func endOfUpstream(err error) result.Code {
	if errors.As(err, &readError{}) {
		return result.FlowUpstreamReset
	}
	return result.FlowCallerReset
}
