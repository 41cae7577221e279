package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/platform/standin"
	"github.com/plantainseam/plantainseam/rpc/consensuspb"
	"github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// partition is the set of control VMs that are cut off from the other control VMs, in both directions and in silence. Entries,
// agents and the operator reach all of them.
type partition struct {
	mu  sync.Mutex
	off map[string]bool // by machine
}

// set cuts a control VM off or reconnects it.
func (c *partition) set(m *standin.Machine, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off[m.Name] = off
}

// blocked reports whether data between two control VMs is lost. from is empty for callers of another kind.
func (c *partition) blocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from != "" && (c.off[from] || c.off[to])
}

// otherControl stands for a control VM whose first call does not name it.
const otherControl = "core"

// firstCall reads the first call on a connection. It returns a reader of all its data, and the machine of the control VM that makes
// the call or "" for a process of another kind: those make only Sync calls.
func firstCall(c net.Conn) (all io.Reader, from string, err error) {
	var seen bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &seen))
	all = io.MultiReader(&seen, c)
	if start, err := in.Peek(1); err != nil || start[0] != http.MethodPost[0] {
		return all, "", err
	}
	request, err := http.ReadRequest(in)
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
		from = standin.CoreName(byte(m.GetSelf().GetAddress()))
	default:
		from = otherControl
	}
	return all, from, err
}

// machineOf returns the machine of a member of the group, whose identity is the name of the machine and a UUID.
func machineOf(identity string) string {
	parts := strings.SplitN(identity, "-", 3)
	if len(parts) < 3 {
		return otherControl
	}
	return parts[0] + "-" + parts[1]
}
