package fleet

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// cell is a node's view of one cell of the fleet, and the term in which it leads it.
type cell struct {
	index  int
	part   string
	term   atomic.Pointer[term]
	leader atomic.Pointer[seenLeader]
	link   linkHealth
	// follow belongs to the goroutine that follows the leaders.
	follow follow
}

// seenLeader is the last renewal of a cell's leader, and when it was seen.
type seenLeader struct {
	leaderRecord
	at time.Time
}

// leading reports whether this node leads the cell.
func (c *cell) leading() bool {
	t := c.term.Load()
	return t != nil && t.ctx.Err() == nil
}

// division is the layout in force with this node's view of its cells.
type division struct {
	layout *layout
	cells  []*cell
}

// cellOf returns the cell that owns a job.
func (d *division) cellOf(id string) *cell { return d.cells[d.layout.cellOf(id)] }

// led counts the cells that a node leads, as far as is known.
func (d *division) led(node model.NodeID) int {
	n := 0
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil && !l.Released && l.Node == node {
			n++
		}
	}
	return n
}

// rooms returns what the leaders of all cells tell of their load.
func (d *division) rooms() []cellRoom {
	rooms := make([]cellRoom, 0, len(d.cells))
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil && l.Loaded && !l.Released {
			rooms = append(rooms, cellRoom{c.index, l.Room, l.at})
		}
	}
	return rooms
}

// tellCell hands a row that was just stored to the leader of a cell.
func (n *Node) tellCell(cell int, row Row) {
	if c := n.cell(cell); c != nil {
		n.offer(c, row)
	}
}

// ledCells counts the cells that this node leads.
func (n *Node) ledCells() int {
	d := n.division.Load()
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

// largest returns the largest processor share among the leaders and this host.
func (n *Node) largest(d *division) int64 {
	most := n.cfg.Limits.MilliCPU
	for _, c := range d.cells {
		if l := c.leader.Load(); l != nil {
			most = max(most, l.MilliCPU)
		}
	}
	return most
}

// isSmall reports whether clearly larger hosts lead.
func (n *Node) isSmall(d *division) bool { return larger(n.largest(d), n.cfg.Limits.MilliCPU) }

// handicap is how much longer than others this node waits before a campaign, so that
// few nodes campaign at once, and large hosts without a cell first.
func (n *Node) handicap(d *division) time.Duration {
	if len(d.cells) == 1 {
		return 0
	}
	h := time.Duration(n.ledCells()) * ledHandicap
	if own := n.cfg.Limits.MilliCPU; own > 0 {
		ratio := float64(max(n.largest(d), largeHost))/float64(own) - 1
		h += min(time.Duration(ratio*float64(sizeHandicap)), sizeHandicapMax)
	}
	return h
}

// takeLayout puts a layout in force that is newer than the one known.
func (n *Node) takeLayout(row Row) {
	var l layout
	if row.Removed {
		return
	}
	if err := decodeRecord(row, &l); err != nil || !l.valid() {
		n.log.WithError(err).Error("layout cannot be read")
		return
	}
	l.version = row.Version
	n.useLayout(&l)
}

func (n *Node) useLayout(l *layout) {
	old := n.division.Load()
	if old != nil && (old.layout.version >= l.version || old.layout.Cells != l.Cells) {
		if old.layout.Cells != l.Cells {
			n.log.WithFields(logrus.Fields{"cells": l.Cells, "cells_known": old.layout.Cells}).Error("layout with another number of cells is ignored; restart the nodes together")
		}
		return
	}
	d := &division{layout: l}
	if old != nil {
		d.cells = old.cells
	} else {
		for i := range l.Cells {
			c := &cell{index: i, part: l.cellPart(i), follow: follow{spread: randomSpread()}}
			d.cells = append(d.cells, c)
		}
	}
	n.division.Store(d)
	n.metrics.cells.Set(float64(l.Cells))
	n.log.WithFields(logrus.Fields{"event": "layout", "cells": l.Cells, "racks": len(l.Racks), "version": l.version}).Info("layout in force")
	for _, c := range d.cells {
		if t := c.term.Load(); t != nil && t.ctx.Err() == nil {
			go t.post(layoutChanged{l}) // the loop may be busy
		}
	}
}

// randomSpread spreads the campaigns of the nodes.
func randomSpread() time.Duration { return time.Duration(rand.Int64N(int64(campaignSpread))) }
