package fleet_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// silentRestartSeeds is the number of sequences that TestSilentRestartsBesideCuts plays.
const silentRestartSeeds = 6

// TestSilentRestartsBesideCuts plays random sequences in which hosts fall silent and workers come back under
// their ids, are cut off soon after, lose their entries, and leaders end. No task runs twice.
func TestSilentRestartsBesideCuts(t *testing.T) {
	first, end := seedRange(t, 780, silentRestartSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runSilentRestarts(t, uint64(seed)) })
	}
}

func runSilentRestarts(t *testing.T, seed uint64) {
	work := func(n fleet.TaskName) fleettest.Task {
		h := fnv.New32a()
		_, _ = h.Write([]byte(n))
		return fleettest.Task{Work: []time.Duration{200, 3000, 14000, 20000}[h.Sum32()%4] * time.Millisecond, Needs: wideNeeds}
	}
	spec := fleet.Spec{Steps: []fleet.Step{{Count: 3, Needs: wideNeeds, Estimate: 2 * time.Second}}}
	random := rand.New(rand.NewPCG(seed, 19))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	runCluster(t, seed, 3, 8, work, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() {
			c.Workers.LeaseMax, c.Workers.NewConnectionShare = 10*time.Second, 0.3
			c.Workers.LateToNext, c.Workers.LateShare, c.Workers.LostShare = true, 0.01*float64(seed%3), 0.01*float64(seed%2)
		})
		var trace []string
		begun := time.Now()
		log := func(format string, args ...any) {
			trace = append(trace, fmt.Sprintf("%v: ", time.Since(begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
		}
		cutAll := func(views []*fleettest.WorkersView, w *fleettest.Worker, cut bool) {
			for _, v := range views {
				v.Cut(w, cut)
			}
		}
		for i := range 24 {
			submit(t, c, jobID(i), spec)
			time.Sleep(upTo(5 * time.Second))
			if running := c.RunningWorkers(); len(running) > 3 && random.IntN(3) > 0 {
				w := c.Workers.LatestRun()
				if w == nil || random.IntN(3) == 0 {
					w = running[random.IntN(len(running))]
				}
				down, entry, cutAt, cutFor := 100*time.Millisecond+upTo(1100*time.Millisecond), upTo(800*time.Millisecond), upTo(2800*time.Millisecond), 6*time.Second+upTo(5*time.Second)
				unlisted := random.IntN(4) == 0
				log("%s silent for %v, entry after %v, cut after %v for %v, unlisted %v", w.Info.Worker, down, entry, cutAt, cutFor, unlisted)
				c.Workers.Silence(w)
				if unlisted {
					c.Unlist(w)
				}
				var views []*fleettest.WorkersView // a node that starts again reaches the worker
				for _, n := range c.Nodes {
					views = append(views, n.Workers)
				}
				go func() {
					time.Sleep(down)
					next := c.StartWorker(string(w.Info.Worker))
					time.AfterFunc(entry, func() { c.List(next) })
					time.Sleep(cutAt)
					cutAll(views, next, true)
					time.Sleep(cutFor)
					cutAll(views, next, false)
				}()
			}
			switch l := c.Leader(); {
			case l == nil:
			case random.IntN(8) == 0:
				log("leader %s killed", l.Name)
				c.Kill(l)
				c.Start(l)
			case random.IntN(8) == 0:
				log("store silent for leader %s", l.Name)
				view := l.Store
				view.SetFault(fleettest.Silent)
				time.AfterFunc(upTo(4*time.Second), func() { view.SetFault(fleettest.Healthy) })
			}
		}
		time.Sleep(20 * time.Second)
		if v := c.Checker.Violations(); len(v) > 0 {
			for _, l := range trace {
				t.Log(l)
			}
		}
		require.Empty(t, c.Checker.Violations())
	})
}
