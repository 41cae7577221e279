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

// processFileName is the file under the data directory that lists the known agents and entries.
const processFileName = "agents"

// processFileMagic starts the file; the last two characters are the version of the format.
const processFileMagic = "PSAGNT02"

// Intervals of the process file.
const (
	// saveCheckInterval is how often the roster is compared with the file. An agent that appears less than this before a
	// loss of all power may be missing from the file.
	saveCheckInterval = 200 * time.Millisecond
	// minSaveInterval is the minimum time between two writes, since agents that restart one after the other cost one write
	// each.
	minSaveInterval = time.Second
)

// ProcessFile keeps the list of agents and entries on the disk of a control VM. After a common loss of power the roster is
// complete as soon as all agents in the list have reported, and the listed processes get invitations.
type ProcessFile struct {
	Directory string
	Store     *Store
	Self      netip.Addr // of the control VM
	Logger    log.Logger
}

// Load passes the list in the file to the store and returns the tunnel addresses of all listed processes. It must be called
// before the store is used.
func (m *ProcessFile) Load() []netip.AddrPort {
	body, err := durable.ReadChecked(filepath.Join(m.Directory, processFileName), processFileMagic)
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

// Run writes the list whenever it has changed, until ctx is done. No other work waits for the write, so a slow disk delays
// only the file.
func (m *ProcessFile) Run(ctx context.Context) {
	ticker := time.NewTicker(saveCheckInterval)
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
		list, ok := m.Store.processesToSave(now)
		if !ok || now.Sub(at) < minSaveInterval || slices.EqualFunc(list, written, sameProcess) {
			continue
		}
		at = now
		if err := m.save(list); err != nil {
			_ = m.Logger.Log("event", "agents_not_written", "agents", len(list), "error", err)
			continue
		}
		written = list
	}
}

func sameProcess(a, b *pb.Record) bool {
	return a.GetAddress() == b.GetAddress() && a.GetState() == b.GetState() && a.GetIncarnation() == b.GetIncarnation()
}

func (m *ProcessFile) save(list []*pb.Record) error {
	body, err := proto.Marshal(&pb.Remembered{Control: addressBits(m.Self), Agents: list})
	if err != nil {
		return err
	}
	return durable.WriteChecked(filepath.Join(m.Directory, processFileName), processFileMagic, body)
}
