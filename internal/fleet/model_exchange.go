package fleet

import (
	"context"
	"time"
)

// What fillers of an image take from services of another is the same in all cells. A
// model is made of sums over reports, so the leaders add up what they have stored: a pair
// of images that one cell has seen together is known to all.

const (
	// modelInterval is how often what was learnt is stored, and read of other cells; a new
	// leader would learn it again within some seconds, at the cost of the services.
	modelInterval = 2 * time.Second
	// maxModelReads bounds the cells that a leader reads at once, whatever their number.
	maxModelReads = 4
)

// appendModels adds what was learnt of images to a transaction, now and then.
func (t *term) appendModels(c *commit) {
	if t.now.Sub(t.modelsStoredAt) < modelInterval || len(t.interference.models) == 0 {
		return
	}
	t.modelsStoredAt = t.now
	records := map[string]modelRecord{}
	for image, m := range t.interference.models {
		records[image] = m.record()
	}
	value := encode(records)
	if t.cfg.Limits.RowBytes > 0 && len(value) > t.cfg.Limits.RowBytes {
		return // more images than a row holds: the next leader learns anew
	}
	c.tx.Puts = append(c.tx.Puts, Row{RowID: RowID{tableModels, t.part, keyLeader}, Value: value})
}

// restoreModels takes what an earlier term of this cell has learnt.
func (t *term) restoreModels(row Row) {
	for image, r := range t.modelRecords(row) {
		if m := restoreModel(r); m != nil && t.interference.models[image] == nil {
			t.interference.models[image] = m
			t.interference.addFillerImages(m)
		}
	}
}

func (t *term) modelRecords(row Row) map[string]modelRecord {
	var records map[string]modelRecord
	if err := decodeRecord(row, &records); err != nil {
		t.log.WithError(err).Warn("what was learnt of images cannot be read")
		return nil
	}
	return records
}

// readModels reads what some of the other cells have learnt, each time the next ones.
func (t *term) readModels() {
	others := t.layout.Cells - 1
	if others == 0 || t.readingModels || t.now.Sub(t.modelsReadAt) < modelInterval {
		return
	}
	t.readingModels, t.modelsReadAt = true, t.now
	var cells []int
	for range min(maxModelReads, others) {
		t.nextModelCell = t.nextModelCell%others + 1 // 1 to others, counted from the own cell
		cells = append(cells, (t.cell+t.nextModelCell)%t.layout.Cells)
	}
	go func() {
		rows := map[int]Row{}
		for _, cell := range cells {
			if row, found := t.readCellModels(cell); found {
				rows[cell] = row
			}
		}
		t.post(cellModelsRead{rows})
	}()
}

// readCellModels reads the row of a cell. One that cannot be read is read in a later round.
func (t *term) readCellModels(cell int) (Row, bool) {
	ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
	defer cancel()
	page, err := t.cfg.Store.List(ctx, tableModels, t.layout.cellPart(cell), keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return Row{}, false
	}
	return page.Rows[0], true
}

// cellModelsRead carries what other cells have learnt.
type cellModelsRead struct{ rows map[int]Row }

func (e cellModelsRead) handle(t *term) {
	t.readingModels = false
	for cell, row := range e.rows {
		t.interference.mergeCell(cell, t.modelRecords(row))
	}
}

// mergeCell takes the sums of another cell in place of those that it told before.
func (h *interference) mergeCell(cell int, records map[string]modelRecord) {
	for image, r := range records {
		other := restoreModel(r)
		if other == nil {
			continue
		}
		m := h.model(image)
		if m.otherCells == nil {
			m.otherCells = map[int]*pressureModel{}
		}
		m.otherCells[cell] = other
		m.highestHeadroom, m.stale = max(m.highestHeadroom, other.highestHeadroom), true
		h.addFillerImages(other)
	}
}

// addFillerImages remembers the images of fillers that a model knows.
func (h *interference) addFillerImages(m *pressureModel) {
	for image := range m.fillerIndexes {
		h.fillerImages[image] = true
	}
}

// combinedSums returns the regression's sums over this cell and the others, as copies.
func (m *pressureModel) combinedSums() (a [][]float64, b []float64) {
	for _, o := range m.otherCells {
		for image := range o.fillerIndexes {
			m.fillerIndex(image)
		}
	}
	a = make([][]float64, len(m.a))
	for i := range a {
		a[i] = append([]float64(nil), m.a[i]...)
	}
	b = append([]float64(nil), m.b...)
	for _, o := range m.otherCells {
		for image, i := range o.fillerIndexes {
			at := m.fillerIndexes[image]
			b[at] += o.b[i]
			for second, k := range o.fillerIndexes {
				a[at][m.fillerIndexes[second]] += o.a[i][k]
			}
		}
	}
	return a, b
}
