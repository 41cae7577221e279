// Package settings reads and validates the YAML settings file of a process. Errors name the file and, except for
// unreadable files, the line and key.
package settings

import (
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// Role is a function that a process performs.
type Role string

// Roles of the daemon.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Settings are the validated settings of a process.
type Settings struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	Roles         []Role
	DataDir       string // required for control; optional for others
	LogLevel      string

	RPC     netip.AddrPort // address of the Twirp RPC listener
	Metrics netip.AddrPort // address of the metrics listener; zero value disables it
	Pprof   bool

	TLS      TLS
	Control  Control
	Tunnel   Tunnel
	Upstream Upstream
}

// TLS holds the file paths for mutual TLS between processes.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	Insecure    bool // disables TLS; the files must then be empty
}

// ControlServer is the name, address and identity of a control VM.
type ControlServer struct {
	Name model.HostID
	RPC  netip.AddrPort
	// Identity is the identity of the VM's data directory, which --init-data prints. It is required with Bootstrap.
	Identity string
}

// Control holds the list of control VMs and the settings of the control role.
type Control struct {
	Servers []ControlServer
	// Bootstrap is true on every initial control VM and false on a VM that joins later.
	Bootstrap  bool
	SigningKey string // path of the ed25519 key file with which the system signs reports
}

// TunnelKey is a key that authenticates the outer packets of the tunnel.
type TunnelKey struct {
	ID     uint8
	Secret []byte // at least 16 bytes
}

// Tunnel holds the UDP tunnel settings of entries and agents.
type Tunnel struct {
	Listen netip.AddrPort
	Fabric netip.AddrPort // address to which agents send replies
	Keys   []TunnelKey    // one, or two during rotation; the first signs outgoing packets
}

// Upstream holds the settings of the upstream role.
type Upstream struct {
	Carries        []string // names of services
	Backend        netip.AddrPort
	Slots          int
	MaxConnections int
	ProbeInterval  time.Duration // between keep-alive probes of a silent flow
	ProbeCount     int           // unanswered probes that end a flow
}

// Has reports whether the process has the role.
func (s *Settings) Has(r Role) bool {
	for _, role := range s.Roles {
		if role == r {
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
	// maxProbeTime is the limit for the time from a flow's last packet to the end of its probes. Silent flows must end
	// within 60 s; one second is left for the sweep that ends them.
	maxProbeTime = 59 * time.Second
)
