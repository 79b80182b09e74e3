package fleet_test

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
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
// it measures, and the page of it: "1,20,after" plays seeds 1 to 20 and names them after.
func TestRestartMargin(t *testing.T) {
	v := os.Getenv("FLEET_MARGIN")
	if v == "" {
		t.Skip("FLEET_MARGIN is not set")
	}
	var first, count int
	var name string
	_, err := fmt.Sscanf(v, "%d,%d,%s", &first, &count, &name)
	require.NoError(t, err)
	rows := [][]string{marginColumns}
	for _, store := range marginStores {
		for _, leader := range marginLeaders {
			for _, worker := range marginWorkerKinds {
				rows = append(rows, playCell(t, marginFaults{leader, worker, store}, first, count).row())
			}
		}
	}
	var out strings.Builder
	require.NoError(t, csv.NewWriter(&out).WriteAll(rows))
	require.NoError(t, os.WriteFile(marginFile(name), []byte(out.String()), 0o644))
}

// TestRestartMarginPageShowsWhatWasMeasured compares the page of the margin with the figures, or writes it
// if FLEET_MARGIN is set.
func TestRestartMarginPageShowsWhatWasMeasured(t *testing.T) {
	var codes []marginCode
	for _, name := range []string{"before", "after"} {
		codes = append(codes, readMarginCode(t, name))
	}
	page, err := os.ReadFile(marginPage)
	require.NoError(t, err)
	head, _, found := strings.Cut(string(page), marginResultsHeading)
	require.True(t, found)
	text := head + marginResultsHeading + marginTables(codes)
	if os.Getenv("FLEET_MARGIN") != "" {
		require.NoError(t, os.WriteFile(marginPage, []byte(text), 0o644))
		require.NoError(t, os.WriteFile(marginPlot, []byte(marginSVG(codes)), 0o644))
		return
	}
	require.Equal(t, text, string(page))
	plot, err := os.ReadFile(marginPlot)
	require.NoError(t, err)
	require.Equal(t, marginSVG(codes), string(plot))
}

var marginColumns = []string{"store", "leader", "worker", "plays", "lost", "median_ms", "longest_ms", "calm_ms", "reason", "seed", "calm_reason", "calm_seed", "broken", "violations"}

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
