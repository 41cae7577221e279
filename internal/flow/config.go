package flow

import "github.com/plantainseam/plantainseam/internal/model"

// Config holds the identity and the table limits of a machine. Zero limits take the defaults.
type Config struct {
	Self model.HostRef
	// Seed is the secret seed of the flow tables' hash, so that callers cannot choose colliding keys. The adapter sets
	// it to a random number.
	Seed uint64

	MaxFlows      int // established flows when the host's MaxConnections is not configured
	MaxHalfOpen   int // half-open flows, both owned and assigned
	MaxRedirects  int // established flows that other agents own
	MaxHeld       int // packets that wait for an answer or a configuration
	MaxTombstones int // flows that ended or were declined within tombstoneTTL
}

// Default limits.
const (
	DefaultMaxFlows      = 2000
	DefaultMaxHalfOpen   = 4096
	DefaultMaxRedirects  = 1 << 17
	DefaultMaxHeld       = 1024
	DefaultMaxTombstones = 1 << 14
)

// withDefaults returns c with zero limits replaced by the defaults.
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
