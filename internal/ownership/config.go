// Package ownership decides which node owns a cell: acquire, renew, release and
// take over, all as records in the cell's journal, where put-if-absent decides
// between contenders.
package ownership

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Config configures a Manager. Zero durations take the defaults given with each
// field.
type Config struct {
	// Node is the id of this process. Required.
	Node model.NodeID
	// Addr is the address at which peers reach this node. Required.
	Addr string
	// Table and Objects keep journals and snapshots. Required.
	Table   external.Table
	Objects external.Objects
	// Peers, when set, serves state of warm followers for recovery.
	Peers PeerSource
	// Lease is the ownership lease L. Default 6s.
	Lease time.Duration
	// Margin is the share of L that an observer waits in addition, for
	// differences in clock rate. Default 0.1.
	Margin float64
	// Poll is the interval at which the standby of a cell, its best-placed member
	// other than the owner, reads the journal. Default 300ms: the lease of 6s, its
	// margin of 0.6s and one poll stay below lease plus 1s.
	Poll time.Duration
	// FarPoll is the interval of the next member in rank; it doubles with each
	// further rank. Default 4s.
	FarPoll time.Duration
	// Stagger is the additional wait for each rank before an acquisition, so that
	// the better-placed member usually goes first. Default 500ms.
	Stagger time.Duration
	// StableFor is how long a better-placed member must have been present before
	// it is handed a cell. Default 30s.
	StableFor time.Duration
	// HandOverRetry is how long a member that did not take a cell handed to it
	// is not offered that cell again. Default 10m.
	HandOverRetry time.Duration
	// WarmBytes bounds the journal tail that the standby keeps in memory for each
	// cell. Default 8 MiB.
	WarmBytes int
	// Commit sets the group commit of owned cells.
	Commit journal.CommitterConfig
	// Now returns the local monotonic time. Default time.Now.
	Now func() time.Time
	// Seed makes the jitter of this node reproducible.
	Seed uint64
	// Decisions receives acquisitions, releases and losses. Default: discarded.
	Decisions telemetry.DecisionLogger
}

func (c Config) withDefaults() Config {
	defaultDuration(&c.Lease, 6*time.Second)
	defaultDuration(&c.Poll, 300*time.Millisecond)
	defaultDuration(&c.FarPoll, 4*time.Second)
	defaultDuration(&c.Stagger, 500*time.Millisecond)
	defaultDuration(&c.StableFor, 30*time.Second)
	defaultDuration(&c.HandOverRetry, 10*time.Minute)
	if c.Margin <= 0 {
		c.Margin = 0.1
	}
	if c.WarmBytes <= 0 {
		c.WarmBytes = 8 << 20
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Decisions == nil {
		c.Decisions = telemetry.Discard{}
	}
	return c
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Handler receives the cells that this node gains and loses. The calls for one
// cell are in order and never overlap; renewals continue while Acquired runs.
type Handler interface {
	// Acquired hands over a cell with its recovered state.
	Acquired(owned *Owned)
	// Lost ends the ownership. Nothing may be sent for the cell after it; the
	// cell's Owned refuses appends already.
	Lost(cell model.CellID, reason string)
}

// OwnerInfo names the owner of a cell.
type OwnerInfo struct {
	Node  model.NodeID
	Addr  string
	Epoch model.Epoch
}

// Partition returns the journal partition of a cell.
func Partition(cell model.CellID) string { return "cell/" + string(cell) }
