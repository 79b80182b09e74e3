package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// The nodes of a new deployment read the layout and the claim to decide it four times a second each, for as long as
// the first workers and hosts take to appear: a tenth of a day's calls of the store.
func TestNodesWaitForLayoutWithFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 20
		c := fleettest.NewCluster(995, nodes, 0, slowTask)
		defer func() {
			c.StopAll()
			time.Sleep(linkDrain)
		}()
		c.StartAll()
		time.Sleep(4 * time.Second)
		require.Nil(t, c.Leader(), "there is no worker yet, so no layout")
		reads, _ := c.Store.Calls()
		require.Less(t, reads, int64(14*nodes), "reads of all nodes, operators' table included")
		c.AddWorker("w0")
		decided := time.Now()
		for c.Leader() == nil {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(decided), 3*time.Second, "the layout is noticed at once")
		}
	})
}
