package fleet_test

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// marginCell sums up the plays of one combination of faults.
type marginCell struct {
	marginFaults
	plays, violations int
	waits             []restartWait // the longest first
}

func (c *marginCell) median() time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	return c.waits[len(c.waits)/2].length()
}

// longest returns the longest wait, and calmest the one with the longest part in calm time.
func (c *marginCell) longest() restartWait {
	return c.most(restartWait.length)
}

func (c *marginCell) calmest() restartWait {
	return c.most(func(w restartWait) time.Duration { return w.calm })
}

func (c *marginCell) most(by func(restartWait) time.Duration) (most restartWait) {
	for _, w := range c.waits {
		if by(w) > by(most) {
			most = w
		}
	}
	return most
}

// playCell plays one combination of faults with count seeds from first on.
func playCell(t *testing.T, f marginFaults, first, count int) *marginCell {
	cell := &marginCell{marginFaults: f}
	for seed := first; seed < first+count; seed++ {
		ok := t.Run(fmt.Sprintf("leader %s, worker %s, store %s/%d", f.leader, f.worker, f.store, seed), func(t *testing.T) {
			playRestartMargin(t, f, uint64(seed), func(waits []restartWait) {
				cell.plays++
				cell.waits = append(cell.waits, waits...)
			})
		})
		if !ok {
			cell.violations++
		}
	}
	slices.SortFunc(cell.waits, func(a, b restartWait) int { return int(b.length() - a.length()) })
	return cell
}

// TestRestartMargin plays the combinations of faults with the seeds that FLEET_MARGIN names and writes what
// it measures to a file, such as "1,10,testdata/restart-margin/after.csv".
func TestRestartMargin(t *testing.T) {
	v := os.Getenv("FLEET_MARGIN")
	if v == "" {
		t.Skip("FLEET_MARGIN is not set")
	}
	var first, count int
	var file string
	_, err := fmt.Sscanf(v, "%d,%d,%s", &first, &count, &file)
	require.NoError(t, err)
	stores := marginStores
	if s := os.Getenv("FLEET_MARGIN_STORE"); s != "" {
		stores = []string{s}
	}
	var cells []*marginCell
	for _, store := range stores {
		for _, leader := range marginLeaders {
			for _, worker := range marginWorkerKinds {
				cells = append(cells, playCell(t, marginFaults{leader, worker, store}, first, count))
			}
		}
	}
	require.NoError(t, writeMarginCells(file, cells))
}

var marginColumns = []string{"store", "leader", "worker", "plays", "lost", "median_ms", "longest_ms", "calm_ms", "reason", "seed", "calm_reason", "calm_seed", "broken", "violations"}

func writeMarginCells(file string, cells []*marginCell) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	w := csv.NewWriter(out)
	rows := [][]string{marginColumns}
	for _, c := range cells {
		rows = append(rows, c.row())
	}
	if err := w.WriteAll(rows); err != nil {
		return err
	}
	return out.Close()
}

func (c *marginCell) row() []string {
	broken := 0
	for _, w := range c.waits {
		if w.broken {
			broken++
		}
	}
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	longest, calmest := c.longest(), c.calmest()
	return []string{c.store, c.leader, c.worker, strconv.Itoa(c.plays), strconv.Itoa(len(c.waits)), ms(c.median()), ms(longest.length()), ms(calmest.calm),
		longest.reason, strconv.FormatUint(longest.seed, 10), calmest.reason, strconv.FormatUint(calmest.seed, 10), strconv.Itoa(broken), strconv.Itoa(c.violations)}
}
