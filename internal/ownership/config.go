// Package ownership assigns each cell to one owner node by a lease. Nodes acquire, renew,
// release and take over a cell by appending records to its journal; put-if-absent on the next
// sequence decides between contenders.
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
	// Peers, when set, provides the state of warm followers for recovery.
	Peers PeerSource
	// Lease is the duration of the ownership lease. Default 6s.
	Lease time.Duration
	// Margin is the fraction of Lease that other members wait in addition before a
	// take-over, to allow for differences in clock rate. Default 0.1.
	Margin float64
	// Poll is the interval at which the standby of a cell reads the journal. The standby
	// is the highest-ranked member other than the owner. Default 300ms: the lease of 6s,
	// its margin of 0.6s and one poll stay below lease plus 1s.
	Poll time.Duration
	// FarPoll is the poll interval of the member ranked after the standby; it doubles
	// with each further rank. Default 4s.
	FarPoll time.Duration
	// Stagger is the additional wait per rank before an acquisition, so that the
	// higher-ranked member usually acquires first. Default 500ms.
	Stagger time.Duration
	// StableFor is how long a higher-ranked member must have been present before the
	// owner hands a cell over to it. Default 30s.
	StableFor time.Duration
	// HandOverRetry is how long the owner does not offer a cell again to a member that
	// did not acquire it after a hand-over. Default 10m.
	HandOverRetry time.Duration
	// WarmBytes bounds the snapshot and journal tail that the standby keeps in memory for
	// each cell. Default 8 MiB.
	WarmBytes int
	// Commit configures the group commit of owned cells.
	Commit journal.CommitterConfig
	// Now returns the local monotonic time. Default time.Now.
	Now func() time.Time
	// Seed seeds the jitter of this node.
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

// Handler is notified of the cells that this node acquires and loses. The calls for one cell
// are in order and never overlap; renewals continue while Acquired runs.
type Handler interface {
	// Acquired is called after an acquisition, with the cell's recovered state.
	Acquired(owned *Owned)
	// Lost is called after the end of an ownership. The handler must send nothing for the
	// cell from then on; the cell's Owned already rejects appends.
	Lost(cell model.CellID, reason string)
}

// OwnerInfo identifies the owner of a cell.
type OwnerInfo struct {
	Node  model.NodeID
	Addr  string
	Epoch model.Epoch
}

// Partition returns the journal partition of a cell.
func Partition(cell model.CellID) string { return "cell/" + string(cell) }
