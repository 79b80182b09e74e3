package fleet

import (
	"context"
	"maps"
	"strconv"

	"github.com/sirupsen/logrus"
)

// ownsPart reports whether a part of the jobs' table belongs to the term's cell.
func (t *term) ownsPart(part string) bool {
	slot, err := strconv.Atoi(part)
	return err == nil && slot >= 0 && slot < len(t.layout.Slots) && int(t.layout.Slots[slot]) == t.cell
}

// owns reports whether a worker that is new to the term belongs to its cell, and
// remembers entries that do not.
func (t *term) owns(row Row, info WorkerInfo) bool {
	cell, known := t.placed.cellOfWorker(info)
	switch {
	case !known:
		t.unplaced[row.Key] = row
		return false
	case cell != t.cell:
		t.foreign[row.Key] = cell
		return false
	}
	return true
}

// layoutChanged reports a layout with more racks.
type layoutChanged struct{ layout *layout }

func (e layoutChanged) handle(t *term) {
	if e.layout.version <= t.placed.version {
		return
	}
	t.placed = e.layout
	rows := t.unplaced
	t.unplaced = map[string]Row{}
	for _, row := range rows {
		t.workerRow(row)
	}
}

// placeRacks lets the leader of the first cell give new racks to cells.
func (t *term) placeRacks() {
	if t.cell != 0 || len(t.unplaced) == 0 || t.placingRacks || !t.active() {
		return
	}
	racks := map[string]int{}
	for _, row := range t.unplaced {
		if info, err := t.cfg.Decoder.Worker(row); err == nil {
			racks[rackGroup(info)]++
		}
	}
	t.placingRacks = true
	go t.storeRacks(t.placed, racks)
}

// racksPlaced ends a try to extend the layout.
type racksPlaced struct{ layout *layout }

func (e racksPlaced) handle(t *term) {
	t.placingRacks = false
	if e.layout != nil {
		layoutChanged(e).handle(t)
	}
}

// storeRacks extends the layout. It expects the version that it extends, so that two
// leaders cannot both place a rack.
func (t *term) storeRacks(old *layout, racks map[string]int) {
	l := &layout{Cells: old.Cells, Slots: old.Slots, Racks: maps.Clone(old.Racks)}
	known := map[string]int{}
	for rack := range old.Racks {
		known[rack] = 1 // sizes of other cells' racks are not known here
	}
	for rack := range racks {
		racks[rack] = 1
	}
	l.addRacks(racks, known)
	ctx, cancel := context.WithTimeout(t.ctx, campaignTimeout)
	defer cancel()
	result, err := t.cfg.Store.Commit(ctx, Transaction{Expect: []Expectation{{layoutRow(), old.version}}, Puts: []Row{{RowID: layoutRow(), Value: encode(l)}}})
	t.log.WithFields(logrus.Fields{"decision": "layout", "racks": len(racks), "choice": outcome(err)}).Info("new racks get a cell")
	if err != nil {
		l = nil // the watch brings the newest, or the next tick tries again
	} else {
		l.version = result.Version
	}
	t.post(racksPlaced{l})
}
