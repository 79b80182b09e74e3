package fleet_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

const (
	// longLease is the length of leases on platforms on which they outlast what leaders count on.
	longLease = 10 * time.Second
	// newConnections is the share of calls that find no idle connection, in some of the sequences.
	newConnections = 0.3
	// maxSilentRestarts bounds the silent restarts of a worker in one action.
	maxSilentRestarts = 3
)

// silentRestart is a worker's restart behind its silent address, and the cut that follows.
type silentRestart struct {
	// age is how long the former lifetime runs before, down for how long the address is silent.
	age, down time.Duration
	// entry is the delay of the next lifetime's entry, cut that of the cut, both from its start.
	entry, cut, cutLength time.Duration
}

// between draws one of ten times between two bounds.
func between(rt *rapid.T, label string, least, most time.Duration) time.Duration {
	return least + (most-least)*time.Duration(pick(rt, label, 10))/9
}

// drawLeases draws how long workers grant leases and how often calls find no idle connection.
func (m *leaderModel) drawLeases(rt *rapid.T) {
	long, fresh := rapid.Bool().Draw(rt, "long leases"), rapid.Bool().Draw(rt, "new connections")
	m.c.Workers.WithLock(func() {
		if long {
			m.c.Workers.LeaseMax = longLease
		}
		if fresh {
			m.c.Workers.NewConnectionShare = newConnections
		}
		m.c.Workers.UnverifiedDeadlines = m.variant.unverifiedDeadlines
	})
}

// mostlySilentRestarts returns actions most of which are silent restarts beside long tasks.
func (m *leaderModel) mostlySilentRestarts(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	m.kinds = []modelKind{kindLong, kindLasting}
	some := map[string]func(*rapid.T){"restart silently again": m.restartSilently}
	for _, name := range []string{"", "submit", "ask", "pass time", "restart silently", "change the leader"} {
		some[name] = actions[name]
	}
	return some
}

// restartSilently makes workers fall silent with their hosts, start again and be cut off soon after, once
// or in series beside what follows in the sequence. Long tasks may be submitted in between.
func (m *leaderModel) restartSilently(rt *rapid.T) {
	submit, first, count := rapid.Bool().Draw(rt, "submit"), pick(rt, "worker", 60), pick(rt, "others", modelWorkers-2)
	series := make([]silentRestart, 1+pick(rt, "further restarts", maxSilentRestarts))
	for i := range series {
		series[i] = silentRestart{
			age:       between(rt, "age", 0, 2*time.Second),
			down:      between(rt, "down", 200*time.Millisecond, 1400*time.Millisecond),
			entry:     between(rt, "entry", 0, 1500*time.Millisecond),
			cut:       between(rt, "cut after", 500*time.Millisecond, 2500*time.Millisecond),
			cutLength: between(rt, "cut for", 5*time.Second, 10*time.Second),
		}
	}
	running := m.c.RunningWorkers()
	for i := range min(1+count, len(running)-2) { // two remain, on which lost tasks start again
		m.restarts.Go(func() { m.playSilentRestarts(running[(first+i)%len(running)], series) })
	}
	if submit {
		time.Sleep(series[0].age + series[0].down + upTo(rt, "before the cut", series[0].cut))
		m.submitKind(rt, kindLong)
	} else {
		time.Sleep(upTo(rt, "pause", 4*time.Second))
	}
}

// playSilentRestarts plays a series of restarts of a worker until something else ends a lifetime of it.
func (m *leaderModel) playSilentRestarts(w *fleettest.Worker, series []silentRestart) {
	for _, r := range series {
		time.Sleep(r.age)
		if !slices.Contains(m.c.RunningWorkers(), w) {
			return
		}
		m.log("%s silent, starts again after %v, entry after %v, cut off after %v", w.Info.Worker, r.down, r.entry, r.cut)
		m.c.Workers.Silence(w)
		if w = r.play(m.c, w); w == nil {
			return
		}
	}
}

// play plays the restart of w, whose host has fallen silent, and returns its next lifetime, nil if something else has
// begun one.
func (r silentRestart) play(c *fleettest.Cluster, w *fleettest.Worker) *fleettest.Worker {
	next := r.begin(c, w)
	if next != nil {
		time.Sleep(r.cut)
		c.Workers.CutOff(next, true)
		time.Sleep(r.cutLength)
		c.Workers.CutOff(next, false)
	}
	return next
}

// begin plays the restart without the cut.
func (r silentRestart) begin(c *fleettest.Cluster, w *fleettest.Worker) *fleettest.Worker {
	time.Sleep(r.down)
	if c.Workers.Runs(w.Info.Addr) {
		return nil
	}
	next := c.StartWorker(string(w.Info.Worker))
	time.AfterFunc(r.entry, func() {
		if slices.Contains(c.RunningWorkers(), next) {
			c.List(next)
		}
	})
	return next
}
