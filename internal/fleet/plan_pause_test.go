package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Beside a backlog the leader planned after each event, and answers of workers to starts and paces came
// too late: orders were repeated, and idle jobs got no run for seconds.
func TestPlansLeaveTimeForAnswersBesideABacklog(t *testing.T) {
	tm := loadedTerm(t)
	require.Equal(t, planInterval, tm.planPause())
	const jobs = 100
	for i := range jobs {
		j := newJob(fmt.Sprint("waits", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 8, Needs: model.Resources{MilliCPU: 1000}}}}}, 0, tm.now)
		j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id] = j
	}
	tm.plan()
	require.Equal(t, planInterval+(jobs-cheapPlanSteps)*planIntervalPerStep, tm.planPause())
	tm.plannedSteps = 1 << 20
	require.Equal(t, maxPlanInterval, tm.planPause())
	clear(tm.jobs)
	tm.plan()
	require.Equal(t, planInterval, tm.planPause())
}
