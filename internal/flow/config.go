package flow

import "github.com/plantainseam/plantainseam/internal/model"

// Config holds the identity and the table limits of a machine. Zero limits take the defaults.
type Config struct {
	Self model.HostRef
	// Seed keys the hash of the flow tables, so that callers cannot choose colliding keys. The adapter draws it at
	// random.
	Seed uint64

	MaxFlows      int // established flows when the host's MaxConnections is not configured
	MaxHalfOpen   int // half-open flows, own and assigned ones together
	MaxRedirects  int // established flows of other owners
	MaxHeld       int // packets that wait for an answer or a configuration
	MaxTombstones int // flows that ended or were declined in the last tombstoneLife
}

// Default limits.
const (
	DefaultMaxFlows      = 2000
	DefaultMaxHalfOpen   = 4096
	DefaultMaxRedirects  = 1 << 17
	DefaultMaxHeld       = 1024
	DefaultMaxTombstones = 1 << 14
)

// withDefaults replaces zero limits.
func (c Config) withDefaults() Config {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&c.MaxFlows, DefaultMaxFlows)
	set(&c.MaxHalfOpen, DefaultMaxHalfOpen)
	set(&c.MaxRedirects, DefaultMaxRedirects)
	set(&c.MaxHeld, DefaultMaxHeld)
	set(&c.MaxTombstones, DefaultMaxTombstones)
	return c
}
