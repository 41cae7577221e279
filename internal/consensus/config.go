package consensus

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Config holds the settings of one member of a log. Zero values of the bounds and times are replaced by defaults.
type Config struct {
	ID          MemberID
	Incarnation uint64 // differs between starts of a process
	Seed        uint64 // seed of the random election timeouts

	// Heartbeat is the interval between heartbeats of a leader.
	Heartbeat time.Duration
	// Election is the shortest election timeout. Each timeout is drawn from [Election, 2*Election). A leader that has had
	// no contact with a quorum for this time steps down.
	Election time.Duration
	// Retransmit is the time without a response after which a leader sends entries or a snapshot chunk again.
	Retransmit time.Duration

	MaxMessageBytes  int // limit of the entries or the snapshot data in one message
	MaxInflightBytes int // limit of the entries sent to one member and not yet acknowledged
	MaxInflight      int // limit of the messages with entries sent to one member and not yet acknowledged
	MaxCommandBytes  int // limit of one command
	MaxApplyBytes    int // limit of the entries in one Output.Apply
	MaxPendingReads  int // limit of the reads that wait for a confirmation
	MaxSnapshotBytes uint64
	RetainEntries    uint64 // entries kept before a snapshot for members that lag
}

// Default intervals. A follower tolerates one dead connection: a heartbeat interval, a call that times out
// (node.DefaultCallTimeout) and a new dial together take less than the shortest election timeout, and so does one TCP
// retransmission timeout (200 ms).
const (
	DefaultHeartbeat  = 75 * time.Millisecond
	DefaultElection   = 450 * time.Millisecond
	DefaultRetransmit = 250 * time.Millisecond
)

// withDefaults returns a copy in which unset values have their defaults.
func (c Config) withDefaults() Config {
	setDefaultDuration(&c.Heartbeat, DefaultHeartbeat)
	setDefaultDuration(&c.Election, DefaultElection)
	setDefaultDuration(&c.Retransmit, DefaultRetransmit)
	setDefaultInt(&c.MaxMessageBytes, 256<<10)
	setDefaultInt(&c.MaxInflightBytes, 1<<20)
	setDefaultInt(&c.MaxInflight, 64)
	setDefaultInt(&c.MaxCommandBytes, 128<<10)
	setDefaultInt(&c.MaxApplyBytes, 1<<20)
	setDefaultInt(&c.MaxPendingReads, 4096)
	if c.MaxSnapshotBytes == 0 {
		c.MaxSnapshotBytes = 256 << 20
	}
	if c.RetainEntries == 0 {
		c.RetainEntries = 1024
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return result.Errorf(result.SettingsMissing, "member identity is empty")
	case c.Heartbeat*2 > c.Election:
		return result.Errorf(result.SettingsContradictory, "election timeout %s is less than two heartbeats of %s", c.Election, c.Heartbeat)
	case c.MaxCommandBytes > c.MaxMessageBytes:
		return result.Errorf(result.SettingsContradictory, "commands of %d bytes exceed messages of %d", c.MaxCommandBytes, c.MaxMessageBytes)
	}
	return nil
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setDefaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}
