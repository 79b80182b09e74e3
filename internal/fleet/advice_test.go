package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// withAdvisor runs a test on a cluster whose nodes are configured with an advisor.
func withAdvisor(t *testing.T, seed uint64, valid time.Duration, test func(*testing.T, *fleettest.Cluster, *fleettest.Advisor)) {
	runCluster(t, seed, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		a := fleettest.NewAdvisor(valid)
		c.StopAll()
		c.UseAdvisor(2, a)
		c.StartAll()
		time.Sleep(settleTime)
		test(t, c, a)
	})
}

func TestStartsUseTickets(t *testing.T) {
	withAdvisor(t, 100, 2*time.Second, func(t *testing.T, c *fleettest.Cluster, a *fleettest.Advisor) {
		a.Exclude("w0")
		submit(t, c, jobID(0), twoSteps())
		waitAll(t, c, 1, 10*time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
		require.Zero(t, c.Workers.TicketRefusals())
		require.Equal(t, 2, a.CallCount(), "one call per step")
	})
}

// Tickets may become invalid before they expire. The leader must request new ones instead of
// repeating refused starts without bound.
func TestTicketsThatWorkersRefuse(t *testing.T) {
	withAdvisor(t, 101, time.Minute, func(t *testing.T, c *fleettest.Cluster, a *fleettest.Advisor) {
		spec := twoSteps()
		spec.Steps[0].Count = 60 // two rounds
		submit(t, c, jobID(0), spec)
		time.Sleep(500 * time.Millisecond)
		a.Revoke()
		waitAll(t, c, 1, 30*time.Second)
		require.LessOrEqual(t, c.Workers.TicketRefusals(), 60, "each task at most once")
	})
}

func TestAdvisorDown(t *testing.T) {
	withAdvisor(t, 102, 2*time.Second, func(t *testing.T, c *fleettest.Cluster, a *fleettest.Advisor) {
		a.SetDown(true)
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(4 * time.Second)
		require.Zero(t, c.Checker.StartCount(), "nothing starts without a ticket")
		a.SetDown(false)
		waitAll(t, c, 1, 15*time.Second)
		require.Zero(t, c.Workers.TicketRefusals())
	})
}
