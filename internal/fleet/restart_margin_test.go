package fleet_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

const (
	marginNodes   = 6
	marginWorkers = 10
	marginTasks   = 12
	// marginSettle is the time in which a leader has started all tasks and stored what the next one needs.
	marginSettle = 2 * time.Second
	// marginLead is the time before the middle of the faults, of which some begin earlier.
	marginLead = 2 * time.Second
	// marginTail is how long a play goes on once nothing is impaired and all tasks run.
	marginTail = 2 * time.Second
	// marginLimit bounds a play.
	marginLimit = 45 * time.Second
	// runsSample and reasonsSample are the pauses between two looks at the runs, and at what the leader
	// says of tasks without one.
	runsSample    = 20 * time.Millisecond
	reasonsSample = 100 * time.Millisecond
	// inspectLimit bounds the wait for a node's answer.
	inspectLimit = 50 * time.Millisecond
)

// Reasons of waiting beside those of the leader.
const (
	reasonNoLeader = "no-leader"
	reasonLoading  = "loading"
	reasonLease    = "lease" // the leader counts the run until the lease of its worker is over
)

// marginFaults names the faults of a play.
type marginFaults struct{ leader, worker, store string }

// impairment is a span of a play; until is equal to from if it is over at once, and negative while it
// lasts.
type impairment struct{ from, until time.Duration }

// restartWait is a time of a task without a run.
type restartWait struct {
	task        fleet.TaskName
	from, until time.Duration
	// calm is the longest part of it in which nothing was impaired, since the last impairment.
	calm   time.Duration
	broken bool   // the contract's bound is broken
	reason string // for which the task waited longest
	seed   uint64
}

func (w restartWait) length() time.Duration { return w.until - w.from }

// marginPlay is one play of faults.
type marginPlay struct {
	c      *fleettest.Cluster
	random *rand.Rand
	begun  time.Time
	events []timedFault
	// impairments are in the order of their begin.
	impairments []*impairment
	// victims are the workers with runs, in the order in which faults strike them.
	victims []*fleettest.Worker
	links   marginLinks
}

// playRestartMargin plays faults and returns the waits of all tasks that lost their run. What the run
// checker finds fails the test after done.
func playRestartMargin(t *testing.T, f marginFaults, seed uint64, done func([]restartWait)) {
	t.Helper()
	runCluster(t, seed, marginNodes, marginWorkers, lasting, func(t *testing.T, c *fleettest.Cluster) {
		p := &marginPlay{c: c, random: rand.New(rand.NewPCG(seed, 53)), links: newMarginLinks()}
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: marginTasks, PerWorker: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(marginSettle + time.Duration(p.random.Int64N(int64(time.Second))))
		require.Equal(t, marginTasks, runningAll(c))
		p.victims, p.begun = busyWorkers(c), time.Now()
		p.random.Shuffle(len(p.victims), func(i, j int) { p.victims[i], p.victims[j] = p.victims[j], p.victims[i] })
		p.links.leader = c.Leader()
		p.plan(f)
		s := newRestartSampler(c, p.begun)
		p.run()
		waits := s.stop()
		for i := range waits {
			waits[i].calm, waits[i].broken = calmPart(p.impairments, waits[i])
			waits[i].seed = seed
			t.Logf("%s: no run from %v to %v, calm %v, broken %v, %s", waits[i].task, waits[i].from, waits[i].until, waits[i].calm, waits[i].broken, waits[i].reason)
		}
		for _, i := range p.impairments {
			t.Logf("impaired from %v to %v", i.from, i.until)
		}
		done(waits)
	})
}

// offset draws when a fault begins beside the others.
func (p *marginPlay) offset() time.Duration {
	offsets := []time.Duration{-1500 * time.Millisecond, -500 * time.Millisecond, 0, 500 * time.Millisecond, 1500 * time.Millisecond}
	return marginLead + offsets[p.random.IntN(len(offsets))]
}

// pick draws one of several durations.
func (p *marginPlay) pick(from ...time.Duration) time.Duration { return from[p.random.IntN(len(from))] }

// after calls do after d.
func (p *marginPlay) after(d time.Duration, do func()) {
	p.events = append(p.events, timedFault{time.Since(p.begun) + d, do})
}

// impair records an impairment that is over at once.
func (p *marginPlay) impair() *impairment {
	at := time.Since(p.begun)
	i := &impairment{at, at}
	p.impairments = append(p.impairments, i)
	return i
}

// impairFor records an impairment that ends after d with a call of end.
func (p *marginPlay) impairFor(d time.Duration, end func()) {
	i := p.impair()
	i.until = -1
	p.after(d, func() {
		end()
		i.until = time.Since(p.begun)
	})
}

