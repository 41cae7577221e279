package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
)

// Terminal is a long connection to a line service, as a desk terminal holds it open. One goroutine uses it at a time.
type Terminal struct {
	Server string // upstream that answered first
	conn   *gonet.TCPConn
	in     *bufio.Reader
	wait   time.Duration
	sent   int
}

// OpenTerminal connects to a line service and learns which upstream serves the connection. Connecting, and each answer
// later, may take as long as wait.
func (h *Host) OpenTerminal(to netip.AddrPort, wait time.Duration) (*Terminal, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	conn, err := h.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	t := &Terminal{conn: conn, in: bufio.NewReader(conn), wait: wait}
	t.Server, err = t.Ask()
	return t, err
}

// Caller is the source address of the connection.
func (t *Terminal) Caller() netip.AddrPort {
	return netip.MustParseAddrPort(t.conn.LocalAddr().String())
}

// Ask sends one line and returns the upstream that answered it. It fails when the answer is to another line.
func (t *Terminal) Ask() (string, error) {
	t.sent++
	line := fmt.Sprintf("line-%d", t.sent)
	_ = t.conn.SetDeadline(time.Now().Add(t.wait))
	if _, err := fmt.Fprintln(t.conn, line); err != nil {
		return "", err
	}
	answer, err := t.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	server, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
	if rest != line {
		return "", fmt.Errorf("answer %q to line %q", answer, line)
	}
	return server, nil
}

// Check asks one more line and fails unless the same upstream answers.
func (t *Terminal) Check() error {
	server, err := t.Ask()
	if err != nil {
		return fmt.Errorf("flow %s of %s: %w", t.Caller(), t.Server, err)
	}
	if server != t.Server {
		return fmt.Errorf("flow %s of %s was answered by %s", t.Caller(), t.Server, server)
	}
	return nil
}

// Finish closes the terminal's side, and fails unless the upstream ends its side too without sending more.
func (t *Terminal) Finish() error {
	if err := t.conn.CloseWrite(); err != nil {
		return fmt.Errorf("end of flow %s of %s: %w", t.Caller(), t.Server, err)
	}
	_ = t.conn.SetReadDeadline(time.Now().Add(t.wait))
	rest, err := io.ReadAll(t.in)
	if err != nil {
		return fmt.Errorf("end of flow %s of %s: %w", t.Caller(), t.Server, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("end of flow %s of %s: %d bytes too many", t.Caller(), t.Server, len(rest))
	}
	return t.conn.Close()
}
