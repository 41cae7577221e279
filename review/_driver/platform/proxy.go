package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/platform/standin"
	"github.com/plantainseam/plantainseam/rpc/consensuspb"
	"github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// proxy stands between the processes and the RPC port of one control VM, so that a test can cut the VM off.
type proxy struct {
	machine  *standin.Machine
	listener net.Listener
	cuts     *cuts
}

// cuts is the set of control VMs that are cut off from the other control VMs, in both directions and in silence.
type cuts struct {
	mu  sync.Mutex
	off map[string]bool // by machine name
}

// set cuts a control VM off or reconnects it.
func (c *cuts) set(machine string, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off[machine] = off
}

// blocked reports whether data between two control VMs is held up. from is empty for other callers.
func (c *cuts) blocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from != "" && (c.off[from] || c.off[to])
}

func newProxy(m *standin.Machine, c *cuts) (*proxy, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(m.IP, standin.CallPort).String())
	if err != nil {
		return nil, fmt.Errorf("proxy of %s: %w", m.Name, err)
	}
	p := &proxy{machine: m, listener: listener, cuts: c}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	first, from, err := firstCall(caller)
	if err != nil {
		return // the caller has given up
	}
	if p.cuts.blocked(from, p.machine.Name) {
		discard(caller) // the call hangs until its caller gives up
		return
	}
	process, err := net.Dial("tcp4", netip.AddrPortFrom(p.machine.Bind, standin.CallPort).String())
	if err != nil {
		return // the process is down
	}
	defer func() { _ = process.Close() }()
	if _, err := process.Write(first); err != nil {
		return
	}
	go func() {
		p.pump(from, process, caller)
		_ = caller.Close()
	}()
	p.pump(from, caller, process)
}

func discard(c net.Conn) {
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// pump copies data until an end closes. Data that arrives during a cut is lost, and its connection stays silent.
func (p *proxy) pump(from string, in, out net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 && p.cuts.blocked(from, p.machine.Name) {
			discard(in)
			return
		}
		if n > 0 {
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// firstCall reads the first call on a connection. It returns its bytes, and the control VM that makes it or "" for a process
// of another kind: those make only Sync calls.
func firstCall(conn net.Conn) (raw []byte, from string, err error) {
	var seen bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &seen)))
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, "", err
	}
	switch path.Base(request.URL.Path) {
	case "Sync":
	case "Step":
		var m consensuspb.StepRequest
		err = proto.Unmarshal(body, &m)
		from = machineOf(m.GetFrom())
	case "Join":
		var m rosterpb.JoinRequest
		err = proto.Unmarshal(body, &m)
		from = m.GetName()
	case "Exchange":
		var m rosterpb.ExchangeRequest
		err = proto.Unmarshal(body, &m)
		from = fmt.Sprintf("core-%d", m.GetSelf().GetAddress()&0xff) // the last byte of the address is the number of the machine
	default:
		from = otherControl
	}
	return seen.Bytes(), from, err
}

// otherControl stands for a control VM whose first call does not name it.
const otherControl = "core"

// machineOf returns the machine of a member of the group, whose identity is the name of the machine and a UUID.
func machineOf(identity string) string {
	parts := strings.SplitN(identity, "-", 3)
	if len(parts) < 3 {
		return otherControl
	}
	return parts[0] + "-" + parts[1]
}
