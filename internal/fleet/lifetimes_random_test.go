package fleet_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

const (
	// lifetimeSeeds is the number of sequences that TestLifetimesBesideDoubts plays.
	lifetimeSeeds = 12
	// maxDoubt bounds the time for which a worker does not answer in these sequences: the leases of
	// a worker last longer, as a leader extends them at each poll.
	maxDoubt = 3 * time.Second
	// One in silentShare submissions is followed by a silent restart.
	silentShare = 10
)

// mixedTask returns a task that takes 5 ms to 3 s, most of them little, by its name.
func mixedTask(n fleet.TaskName) fleettest.Task {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n))
	work := []time.Duration{5, 20, 50, 200, 800, 3000}[h.Sum32()%6] * time.Millisecond
	return fleettest.Task{Work: work, Needs: wideNeeds}
}

// doubts is a sequence in which workers start again while the leader is in doubt about them.
type doubts struct {
	t      *testing.T
	c      *fleettest.Cluster
	random *rand.Rand
	begun  time.Time
	trace  []string
	// restarting holds the workers that are starting again.
	mu         sync.Mutex
	restarting map[string]bool
	// silences draws the silent restarts, so that a seed keeps its other faults.
	silences *rand.Rand
	silent   sync.WaitGroup
}

func (d *doubts) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// log adds a line to the trace, which is printed if the sequence fails.
func (d *doubts) log(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%v: ", time.Since(d.begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// restart ends a worker and starts one or two further lifetimes of it. Its entry follows early or late.
func (d *doubts) restart(w *fleettest.Worker) {
	id := string(w.Info.Worker)
	if d.setRestarting(id, true) {
		return
	}
	down := []time.Duration{0, d.upTo(100 * time.Millisecond), d.upTo(2 * time.Second)}[d.random.IntN(3)]
	entry := []time.Duration{d.upTo(50 * time.Millisecond), d.upTo(2 * time.Second)}[d.random.IntN(2)]
	again := d.random.IntN(4) == 0
	second := d.upTo(time.Second)
	d.log("%s ends, starts again after %v, entry after %v, again %v %v", w.Info.Worker, down, entry, again, second)
	d.c.Workers.Kill(w)
	go func() {
		time.Sleep(down)
		next := d.c.StartWorker(id)
		if again {
			time.Sleep(second)
			d.c.Workers.Kill(next)
			time.Sleep(down)
			next = d.c.StartWorker(id)
		}
		time.Sleep(entry)
		d.c.List(next)
		d.setRestarting(id, false)
	}()
}

// restartSilently makes a worker fall silent, start again and be cut off soon after, longer than its lease.
func (d *doubts) restartSilently() {
	running := d.c.RunningWorkers()
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(d.silences.Int64N(int64(most-least)))
	}
	at := d.silences.IntN(60)
	r := silentRestart{down: draw(200*time.Millisecond, 1400*time.Millisecond), entry: draw(0, 1500*time.Millisecond),
		cut: draw(500*time.Millisecond, 2500*time.Millisecond), cutLength: draw(5*time.Second, 10*time.Second)}
	if len(running) < 3 {
		return
	}
	w := running[at%len(running)]
	id := string(w.Info.Worker)
	if d.setRestarting(id, true) {
		return
	}
	d.log("%s silent, starts again after %v, entry after %v, cut off after %v for %v", id, r.down, r.entry, r.cut, r.cutLength)
	d.c.Workers.Silence(w)
	d.silent.Go(func() {
		r.play(d.c, w)
		d.setRestarting(id, false)
	})
}

// setRestarting notes whether a worker is starting again, and returns what was noted before.
func (d *doubts) setRestarting(id string, now bool) (before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before = d.restarting[id]
	d.restarting[id] = now
	return before
}

