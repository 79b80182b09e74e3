package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Room that became free in a cell stood empty for services that might be lost there a moment later, while services of
// another cell had waited for room since their loss.
func TestFreedRoomServesLostTasksOfAnotherCellAtOnce(t *testing.T) {
	lc := manyCells(2)
	lc.leaves, lc.lease = func(int, bool) bool { return false }, leaseOfLeaders
	forSeeds(t, func(t *testing.T, seed uint64) {
		lc.play(t, seed, func(t *testing.T, p *lostTasksPlay) {
			cells := p.cellOf(t)
			own := cells[p.workersOfLostTasks()[0].Info.Worker]
			var others []*fleettest.Worker
			for _, w := range p.RunningWorkers() {
				if cells[w.Info.Worker] != own && !p.Workers.RunsTask(w, jobID(0)+".") {
					others = append(others, w)
				}
			}
			p.lose()
			time.Sleep(p.lease + time.Second)
			require.Empty(t, p.Checker.Running(jobID(0)), "services fill the workers")
			loseWorkers(p.Cluster, others[:6]...)
			time.Sleep(p.lease - 1500*time.Millisecond)
			id := string(others[0].Info.Worker)
			fresh := p.AddWorker("fresh" + id[len(id)-1:])
			time.Sleep(500 * time.Millisecond)
			require.NotEqual(t, own, p.cellOf(t)[fresh.Info.Worker])
			require.Zero(t, p.Workers.RoomBesideLasting([]*fleettest.Worker{fresh}, p.needs), "lost tasks run there")
		})
	})
}
