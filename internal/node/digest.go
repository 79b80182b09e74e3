package node

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
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

// localDigest describes this node.
func (n *Node) localDigest() (json.RawMessage, error) {
	now := time.Now()
	view := n.control.View()
	var cells []scheduler.CellSummary
	for _, report := range n.cells.Reports() {
		cells = append(cells, report.Summary)
	}
	n.summaries.set(cells, now)
	return json.Marshal(Digest{
		Sequence: view.Sequence, ConfirmedAge: confirmedAge(view, now).Milliseconds(),
		Owned: n.cells.Epochs(), Cells: cells,
		Leaving: n.chain.Leaving(), Load: n.chain.Load(), Share: n.shares.Digest(),
	})
}

func confirmedAge(view *control.View, now time.Time) time.Duration {
	if view.ConfirmedAt.IsZero() {
		return unconfirmedAge
	}
	return min(view.Age(now), unconfirmedAge)
}

// mergeDigest takes over what a peer said in an exchange that began at begun on
// this node's clock. All ages are counted from there, so that transit never
// makes them look smaller.
func (n *Node) mergeDigest(peer model.NodeID, addr string, data json.RawMessage, begun time.Time) error {
	var d Digest
	if err := json.Unmarshal(data, &d); err != nil {
		return model.Wrap(model.KindInvalid, err, "upgrade the older node", "digest of node %s", peer)
	}
	now := time.Now()
	age := now.Sub(begun) + time.Duration(d.ConfirmedAge)*time.Millisecond
	n.control.Confirm(d.Sequence, age)
	if d.Sequence > n.control.View().Sequence {
		n.fetchControl(addr)
	}
	for id, epoch := range d.Owned {
		n.owners.Learn(id, ownership.OwnerInfo{Node: peer, Addr: addr, Epoch: epoch})
	}
	n.summaries.set(d.Cells, now)
	n.chain.MarkLeaving(d.Leaving)
	n.chain.Observe(peer, now.Sub(begun), d.Load)
	n.shares.Observe(peer, d.Share, begun)
	return nil
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
