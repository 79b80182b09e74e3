package fleet

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// cell is a node's view of one cell of the fleet. It holds the latest term in which the
// node leads or has led the cell.
type cell struct {
	index int
	part  string
	term  atomic.Pointer[term]
	// confirmations is what this process remembers as a witness of the cell's leaders.
	confirmations confirmations
	leader        atomic.Pointer[leaderSnapshot]
	leaderCalls   leaderCallHealth
	// loadStalledAt is when this node last released leadership because it could not read the tables.
	loadStalledAt atomic.Pointer[time.Time]
	// campaignFailedAt is when a campaign of this node last failed although no other node had taken the lead.
	campaignFailedAt atomic.Pointer[time.Time]
	// watch is owned by the goroutine of watchLeaders.
	watch leaderWatch
}

// leaderSnapshot is the last renewal of a cell's leader, and when it was seen.
type leaderSnapshot struct {
	leaderRecord
	seenAt time.Time
}

// leading reports whether this node leads the cell.
func (c *cell) leading() bool {
	t := c.term.Load()
	return t != nil && t.ctx.Err() == nil
}

// cellTable is the current layout with this node's view of its cells.
type cellTable struct {
	layout *layout
	cells  []*cell
}

// cellOf returns the cell that owns a job.
func (d *cellTable) cellOf(id string) *cell { return d.cells[d.layout.cellOf(id)] }

// cellsLedBy counts the cells that a node leads, as far as this node knows.
func (d *cellTable) cellsLedBy(node model.NodeID) int {
	n := 0
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil && !l.Released && l.Node == node {
			n++
		}
	}
	return n
}

// cellLoads returns the loads that the leaders of all cells have reported.
func (d *cellTable) cellLoads() []reportedLoad {
	loads := make([]reportedLoad, 0, len(d.cells))
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil && l.Loaded && !l.Released {
			loads = append(loads, reportedLoad{c.index, l.Load, l.seenAt})
		}
	}
	return loads
}

// notifyCell sends a row that was just stored to the leader of a cell.
func (n *Node) notifyCell(cell int, row Row) {
	if c := n.cell(cell); c != nil {
		n.notifyLeader(c, row)
	}
}

// ledCells counts the cells that this node leads.
func (n *Node) ledCells() int {
	d := n.cellTable.Load()
	if d == nil {
		return 0
	}
	led := 0
	for _, c := range d.cells {
		if c.leading() {
			led++
		}
	}
	return led
}

// maxMilliCPU returns the largest processor share among the leaders and this host.
func (n *Node) maxMilliCPU(d *cellTable) int64 {
	most := n.cfg.Limits.MilliCPU
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil {
			most = max(most, l.MilliCPU)
		}
	}
	return most
}

// isSmall reports whether clearly larger hosts lead.
func (n *Node) isSmall(d *cellTable) bool { return muchLarger(n.maxMilliCPU(d), n.cfg.Limits.MilliCPU) }

// campaignExtraDelay is how much longer than other nodes this node waits before a campaign.
// Small hosts and hosts that already lead cells wait longer, so that few nodes campaign at
// the same time, and the lead of a large host goes to another one without a hand-over. A host
// that does not carry another cell leaves it to those that do.
func (n *Node) campaignExtraDelay(d *cellTable) time.Duration {
	led := n.ledCells()
	h, largest := time.Duration(led)*ledCellDelay, n.maxMilliCPU(d)
	if led > 0 && !d.layout.carries(n.cfg.Limits, led+1) {
		h += fullHostDelay
	}
	if len(d.cells) > 1 {
		largest = max(largest, largeHostMilliCPU)
	}
	if own := n.cfg.Limits.MilliCPU; own > 0 {
		ratio := float64(largest)/float64(own) - 1
		h += min(time.Duration(ratio*float64(smallHostDelay)), smallHostDelayMax)
	}
	return h
}

// applyLayoutRow applies the layout of a row if it is newer than the current one.
func (n *Node) applyLayoutRow(row Row) {
	var l layout
	if row.Removed {
		return
	}
	if err := decodeRecord(row, &l); err != nil || !l.valid() {
		n.log.WithError(err).Error("layout cannot be read")
		return
	}
	l.version = row.Version
	n.applyLayout(&l)
}

func (n *Node) applyLayout(l *layout) {
	old := n.cellTable.Load()
	if old != nil && (old.layout.version >= l.version || old.layout.Cells != l.Cells) {
		if old.layout.Cells != l.Cells {
			n.log.WithFields(logrus.Fields{"cells": l.Cells, "cells_known": old.layout.Cells}).Error("ignored a layout with another number of cells; restart the nodes together")
		}
		return
	}
	d := &cellTable{layout: l}
	if old != nil {
		d.cells = old.cells
	} else {
		for i := range l.Cells {
			c := &cell{index: i, part: l.cellPart(i), watch: leaderWatch{jitter: randomCampaignJitter()}}
			d.cells = append(d.cells, c)
		}
	}
	n.cellTable.Store(d)
	n.metrics.cells.Set(float64(l.Cells))
	n.log.WithFields(logrus.Fields{"event": "layout", "cells": l.Cells, "racks": len(l.Racks), "version": l.version}).Info("layout applied")
	for _, c := range d.cells {
		if t := c.term.Load(); t != nil && t.ctx.Err() == nil {
			go t.post(layoutChanged{l}) // posting may block while the loop is busy
		}
	}
}

// randomCampaignJitter returns a random delay that spreads the campaigns of the nodes.
func randomCampaignJitter() time.Duration { return time.Duration(rand.Int64N(int64(campaignJitter))) }