// disturb injects one random fault.
func (d *doubts) disturb() {
	c := d.c
	running := c.RunningWorkers()
	if len(running) == 0 {
		return
	}
	w := running[d.random.IntN(len(running))]
	length := d.upTo(maxDoubt)
	switch d.random.IntN(8) {
	case 0, 1, 2:
		d.restart(w)
	case 3:
		d.log("answers of %s cut for %v", w.Info.Worker, length)
		c.Workers.SetLink(w, fleettest.Link{AnswersCut: true})
		time.AfterFunc(length, func() { c.Workers.SetLink(w, fleettest.Link{}) })
		if d.random.IntN(2) == 0 {
			d.restart(w)
		}
	case 4:
		for _, m := range c.Nodes {
			if m.Up() {
				view := m.Workers
				view.Cut(w, true)
				time.AfterFunc(length, func() { view.Cut(w, false) })
			}
		}
		d.log("%s cut for %v", w.Info.Worker, length)
		if d.random.IntN(2) == 0 {
			d.restart(w)
		}
	case 5:
		delay := d.upTo(450 * time.Millisecond)
		d.log("answers of %s delayed by %v for %v", w.Info.Worker, delay, length)
		c.Workers.SetLink(w, fleettest.Link{AnswerDelay: delay})
		time.AfterFunc(length, func() { c.Workers.SetLink(w, fleettest.Link{}) })
	case 6:
		if l := c.Leader(); l != nil {
			d.log("leader %s killed", l.Name)
			c.Kill(l)
			c.Start(l)
		}
	case 7:
		if l := c.Leader(); l != nil {
			d.log("store silent for leader %s for %v", l.Name, length)
			view := l.Store
			view.SetFault(fleettest.Silent)
			time.AfterFunc(length, func() { view.SetFault(fleettest.Healthy) })
		}
	}
}

// TestLifetimesBesideDoubts plays random sequences in which workers start again, also several times,
// while their answers are cut or late, leaders change and jobs are cancelled. No task runs twice or
// after an end that was acknowledged, and all jobs end.
func TestLifetimesBesideDoubts(t *testing.T) {
	first, end := seedRange(t, 700, lifetimeSeeds)
	for seed := first; seed < end; seed++ {
		for _, unverified := range []bool{false, true} {
			t.Run(strconv.Itoa(seed)+"/unverified="+strconv.FormatBool(unverified), func(t *testing.T) { runDoubts(t, uint64(seed), unverified) })
		}
	}
}

func runDoubts(t *testing.T, seed uint64, unverified bool) {
	const jobs = 40
	spec := fleet.Spec{Steps: []fleet.Step{
		{Count: 4, Needs: wideNeeds, Estimate: 100 * time.Millisecond},
		{Count: 3, Needs: wideNeeds, Estimate: 100 * time.Millisecond, After: []int{0}},
	}}
	cluster := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 3, 4, mixedTask)
		if seed%2 == 1 && !unverified {
			c.Workers.LeaseMax = longLease
		}
		return c
	}
	runClusterWith(t, cluster, func(t *testing.T, c *fleettest.Cluster) {
		d := &doubts{t: t, c: c, random: rand.New(rand.NewPCG(seed, 17)), begun: time.Now(), restarting: map[string]bool{},
			silences: rand.New(rand.NewPCG(seed, 18))}
		defer func() {
			if t.Failed() || len(c.Checker.Violations()) > 0 {
				for _, l := range d.trace {
					t.Log(l)
				}
			}
		}()
		c.Configure(2, 6)
		c.Workers.WithLock(func() { c.Workers.UnverifiedStarts, c.Workers.NewConnectionShare = unverified, 0.3 })
		if seed%3 == 0 {
			c.Workers.WithLock(func() { c.Workers.LateShare, c.Workers.LostShare = 0.05, 0.05 })
		}
		cancelled := map[int]bool{}
		for i := range jobs {
			submit(t, c, jobID(i), spec)
			time.Sleep(d.upTo(400 * time.Millisecond))
			if d.random.IntN(3) == 0 {
				d.disturb()
			}
			if !unverified && d.silences.IntN(silentShare) == 0 {
				d.restartSilently()
			}
			if d.random.IntN(6) == 0 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				if c.Nodes[0].Up() && c.Nodes[0].Node.Cancel(ctx, c.Queue, jobID(i)) == nil {
					d.log("job %d cancelled", i)
				}
				cancelled[i] = true
				cancel()
			}
		}
		d.silent.Wait()
		time.Sleep(2 * maxDoubt)
		c.Workers.WithLock(func() { c.Workers.LateShare, c.Workers.LostShare = 0, 0 })
		deadline := time.Now().Add(90 * time.Second)
		for i := range jobs {
			switch {
			case cancelled[i]:
			case c.Checker.MayFail(jobID(i)):
				waitEnded(t, c, jobID(i), time.Until(deadline))
			default:
				waitState(t, c, jobID(i), fleet.StateCompleted, time.Until(deadline))
			}
		}
		require.Empty(t, c.Checker.Violations())
	})
}
