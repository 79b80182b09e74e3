package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Merging the models of two cells that saw half of the reports each must give the same result
// as one model of all reports. Models of other cells must not be stored as a cell's own: they
// would be counted again in each exchange.
func TestModelsOfCellsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	pressure := map[string]float64{"a": 3, "b": 0.2, "c": 1}
	var halves [2]interference
	whole := newInterference()
	for i := range halves {
		halves[i] = newInterference()
	}
	for i := range 400 {
		change, loss := map[string]float64{}, 0.0
		for image, p := range pressure {
			if image == "c" && i%2 == 0 {
				continue // the first cell never sees this image
			}
			share := 0.2*random.Float64() - 0.1
			change[image] = share
			loss += p * share
		}
		whole.model("s").observe(loss, change)
		halves[i%2].model("s").observe(loss, change)
	}
	now := at(1)
	first := halves[0].model("s")
	require.InDelta(t, first.prior(), first.pressure("c", now), 1e-9)
	for range 3 { // a record replaces the earlier one of the same cell
		halves[0].mergeCell(1, map[string]modelRecord{"s": halves[1].model("s").record()})
	}
	now = at(2)
	for image := range pressure {
		require.InDelta(t, whole.model("s").pressure(image, now), first.pressure(image, now), 0.05, image)
	}
	require.True(t, halves[0].fillerImages["c"])
	own := restoreModel(first.record())
	require.InDelta(t, first.prior(), own.pressure("c", now), 1e-9, "models of other cells are not stored as the own one")
}

func TestInvalidModelsOfOtherCellsAreIgnored(t *testing.T) {
	h := newInterference()
	h.mergeCell(1, map[string]modelRecord{"s": {FillerIndexes: map[string]int{"a": 7}, A: [][]float64{{1}}, B: []float64{1}, HighestHeadroom: 4}})
	require.Empty(t, h.models)
}

// modelStore holds the row of models of each part. It supports only List.
type modelStore map[string]Row

// List implements Store.
func (s modelStore) List(_ context.Context, table, part, _, _ string, _ int) (Page, error) {
	row, found := s[part]
	if !found || table != tableModels {
		return Page{}, nil
	}
	return Page{Rows: []Row{row}}, nil
}

// Commit implements Store.
func (modelStore) Commit(context.Context, Transaction) (Commit, error) {
	return Commit{}, errors.ErrUnsupported
}

// Watch implements Store.
func (modelStore) Watch(context.Context, string, uint64, time.Duration) (Page, error) {
	return Page{}, errors.ErrUnsupported
}

// A leader reads the models of a few cells in each round. It must reach all cells in turn and
// start no second round while one is in progress.
func TestModelsOfAllCellsAreRead(t *testing.T) {
	const cells = 12
	tm := newTestTerm(cells)
	store := modelStore{}
	tm.cfg.Store = store
	h := newInterference()
	h.model("s").observe(0.3, map[string]float64{"a": 0.1})
	records := map[string]modelRecord{"s": h.model("s").record()}
	for cell := range cells {
		store[tm.layout.cellPart(cell)] = Row{RowID: RowID{tableModels, tm.layout.cellPart(cell), keyLeader}, Value: encode(records)}
	}
	for range 3 {
		tm.now = tm.now.Add(modelInterval)
		tm.readModels()
		tm.readModels() // no effect while a round is in progress
		e := (<-tm.events[classOrder]).event.(cellModelsRead)
		require.Len(t, e.rows, maxModelReads)
		e.handle(tm)
	}
	require.Len(t, tm.interference.model("s").otherCells, cells-1)
	require.NotContains(t, tm.interference.model("s").otherCells, tm.cell)
}

func TestTrendsOfEndedStepsAreDropped(t *testing.T) {
	h := newInterference()
	ended, reports := stepID{job: "ended"}, stepID{job: "reports"}
	h.trends[ended], h.trends[reports] = &headroomTrend{updatedAt: epoch}, &headroomTrend{updatedAt: at(8)}
	h.dropStaleTrends(epoch.Add(8*time.Second + trendMaxAge/2))
	require.Len(t, h.trends, 1)
	require.NotNil(t, h.trends[reports])
}
