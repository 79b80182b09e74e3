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
	// modelReads bounds the cells that a leader reads at once, whatever their number.
	modelReads = 4
)

// addModels adds what was learnt of images to a transaction, now and then.
func (t *term) addModels(c *commit) {
	if t.now.Sub(t.modelsStored) < modelInterval || len(t.harm.models) == 0 {
		return
	}
	t.modelsStored = t.now
	records := map[string]modelRecord{}
	for image, m := range t.harm.models {
		records[image] = m.record()
	}
	value := encode(records)
	if t.cfg.Limits.RowBytes > 0 && len(value) > t.cfg.Limits.RowBytes {
		return // more images than a row holds: the next leader learns anew
	}
	c.tx.Puts = append(c.tx.Puts, Row{RowID: RowID{tableModels, t.part, keyLeader}, Value: value})
}

// modelsRow takes what an earlier term of this cell has learnt.
func (t *term) modelsRow(row Row) {
	for image, r := range t.modelRecords(row) {
		if m := restoreModel(r); m != nil && t.harm.models[image] == nil {
			t.harm.models[image] = m
			t.harm.noteFillers(m)
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
	if others == 0 || t.readingModels || t.now.Sub(t.modelsRead) < modelInterval {
		return
	}
	t.readingModels, t.modelsRead = true, t.now
	var cells []int
	for range min(modelReads, others) {
		t.modelsNext = t.modelsNext%others + 1 // 1 to others, counted from the own cell
		cells = append(cells, (t.cell+t.modelsNext)%t.layout.Cells)
	}
	go func() {
		rows := map[int]Row{}
		for _, cell := range cells {
			if row, found := t.readModelsOf(cell); found {
				rows[cell] = row
			}
		}
		t.post(modelsOfCells{rows})
	}()
}

// readModelsOf reads the row of a cell. One that cannot be read is read in a later round.
func (t *term) readModelsOf(cell int) (Row, bool) {
	ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
	defer cancel()
	page, err := t.cfg.Store.List(ctx, tableModels, t.layout.cellPart(cell), keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return Row{}, false
	}
	return page.Rows[0], true
}

// modelsOfCells carries what other cells have learnt.
type modelsOfCells struct{ rows map[int]Row }

func (e modelsOfCells) handle(t *term) {
	t.readingModels = false
	for cell, row := range e.rows {
		t.harm.learnFrom(cell, t.modelRecords(row))
	}
}

// learnFrom takes the sums of another cell in place of those that it told before.
func (h *interference) learnFrom(cell int, records map[string]modelRecord) {
	for image, r := range records {
		other := restoreModel(r)
		if other == nil {
			continue
		}
		m := h.model(image)
		if m.others == nil {
			m.others = map[int]*serviceModel{}
		}
		m.others[cell] = other
		m.highest, m.stale = max(m.highest, other.highest), true
		h.noteFillers(other)
	}
}

// noteFillers remembers the images of fillers that a model knows.
func (h *interference) noteFillers(m *serviceModel) {
	for image := range m.fillers {
		h.fillers[image] = true
	}
}

// sums returns the regression's sums over this cell and the others, as copies.
func (m *serviceModel) sums() (a [][]float64, b []float64) {
	for _, o := range m.others {
		for image := range o.fillers {
			m.position(image)
		}
	}
	a = make([][]float64, len(m.a))
	for i := range a {
		a[i] = append([]float64(nil), m.a[i]...)
	}
	b = append([]float64(nil), m.b...)
	for _, o := range m.others {
		for image, i := range o.fillers {
			at := m.fillers[image]
			b[at] += o.b[i]
			for second, k := range o.fillers {
				a[at][m.fillers[second]] += o.a[i][k]
			}
		}
	}
	return a, b
}
