package fleet

import (
	"context"
	"time"
)

// The pressure of fillers of one image on services of another is the same in all cells. A
// model consists of sums over reports, so a leader can add the sums that the leaders of
// other cells have stored. A pair of images that one cell has seen together is then known
// to all cells.

const (
	// modelInterval is how often models are stored, and read from other cells. Without stored
	// models a new leader would learn them again within some seconds, while services suffer.
	modelInterval = 2 * time.Second
	// maxModelReads bounds the cells whose models a leader reads at once.
	maxModelReads = 4
)

// appendModels adds the models to a transaction, once per modelInterval.
func (t *term) appendModels(c *pendingCommit) {
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
		return // too many images for one row: the next leader starts without models
	}
	c.tx.Puts = append(c.tx.Puts, Row{RowID: RowID{tableModels, t.part, keyLeader}, Value: value})
}

// restoreModels restores the models that an earlier term of this cell has stored.
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
		t.log.WithError(err).Warn("stored pressure models cannot be decoded")
		return nil
	}
	return records
}

// readModels reads the models of some other cells, taking all cells in turn.
func (t *term) readModels() {
	others := t.layout.Cells - 1
	if others == 0 || t.readingModels || t.now.Sub(t.modelsReadAt) < modelInterval {
		return
	}
	t.readingModels, t.modelsReadAt = true, t.now
	var cells []int
	for range min(maxModelReads, others) {
		t.lastModelOffset = t.lastModelOffset%others + 1 // 1 to others, counted from the own cell
		cells = append(cells, (t.cell+t.lastModelOffset)%t.layout.Cells)
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

// readCellModels reads the models row of a cell. A row that cannot be read is read again in
// a later round.
func (t *term) readCellModels(cell int) (Row, bool) {
	ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
	defer cancel()
	page, err := t.cfg.Store.List(ctx, tableModels, t.layout.cellPart(cell), keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return Row{}, false
	}
	return page.Rows[0], true
}

// cellModelsRead carries the models rows of other cells.
type cellModelsRead struct{ rows map[int]Row }

func (e cellModelsRead) handle(t *term) {
	t.readingModels = false
	for cell, row := range e.rows {
		t.interference.mergeCell(cell, t.modelRecords(row))
	}
}

// mergeCell replaces the sums of another cell by newer ones.
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

// addFillerImages records the images of fillers that a model knows.
func (h *interference) addFillerImages(m *pressureModel) {
	for image := range m.fillerIndexes {
		h.fillerImages[image] = true
	}
}

// combinedSums returns copies of the regression's sums, added over this and the other cells.
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
