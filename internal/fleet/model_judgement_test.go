package fleet_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// calm ends all faults and waits until the jobs have ended.
func (m *leaderModel) calm(rt *rapid.T) {
	m.log("the faults end")
	m.c.Workers.WithLock(func() { m.c.Workers.LateShare, m.c.Workers.LostShare = 0, 0 })
	m.c.Store.SetTransactionFaults(0, 0)
	begun := max(maxStoreOutage, maxLateness)
	if m.variant.partitions {
		begun = maxPartition
	}
	m.restarts.Wait()
	time.Sleep(begun) // what was begun ends
	m.c.Checker.Calm()
	calm := time.Now()
	idle := map[string]time.Duration{}
	for open := m.openJobs(); len(open) > 0; open = m.openJobs() {
		for i, id := range open {
			n := m.c.Nodes[i%modelNodes]
			m.h.calls.Go(func() { m.h.state(n, id) })
		}
		for range int(time.Second / modelObserveInterval) {
			time.Sleep(modelObserveInterval)
			if time.Since(calm) > modelFinishTime {
				m.observeIdle(rt, open, idle)
			}
		}
		m.check(rt)
		if time.Since(calm) > modelEndTime {
			rt.Fatalf("callers: job %s of kind %d has not ended %v after the faults; %v", open[0], kindOf(open[0]), time.Since(calm), m.c.Checker.Running(open[0]))
		}
	}
	m.h.calls.Wait()
	bounds := fleettest.HistoryBounds{Visibility: historyVisibility, CalmSince: calm.Sub(m.begun)}
	for _, v := range fleettest.CheckHistory(m.h.history.Calls(), bounds) {
		rt.Fatalf("callers: %.3f s %s", v.At.Seconds(), v.Text)
	}
}

// openJobs returns the accepted jobs that nobody has cancelled and that were neither shown in a final
// state nor, if they last, as running.
func (m *leaderModel) openJobs() []string {
	accepted, settled := map[string]bool{}, map[string]bool{}
	for _, c := range m.h.history.Calls() {
		accepted[c.Job] = accepted[c.Job] || (c.Kind == fleettest.CallSubmit && c.Result == fleettest.CallAccepted)
		settled[c.Job] = settled[c.Job] || c.Kind == fleettest.CallCancel || c.State.Final()
	}
	var open []string
	for _, id := range m.jobs {
		lasts := kindOf(id) == kindLasting && len(m.c.Checker.Running(id)) == modelSpecs[kindLasting].Steps[0].Count
		if accepted[id] && !settled[id] && !lasts {
			open = append(open, id)
		}
	}
	return open
}

// observeIdle judges for how long nothing of a job has run although under half of the capacity is in
// use.
func (m *leaderModel) observeIdle(rt *rapid.T, open []string, idle map[string]time.Duration) {
	used, capacity := int64(0), int64(0)
	for _, task := range m.c.Workers.RunningTasks() {
		used += modelTask(task).Needs.MilliCPU
	}
	for _, w := range m.c.RunningWorkers() {
		if string(w.Info.Worker) != m.maintained {
			capacity += w.Info.Capacity.MilliCPU
		}
	}
	for _, id := range open {
		if len(m.c.Checker.Running(id)) > 0 || 2*used >= capacity {
			idle[id] = 0
			continue
		}
		if idle[id] += modelObserveInterval; idle[id] > maxModelIdle {
			rt.Fatalf("upstreams: nothing of job %s, of kind %d, has run for %v", id, kindOf(id), idle[id])
		}
	}
}
