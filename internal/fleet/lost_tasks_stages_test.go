package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lostTaskStages are the decisions of leaders that the table shows, in the order in which a task passes them; what
// the code logs of no task is shown as missing.
var lostTaskStages = []struct{ name, decision, choice string }{
	{"known as lost", "end", "lost"}, {"room kept", "keep", ""}, {"lent", "lend", ""}, {"returned", "return", ""},
}

// TestLostTaskStages measures how long after its last run a lost task is known to be lost, lent and started, by the
// number of cells, and prints the medians and the longest as a table, with go test -v. FLEET_LOST_TASKS holds the
// first seed and the number of seeds.
func TestLostTaskStages(t *testing.T) {
	v := os.Getenv("FLEET_LOST_TASKS")
	if v == "" {
		t.Skip("FLEET_LOST_TASKS is not set")
	}
	var first, count uint64
	_, err := fmt.Sscanf(v, "%d,%d", &first, &count)
	require.NoError(t, err)
	table := "| cells | short work of priority | lost tasks |"
	for _, s := range lostTaskStages {
		table += " " + s.name + ", ms |"
	}
	table += " started, ms | not within 30 s |\n" + strings.Repeat("|---", 5+len(lostTaskStages)) + "|\n"
	for _, lc := range []lostTasksCase{manyLost(3, 1), manyLost(3, 0, 1), manyCells(3), manyCells(5)} {
		stages := make([][]time.Duration, len(lostTaskStages)+1)
		late := 0
		for seed := first; seed < first+count; seed++ {
			p := lc.play(t, seed, func(_ *testing.T, p *lostTasksPlay) {
				p.lose()
				for _, start := range p.awaitLostTasks(30 * time.Second) {
					if waited := start.Sub(p.lostAt); waited < 30*time.Second {
						stages[len(lostTaskStages)] = append(stages[len(lostTaskStages)], waited)
					} else {
						late++
					}
				}
			})
			for i, s := range lostTaskStages {
				stages[i] = append(stages[i], p.firstDecisions(t, s.decision, s.choice)...)
			}
		}
		table += fmt.Sprintf("| %d | %v | %d |", lc.cells, lc.priorities, int(count)*lc.lostTasks())
		for _, times := range stages {
			table += " " + medianAndLongest(times) + " |"
		}
		table += fmt.Sprintf(" %d |\n", late)
	}
	fmt.Print(table)
}

// firstDecisions returns the times from the loss to the first line with a decision for each lost task.
func (p *lostTasksPlay) firstDecisions(t *testing.T, decision, choice string) []time.Duration {
	first := map[string]time.Duration{}
	for line := range strings.Lines(p.log.String()) {
		var l struct {
			Time           time.Time
			Decision, Task string
			Choice         any // a number in lines of other decisions
		}
		require.NoError(t, json.Unmarshal([]byte(line), &l), line)
		if _, known := first[l.Task]; known || l.Decision != decision || choice != "" && l.Choice != any(choice) || !strings.HasPrefix(l.Task, jobID(0)+".") {
			continue
		}
		if l.Time.After(p.lostAt) {
			first[l.Task] = l.Time.Sub(p.lostAt)
		}
	}
	var times []time.Duration
	for _, d := range first {
		times = append(times, d)
	}
	return times
}

// medianAndLongest returns the number of some times with their median and longest in milliseconds.
func medianAndLongest(times []time.Duration) string {
	if len(times) == 0 {
		return "–"
	}
	slices.Sort(times)
	return fmt.Sprintf("%d / %d (%d)", times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(), len(times))
}
