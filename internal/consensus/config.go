package consensus

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Config holds the settings of one member of a log. Zero values of the bounds and times are replaced by defaults.
type Config struct {
	ID          MemberID
	Incarnation uint64 // differs between starts of a process
	Seed        uint64 // for election timeouts

	// Heartbeat is the interval between heartbeats of a leader.
	Heartbeat time.Duration
	// Election is the shortest election timeout. Each timeout is drawn from [Election, 2*Election). A leader that did
	// not hear from a quorum for this time steps down.
	Election time.Duration
	// Retransmit is the time without an answer after which a leader sends entries or a chunk again.
	Retransmit time.Duration

	MaxMessageBytes  int // entries or snapshot data in one message
	MaxInflightBytes int // entries sent to one member and not yet acknowledged
	MaxInflight      int // messages with entries sent to one member and not yet acknowledged
	MaxCommandBytes  int // one command
	MaxApplyBytes    int // entries handed out for application at once
	MaxPendingReads  int // reads that wait for a confirmation
	MaxSnapshotBytes uint64
	RetainEntries    uint64 // entries kept before a snapshot for members that are behind
}

// Defaults. A follower tolerates one dead connection: a heartbeat interval, a call that times out
// (node.DefaultCallTimeout) and a new dial stay below the shortest election timeout, and so does one TCP retransmission
// timeout (200 ms).
const (
	DefaultHeartbeat  = 75 * time.Millisecond
	DefaultElection   = 450 * time.Millisecond
	DefaultRetransmit = 250 * time.Millisecond
)

// withDefaults returns a copy in which unset values have their defaults.
func (c Config) withDefaults() Config {
	setDuration(&c.Heartbeat, DefaultHeartbeat)
	setDuration(&c.Election, DefaultElection)
	setDuration(&c.Retransmit, DefaultRetransmit)
	setInt(&c.MaxMessageBytes, 256<<10)
	setInt(&c.MaxInflightBytes, 1<<20)
	setInt(&c.MaxInflight, 64)
	setInt(&c.MaxCommandBytes, 128<<10)
	setInt(&c.MaxApplyBytes, 1<<20)
	setInt(&c.MaxPendingReads, 4096)
	if c.MaxSnapshotBytes == 0 {
		c.MaxSnapshotBytes = 256 << 20
	}
	if c.RetainEntries == 0 {
		c.RetainEntries = 1024
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.ID == "":
		return result.Errorf(result.SettingsMissing, "member identity")
	case c.Heartbeat*2 > c.Election:
		return result.Errorf(result.SettingsContradictory, "election timeout %s is less than two heartbeats of %s", c.Election, c.Heartbeat)
	case c.MaxCommandBytes > c.MaxMessageBytes:
		return result.Errorf(result.SettingsContradictory, "commands of %d bytes exceed messages of %d", c.MaxCommandBytes, c.MaxMessageBytes)
	}
	return nil
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}
