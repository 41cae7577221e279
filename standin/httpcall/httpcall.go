// Package httpcall is a stand-in for a caller of a request service.
package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
)

// Reply is what a caller saw.
type Reply struct {
	Status int
	Code   string // number in Plantainseam-Result
	Body   string
	Err    error // set when the answer did not arrive whole
}

// Pair returns the two ends of a TCP connection on the loopback interface.
func Pair() (client, server net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	// The kernel has completed the handshake, so Accept does not wait.
	if server, err = l.Accept(); err != nil {
		_ = client.Close()
		return nil, nil, err
	}
	return client, server, nil
}

// Send makes one request on conn and closes it. header holds names and values in turn; empty values are left out. The
// end of ctx closes the connection.
func Send(ctx context.Context, conn net.Conn, method, body string, header ...string) Reply {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://service/match", strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] != "" {
			req.Header.Set(header[i], header[i+1])
		}
	}
	if err := req.Write(conn); err != nil {
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	code, _, _ := strings.Cut(resp.Header.Get("Plantainseam-Result"), " ")
	return Reply{resp.StatusCode, code, string(data), err}
}
