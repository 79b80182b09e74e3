package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Guards the time without a run of services that are lost with their worker while their leader is cut off from the
// store for a short time. It answers the next one that its term is over, and gives no more orders.
func TestServicesLostBesideCutLeaderRunAgainInTime(t *testing.T) {
	for seed := range uint64(4) {
		for _, cut := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(seed, cut), func(t *testing.T) {
				playLostWorker(t, 780+seed, 4, 2*time.Second+time.Duration(seed)*100*time.Millisecond, func(_ *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					leader.Store.SetFault(fleettest.Silent)
					time.AfterFunc(cut, func() { leader.Store.SetFault(fleettest.Healthy) })
					return max(restartBound, cut+calmBound) // 9 s after the loss, and 7 s after the cut
				})
			})
		}
	}
}

// chainSeeds is the number of sequences that TestChainsOfEndedLeaders plays; see seedRange.
const chainSeeds = 20

// Guards against leases that are taken for over too early when leaders are killed, cut off and stopped in turn, while
// each node reaches other workers: two runs of a task at the same time.
func TestChainsOfEndedLeaders(t *testing.T) {
	first, end := seedRange(t, 800, chainSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runChain(t, uint64(seed)) })
	}
}

func runChain(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 31))
	tasks := func(n fleet.TaskName) fleettest.Task {
		if string(n[:16]) == jobID(0) {
			return lasting(n)
		}
		return fleettest.Task{Work: time.Minute, Needs: smallNeeds}
	}
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	nodes, cells, longLeases := 3+r.IntN(2), 1+r.IntN(2), r.IntN(2) == 0
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, nodes, 6, tasks)
		c.Cells = cells
		if longLeases {
			c.Workers.LeaseMax = 10 * time.Second
		}
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 6, PerWorker: 2, Needs: smallNeeds, Estimate: time.Minute}}})
		time.Sleep(2 * time.Second)
		recoveries := map[*fleettest.Member]recovery{}
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for m, next := range recoveries {
					if !time.Now().Before(next.at) {
						next.run()
						delete(recoveries, m)
					}
				}
			}
		}
		for range 6 {
			for _, m := range c.Nodes {
				for _, w := range c.Fleet {
					m.Workers.Cut(w, r.IntN(3) == 0)
				}
			}
			pass(upTo(1500 * time.Millisecond))
			m := c.Leader()
			if m == nil || recoveries[m].run != nil {
				pass(upTo(3 * time.Second))
				continue
			}
			restart := func() { // with working links
				c.Kill(m)
				c.Start(m)
			}
			switch r.IntN(4) {
			case 0, 1:
				c.Kill(m)
				recoveries[m] = recovery{time.Now().Add(50*time.Millisecond + upTo(3*time.Second)), restart}
			case 2:
				m.Store.SetFault(fleettest.Silent)
				m.Peers.Cut(r.IntN(2) == 0)
				end := recovery{time.Now().Add(time.Second + upTo(8*time.Second)), func() {
					m.Store.SetFault(fleettest.Healthy)
					m.Peers.Cut(false)
				}}
				if r.IntN(2) == 0 {
					end.run = restart
				}
				recoveries[m] = end
			default:
				m.Node.Drain(t.Context())
				c.Kill(m)
				recoveries[m] = recovery{time.Now().Add(50*time.Millisecond + upTo(time.Second)), restart}
			}
			pass(upTo(4 * time.Second))
		}
		pass(12 * time.Second)
	})
}

// recovery is what ends the trouble of a node.
type recovery struct {
	at  time.Time
	run func()
}
