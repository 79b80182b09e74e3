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

// Digest is what a node tells its peers with each gossip exchange.
type Digest struct {
	// Sequence is the applied control sequence, ConfirmedAge the age of its last
	// confirmation in milliseconds.
	Sequence     uint64 `json:"seq"`
	ConfirmedAge int64  `json:"age_ms"`
	// Owned holds the sender's cells with their epochs.
	Owned map[model.CellID]model.Epoch `json:"owned,omitempty"`
	// Cells describes the sender's cells.
	Cells []scheduler.CellSummary `json:"cells,omitempty"`
	// Leaving lists runners that the sender saw leaving.
	Leaving []string     `json:"leaving,omitempty"`
	Load    request.Load `json:"load"`
	Share   share.Digest `json:"share"`
}

// unconfirmedAge is the age reported for a view that was never confirmed.
const unconfirmedAge = 24 * time.Hour

// localDigest describes this node in at most limit bytes. What does not fit is
// left out, least needed first: cells' summaries and the load repeat with every
// exchange, while confirmations and slot shares must arrive.
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
		n.log.WithError(err).Error("digest could not be encoded")
	}
	return data
}

// encode returns the digest in at most limit bytes, without what does not fit.
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

// rotateCells starts the list at another cell each time, so that each fits into
// some digest.
func (n *Node) rotateCells(d *Digest) {
	if len(d.Cells) < 2 {
		return
	}
	slices.SortFunc(d.Cells, func(a, b scheduler.CellSummary) int { return cmp.Compare(a.ID, b.ID) })
	at := int(n.digests.Add(1)) % len(d.Cells)
	d.Cells = append(d.Cells[at:], d.Cells[:at]...)
}

// shrink drops the least needed part that is left, and reports false when
// nothing more may be left out.
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
		return unconfirmedAge
	}
	return min(view.Age(now), unconfirmedAge)
}

// mergeDigest takes over what a peer said. Ages are counted from when this node
// began the exchange, so that transit never makes them look smaller; an exchange
// that the peer began confirms nothing, as its time under way is unknown.
func (n *Node) mergeDigest(peer membership.Peer, data json.RawMessage) {
	var d Digest
	if err := json.Unmarshal(data, &d); err != nil {
		n.log.WithError(err).WithField("peer", string(peer.Node)).Warn("digest not readable; upgrade the older node")
		return
	}
	now := time.Now()
	n.heard.set(peer.Node, d.Sequence, now.Add(-time.Duration(d.ConfirmedAge)*time.Millisecond))
	n.shares.Observe(peer.Node, d.Share, peer.Begun)
	if !peer.Begun.IsZero() {
		age := now.Sub(peer.Begun) + time.Duration(d.ConfirmedAge)*time.Millisecond
		n.control.Confirm(d.Sequence, age)
		n.chain.Observe(peer.Node, now.Sub(peer.Begun), d.Load)
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

// summaryLife is the age at which a cell's summary is dropped.
const summaryLife = 30 * time.Second

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

// recent returns the summaries that are not too old.
func (t *summaryTable) recent(now time.Time) []scheduler.CellSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]scheduler.CellSummary, 0, len(t.last))
	for id, s := range t.last {
		if now.Sub(s.at) > summaryLife {
			delete(t.last, id)
			continue
		}
		out = append(out, s.summary)
	}
	return out
}
