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

// ownsWorker reports whether a worker that is new to the term belongs to its cell. It records
// workers that do not.
func (t *term) ownsWorker(row Row, info WorkerInfo) bool {
	cell, known := t.currentLayout.cellOfWorker(info)
	switch {
	case !known:
		t.unassignedWorkers[row.Key] = row
		return false
	case cell != t.cell:
		t.foreignWorkers[row.Key] = cell
		return false
	}
	return true
}

// layoutChanged reports a layout with more racks.
type layoutChanged struct{ layout *layout }

func (e layoutChanged) handle(t *term) {
	if e.layout.version <= t.currentLayout.version {
		return
	}
	t.currentLayout = e.layout
	rows := t.unassignedWorkers
	t.unassignedWorkers = map[string]Row{}
	for _, row := range rows {
		t.handleWorkerRow(row)
	}
}

// assignNewRacks assigns new racks to cells. Only the leader of the first cell does so.
func (t *term) assignNewRacks() {
	if t.cell != 0 || len(t.unassignedWorkers) == 0 || t.assigningRacks || !t.active() {
		return
	}
	racks := map[string]int{}
	for _, row := range t.unassignedWorkers {
		if info, err := t.cfg.Decoder.Worker(row); err == nil {
			racks[rackGroup(info)]++
		}
	}
	t.assigningRacks = true
	go t.extendLayout(t.currentLayout, racks)
}

// racksAssigned reports the result of extendLayout; layout is nil if it failed.
type racksAssigned struct{ layout *layout }

func (e racksAssigned) handle(t *term) {
	t.assigningRacks = false
	if e.layout != nil {
		layoutChanged(e).handle(t)
	}
}

// extendLayout stores a layout with new racks. It expects the version that it extends, so that
// two leaders cannot both assign a rack.
func (t *term) extendLayout(old *layout, racks map[string]int) {
	l := &layout{Cells: old.Cells, Slots: old.Slots, Racks: maps.Clone(old.Racks), Workers: old.Workers}
	known := map[string]int{}
	for rack := range old.Racks {
		known[rack] = 1 // the sizes of other cells' racks are not known here, so all count the same
	}
	for rack, n := range racks {
		if old.Workers > 0 {
			l.Workers += n
		}
		racks[rack] = 1
	}
	l.addRacks(racks, known)
	ctx, cancel := context.WithTimeout(t.ctx, campaignTimeout)
	defer cancel()
	result, err := t.cfg.Store.Commit(ctx, Transaction{Expect: []Expectation{{layoutRow(), old.version}}, Puts: []Row{{RowID: layoutRow(), Value: encode(l)}}})
	t.log.WithFields(logrus.Fields{"decision": "layout", "racks": len(racks), "choice": resultLabel(err)}).Info("proposed cells for new racks")
	if err != nil {
		l = nil // the watch delivers a newer layout, or the next tick retries
	} else {
		l.version = result.Version
	}
	t.post(racksAssigned{l})
}
