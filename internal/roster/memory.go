package roster

import (
	"context"
	"errors"
	"io/fs"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// memoryFile is the file under the data directory that lists the known agents.
const memoryFile = "agents"

// memoryMagic starts the file; the last characters are the version of the format.
const memoryMagic = "PSAGNT02"

// Times of the memory.
const (
	// memoryCheck is how often the list is compared with the file: an agent that appears less than this before a loss of
	// all power may be missing from it.
	memoryCheck = 200 * time.Millisecond
	// memoryPause is the least time between two writes. Agents that restart one after the other cost one write each.
	memoryPause = time.Second
)

// Memory keeps the list of agents and entries on the disk of a control VM. After a common loss of power it tells whom to wait
// for: a roster is complete as soon as all agents have reported. And it tells whom to invite.
type Memory struct {
	Directory string
	Store     *Store
	Self      netip.Addr // of the control VM
	Logger    log.Logger
}

// Load gives the list in the file to the store and returns the addresses of all processes in it for datagrams. It is to be
// called before the store is used.
func (m *Memory) Load() []netip.AddrPort {
	body, err := durable.ReadChecked(filepath.Join(m.Directory, memoryFile), memoryMagic)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var list pb.Remembered
	if err == nil {
		err = proto.Unmarshal(body, &list)
	}
	if err != nil {
		_ = m.Logger.Log("event", "agents_unreadable", "code", int(result.StoreCorrupt), "error", err)
		return nil
	}
	m.Store.remember(m.Self, list.GetAgents(), true)
	_ = m.Logger.Log("event", "agents_remembered", "processes", len(list.GetAgents()))
	var tunnels []netip.AddrPort
	for _, p := range list.GetAgents() {
		tunnels = append(tunnels, netip.AddrPortFrom(addressOf(p.GetAddress()), uint16(p.GetTunnelPort())))
	}
	return tunnels
}

// Run writes the list whenever it has changed, until ctx is done. Nothing waits for it: a slow disk delays only the file.
func (m *Memory) Run(ctx context.Context) {
	ticker := time.NewTicker(memoryCheck)
	defer ticker.Stop()
	var written []*pb.Record
	var at time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		list, ok := m.Store.memorable(now)
		if !ok || now.Sub(at) < memoryPause || slices.EqualFunc(list, written, sameAgent) {
			continue
		}
		at = now
		if err := m.write(list); err != nil {
			_ = m.Logger.Log("event", "agents_not_written", "agents", len(list), "error", err)
			continue
		}
		written = list
	}
}

func sameAgent(a, b *pb.Record) bool {
	return a.GetAddress() == b.GetAddress() && a.GetState() == b.GetState() && a.GetIncarnation() == b.GetIncarnation()
}

func (m *Memory) write(list []*pb.Record) error {
	body, err := proto.Marshal(&pb.Remembered{Control: addressBits(m.Self), Agents: list})
	if err != nil {
		return err
	}
	return durable.WriteChecked(filepath.Join(m.Directory, memoryFile), memoryMagic, body)
}
