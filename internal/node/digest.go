package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/membership"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/scheduler"
	"github.com/vanillapier/vanillapier/internal/share"
)

// Digest is the state that a node sends to a peer in each gossip exchange.
type Digest struct {
	// Sequence is the sequence of the sender's control view. ConfirmedAge is how long ago the
	// view was last confirmed, in milliseconds.
	Sequence     uint64 `json:"seq"`
	ConfirmedAge int64  `json:"age_ms"`
	// Owned holds the sender's cells with their epochs.
	Owned map[model.CellID]model.Epoch `json:"owned,omitempty"`
	// Cells summarizes the sender's cells.
	Cells []scheduler.CellSummary `json:"cells,omitempty"`
	// Leaving lists runners that are leaving according to the sender.
	Leaving []string     `json:"leaving,omitempty"`
	Load    request.Load `json:"load"`
	Share   share.Digest `json:"share"`
}

// maxConfirmedAge is the highest age reported for a view, also for one that was never confirmed.
const maxConfirmedAge = 24 * time.Hour

// localDigest returns this node's digest in at most limit bytes. If it is too large, the least
// important parts are left out: summaries of cells and the load are sent again in later
// exchanges, while confirmations and slot shares must arrive.
func (n *Node) localDigest(limit int) json.RawMessage {
	now := time.Now()
	view := n.control.View()
	d := Digest{
		Sequence: view.Sequence, ConfirmedAge: confirmedAge(view, now).Milliseconds(),
		Owned: n.cells.Epochs(), Leaving: n.chain.Leaving(), Load: n.chain.Load(), Share: n.shares.Digest(),
	}
	for _, report := range n.cells.Reports() {
		d.Cells = append(d.Cells, report.Summary)
	}
	n.summaries.set(d.Cells, now)
	n.rotateCells(&d)
	data, err := d.encode(limit)
	if err != nil {
		n.log.WithError(err).Error("failed to encode the digest")
	}
	return data
}

// encode returns the digest as JSON of at most limit bytes. It shrinks d until it fits.
func (d *Digest) encode(limit int) (json.RawMessage, error) {
	for {
		data, err := json.Marshal(d)
		if err != nil || len(data) <= limit {
			return data, err
		}
		if !d.shrink() {
			return nil, model.Errorf(model.KindExhausted, "report this fault: confirmations and slot shares must fit",
				"a digest of %d bytes exceeds %d", len(data), limit)
		}
	}
}

// rotateCells rotates the list of cells with each digest, so that over several digests every
// cell is included.
func (n *Node) rotateCells(d *Digest) {
	if len(d.Cells) < 2 {
		return
	}
	slices.SortFunc(d.Cells, func(a, b scheduler.CellSummary) int { return cmp.Compare(a.ID, b.ID) })
	at := int(n.digestCount.Add(1)) % len(d.Cells)
	d.Cells = append(d.Cells[at:], d.Cells[:at]...)
}

// shrink removes the least important part of d. It returns false if the remaining parts must
// not be removed.
func (d *Digest) shrink() bool {
	switch {
	case len(d.Cells) > 1:
		d.Cells = d.Cells[:len(d.Cells)/2]
	case len(d.Load.Services) > 0:
		d.Load = request.Load{}
	case len(d.Cells) > 0:
		d.Cells = nil
	case len(d.Leaving) > 0:
		d.Leaving = d.Leaving[:len(d.Leaving)/2]
	case len(d.Owned) > 0:
		d.Owned = nil
	default:
		return false
	}
	return true
}

func confirmedAge(view *control.View, now time.Time) time.Duration {
	if view.ConfirmedAt.IsZero() {
		return maxConfirmedAge
	}
	return min(view.Age(now), maxConfirmedAge)
}

// mergeDigest applies the digest of a peer. Ages are counted from the start of the exchange, so
// that network delay never makes a confirmation appear newer than it is. An exchange that the
// peer began confirms nothing, because its network delay is unknown.
func (n *Node) mergeDigest(peer membership.Peer, data json.RawMessage) {
	var d Digest
	if err := json.Unmarshal(data, &d); err != nil {
		n.log.WithError(err).WithField("peer", string(peer.Node)).Warn("failed to decode the digest of a peer; upgrade the older node")
		return
	}
	now := time.Now()
	n.peerReports.set(peer.Node, d.Sequence, now.Add(-time.Duration(d.ConfirmedAge)*time.Millisecond))
	n.shares.Observe(peer.Node, d.Share, peer.ExchangeStart)
	if !peer.ExchangeStart.IsZero() {
		age := now.Sub(peer.ExchangeStart) + time.Duration(d.ConfirmedAge)*time.Millisecond
		n.control.Confirm(d.Sequence, age)
		n.chain.Observe(peer.Node, now.Sub(peer.ExchangeStart), d.Load)
	}
	if d.Sequence > n.control.View().Sequence {
		n.fetchControl(peer.Addr)
	}
	for id, epoch := range d.Owned {
		n.epochs.learn(id, epoch)
		n.owners.Learn(id, ownership.OwnerInfo{Node: peer.Node, Addr: peer.Addr, Epoch: epoch})
	}
	n.summaries.set(d.Cells, now)
	n.chain.MarkLeaving(d.Leaving)
}

// summaryTable holds the latest summary of each cell in the deployment.
type summaryTable struct {
	mu   sync.Mutex
	last map[model.CellID]timedSummary
}

type timedSummary struct {
	summary scheduler.CellSummary
	at      time.Time
}

// summaryTTL is the age at which the summary of a cell is deleted.
const summaryTTL = 30 * time.Second

func newSummaryTable() *summaryTable {
	return &summaryTable{last: map[model.CellID]timedSummary{}}
}

func (t *summaryTable) set(summaries []scheduler.CellSummary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range summaries {
		t.last[s.ID] = timedSummary{s, now}
	}
}

// recent returns the summaries that are not older than summaryTTL and deletes the others.
func (t *summaryTable) recent(now time.Time) []scheduler.CellSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]scheduler.CellSummary, 0, len(t.last))
	for id, s := range t.last {
		if now.Sub(s.at) > summaryTTL {
			delete(t.last, id)
			continue
		}
		out = append(out, s.summary)
	}
	return out
}
