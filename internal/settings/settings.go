// Package settings reads the YAML file of one process into checked types. Every fault names the file, line and key.
package settings

import (
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// Role is a part that a process plays.
type Role string

// Roles of the daemon.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Settings are the checked settings of one process.
type Settings struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	Roles         []Role
	DataDir       string // required for control; optional for others
	LogLevel      string

	RPC     netip.AddrPort // twirp listener
	Metrics netip.AddrPort // metrics listener; zero for none
	Pprof   bool

	TLS      TLS
	Control  Control
	Tunnel   Tunnel
	Upstream Upstream
}

// TLS names the files of mutual TLS between processes.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	Insecure    bool // plain text; only when set explicitly
}

// ControlServer is one control VM.
type ControlServer struct {
	Name model.HostID
	RPC  netip.AddrPort
	// Identity is that of the VM's data directory, as printed by --init-data. Initial control VMs need it.
	Identity string
}

// Control lists the control VMs, and says how a control VM starts.
type Control struct {
	Servers []ControlServer
	// Bootstrap is set on every initial control VM; a VM that joins later leaves it unset.
	Bootstrap  bool
	SigningKey string // file with the system's ed25519 key for reports
}

// TunnelKey authenticates outer packets.
type TunnelKey struct {
	ID     uint8
	Secret []byte // at least 16 bytes
}

// Tunnel is the UDP side of entries and agents.
type Tunnel struct {
	Listen netip.AddrPort
	Fabric netip.AddrPort // where agents send replies
	Keys   []TunnelKey    // one, or two during rotation; the first signs
}

// Upstream is the settings of an agent.
type Upstream struct {
	Carries        []string // names of services
	Backend        netip.AddrPort
	Slots          int
	MaxConnections int
	ProbeInterval  time.Duration // between keep-alive probes of a silent flow
	ProbeCount     int           // unanswered probes that end a flow
}

// Has tells whether the process plays a role.
func (s *Settings) Has(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Limits and defaults of the settings.
const (
	defaultSlots          = 3
	defaultMaxConnections = 2000
	maxSlots              = 1024
	maxConnectionsLimit   = 65535
	defaultProbeInterval  = 10 * time.Second
	defaultProbeCount     = 3
	minSecretBytes        = tunnel.MinSecretLen
	minControlServers     = 1
	maxControlServers     = 7
	// maxSilence leaves one second of the promised 60 s for the sweep that ends silent flows.
	maxSilence = 59 * time.Second
)
