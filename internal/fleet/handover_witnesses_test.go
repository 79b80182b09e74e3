package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Guards the witnesses of a leader that is gone for good where the next leader hands the lead on at once, as
// small hosts do: the one after it asks them too.
func TestServicesLostBesideLeaderThatIsGoneRunAgainAfterHandOver(t *testing.T) {
	for seed := range uint64(4) {
		for _, held := range []time.Duration{0, 100, 700} {
			t.Run(fmt.Sprint(seed, held), func(t *testing.T) {
				playLostWorker(t, 860+seed, 7, witnessSettleTime+time.Duration(seed)*130*time.Millisecond, func(c *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					c.Kill(leader)
					leaderBeside(c, leader)
					time.Sleep(held * time.Millisecond)
					stopLeader(c)
					return restartBound
				})
			})
		}
	}
}

// A next leader that was lost soon after it had taken the lead was waited for as one without witnesses, and the
// leader before it too: services lost with that one had no run for up to 11.3 s.
func TestServicesLostBesideTwoLeadersThatAreGoneRunAgainInTime(t *testing.T) {
	for seed := range uint64(4) {
		for _, held := range []time.Duration{0, 20, 100, 300, 700} {
			t.Run(fmt.Sprint(seed, held), func(t *testing.T) {
				playLostWorker(t, 880+seed, 7, witnessSettleTime+time.Duration(seed)*130*time.Millisecond, func(c *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					lost := time.Now()
					c.Kill(leader)
					next := leaderBeside(c, leader)
					time.Sleep(held * time.Millisecond)
					c.Kill(next)
					return max(restartBound, time.Since(lost)+calmBound)
				})
			})
		}
	}
}