// run plays the events, until all tasks run and nothing is impaired.
func (p *marginPlay) run() {
	calmSince := time.Since(p.begun)
	for time.Since(p.begun) < marginLimit {
		time.Sleep(runsSample)
		for len(p.events) > 0 {
			slices.SortStableFunc(p.events, func(a, b timedFault) int { return cmp.Compare(a.at, b.at) })
			next := p.events[0]
			if next.at > time.Since(p.begun) {
				break
			}
			p.events = p.events[1:]
			next.do()
		}
		if len(p.events) > 0 || runningAll(p.c) != marginTasks {
			calmSince = time.Since(p.begun)
		}
		if time.Since(p.begun)-calmSince >= marginTail {
			return
		}
	}
}

// calmPart returns the longest part of a wait in calm time, and whether it breaks the contract's bound:
// restartBound since the last run, and calmBound since the last impairment.
func calmPart(impairments []*impairment, w restartWait) (longest time.Duration, broken bool) {
	calmFrom := time.Duration(0)
	gap := func(until time.Duration) {
		until = min(until, w.until)
		longest = max(longest, until-max(calmFrom, w.from))
		broken = broken || until > max(w.from+restartBound, calmFrom+calmBound)
	}
	for _, i := range impairments {
		if i.from > calmFrom {
			gap(i.from)
		}
		end := i.until
		if end < 0 {
			end = w.until
		}
		calmFrom = max(calmFrom, end)
	}
	gap(w.until)
	return longest, broken
}

// restartSampler watches the runs of tasks, and what the leader says of those without one.
type restartSampler struct {
	c       *fleettest.Cluster
	begun   time.Time
	stopped chan struct{}
	done    sync.WaitGroup
	lastRun map[fleet.TaskName]time.Duration
	waits   []restartWait
	reasons []sampledReason
}

// sampledReason is what the leader said at a time.
type sampledReason struct {
	at     time.Duration
	reason string
}

func newRestartSampler(c *fleettest.Cluster, begun time.Time) *restartSampler {
	s := &restartSampler{c: c, begun: begun, stopped: make(chan struct{}), lastRun: map[fleet.TaskName]time.Duration{}}
	s.done.Go(func() { s.every(runsSample, s.sampleRuns) })
	s.done.Go(func() { s.every(reasonsSample, s.sampleReason) })
	return s
}

func (s *restartSampler) every(pause time.Duration, do func()) {
	for {
		do()
		select {
		case <-time.After(pause):
		case <-s.stopped:
			return
		}
	}
}

func (s *restartSampler) sampleRuns() {
	now := time.Since(s.begun)
	for _, task := range s.c.Workers.RunningTasks() {
		if from, seen := s.lastRun[task]; seen && now-from > runsSample {
			s.waits = append(s.waits, restartWait{task: task, from: from, until: now})
		}
		s.lastRun[task] = now
	}
}

func (s *restartSampler) sampleReason() {
	s.reasons = append(s.reasons, sampledReason{time.Since(s.begun), s.leadersReason()})
}

// leadersReason returns the reason of the longest wait that the leader of the newest term knows.
func (s *restartSampler) leadersReason() string {
	reason, newest := reasonNoLeader, uint64(0)
	for _, m := range s.c.Nodes {
		node := m.Running()
		if node == nil || !node.Leading() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), inspectLimit)
		v := node.Inspect(ctx, "")
		cancel()
		if v.Fleet == nil || string(v.Leader) != m.Name || v.Term < newest {
			continue
		}
		newest = v.Term
		switch {
		case len(v.Fleet.Waits) > 0:
			reason = v.Fleet.Waits[0].Reason
		case len(v.Fleet.Jobs) == 0:
			reason = reasonLoading
		default:
			reason = reasonLease
		}
	}
	return reason
}

// stop ends the sampling and returns the waits, the longest first.
func (s *restartSampler) stop() []restartWait {
	close(s.stopped)
	s.done.Wait()
	end := time.Since(s.begun)
	for task, from := range s.lastRun {
		if end-from > 2*runsSample {
			s.waits = append(s.waits, restartWait{task: task, from: from, until: end})
		}
	}
	for i, w := range s.waits {
		s.waits[i].reason = s.mainReason(w)
	}
	slices.SortFunc(s.waits, func(a, b restartWait) int { return cmp.Compare(b.length(), a.length()) })
	return s.waits
}

// mainReason returns the reason that held a task longest.
func (s *restartSampler) mainReason(w restartWait) string {
	samples := map[string]int{}
	main := ""
	for _, r := range s.reasons {
		if r.at < w.from || r.at > w.until {
			continue
		}
		if samples[r.reason]++; samples[r.reason] > samples[main] {
			main = r.reason
		}
	}
	return main
}
