package soak

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Kinds of faults of a silent restart. The hosts of workers neither accept nor refuse connections until the
// next lifetimes are up; these are listed later and are cut off soon after.
const (
	SilenceWorkers Kind = "silence-workers" // several workers and their hosts are gone; they are up under their ids and addresses at the end
	ListWorkers    Kind = "list-workers"    // the entries of workers that have started again are written
	CutRestarted   Kind = "cut-restarted"   // the links of workers that have started again are cut in both directions
)

// Times of silent restarts.
const (
	meanSilentInterval  = 3 * time.Second
	minSilentTime       = 200 * time.Millisecond
	maxSilentTime       = 1400 * time.Millisecond
	maxSilentEntryDelay = time.Second
	minTimeToCut        = time.Second // from the end of the silence
	maxTimeToCut        = 2500 * time.Millisecond
	minCutRestarted     = 7 * time.Second
	maxCutRestarted     = 10 * time.Second
)

// longLeaseMax is the longest lease that workers grant in a run with silent restarts, longer than nodes
// count on.
const longLeaseMax = 10 * time.Second

// leaseMax returns the longest lease that workers grant in a run.
func (o Options) leaseMax() time.Duration {
	if o.SilentRestarts {
		return longLeaseMax
	}
	return shortLeaseMax
}

// One in silentLongShare tasks takes silentLongTime in a run with silent restarts, longer than the lease on
// which a leader counts.
const (
	silentLongShare = 3
	silentLongTime  = 8 * time.Second
)

// silentTaskBehaviour gives each task a run time, derived from its name.
func silentTaskBehaviour(name fleet.TaskName) fleettest.Task {
	task := taskBehaviour(name)
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	if h.Sum64()%silentLongShare == 0 {
		task.Work = silentLongTime
	}
	return task
}

// besideSilence are the kinds of other faults in a run with silent restarts. Under more of them leaders
// change so often that they rarely count on leases of their own.
var besideSilence = []Kind{KillNode, StopNode, FreezeNode, KillWorker, RestartWorker}

// SilentSchedule returns the silent restarts of a seed and those of the other faults that are played beside
// them, in order of their start.
func SilentSchedule(others []Fault, seed uint64, workers int, length time.Duration) []Fault {
	faults := slices.DeleteFunc(others, func(f Fault) bool { return !slices.Contains(besideSilence, f.Kind) })
	faults = append(faults, silentFaults(seed, workers, length)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// silentFaults returns the faults of silent restarts. They are drawn from a generator of their own, so
// that a seed keeps its other faults.
func silentFaults(seed uint64, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 18))
	var faults []Fault
	for at := range startTimes(random, meanSilentInterval, warmUp+time.Second, length) {
		silence := Fault{At: at, Kind: SilenceWorkers, Workers: drawGroup(random, workers), Duration: drawDuration(random, minSilentTime, maxSilentTime)}
		up := at + silence.Duration
		faults = append(faults, silence,
			Fault{At: up + drawDuration(random, 0, maxSilentEntryDelay), Kind: ListWorkers, Workers: silence.Workers},
			Fault{At: up + drawDuration(random, minTimeToCut, maxTimeToCut), Kind: CutRestarted, Workers: silence.Workers, Duration: drawDuration(random, minCutRestarted, maxCutRestarted)})
	}
	return faults
}

// silence ends a worker's process, and its host with it. The process answers its polls and closes their
// connections before, so that the next polls find the host silent.
func (c *cluster) silence(w *worker) {
	w.silent = append(w.silent, w.proxy)
	w.proxy.silence(true)
	w.runner.Config.SetKeepAlivesEnabled(false)
	c.simWorkers.Silence(w.instance)
}

// wake ends a silence. The next process of the worker has any clock, and gets what was sent to its host in
// the meantime, unless the worker has left the fleet since.
func (c *cluster) wake(w *worker) {
	silent := w.silent[0]
	w.silent = w.silent[1:]
	silent.hold(true) // nothing of the former process is forwarded, or reset
	if silent == w.proxy && !silent.isClosed() {
		w.age = c.drawAge()
		c.restartInstance(w)
		c.ledger.HeldBack(model.WorkerID(w.id), time.Now().Add(heldOrderTime))
	}
	silent.silence(false)
	silent.hold(false)
}
