package soak

import (
	"cmp"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. The target of a fault is the index of a node or of a worker. Aimed faults are in
// aim.go.
const (
	KillNode      Kind = "kill-node"      // SIGKILL; restarted at the end
	StopNode      Kind = "stop-node"      // SIGTERM; restarted at the end
	FreezeNode    Kind = "freeze-node"    // SIGSTOP until the end
	PowerLoss     Kind = "power-loss"     // SIGKILL for all nodes at once; restarted at the end
	CutStore      Kind = "cut-store"      // one node's link to the store is cut in both directions
	MuteStore     Kind = "mute-store"     // one node's requests reach the store, the responses are held back
	SlowStore     Kind = "slow-store"     // one node's link to the store is slow
	ResetStore    Kind = "reset-store"    // one node's connections to the store are reset at the start
	RefuseStore   Kind = "refuse-store"   // the store answers every request with 503
	LoseCommits   Kind = "lose-commits"   // the responses of some transactions are lost, some are applied late
	CompactStore  Kind = "compact-store"  // the store drops its history of changes
	CutWorker     Kind = "cut-worker"     // a worker's link is cut in both directions
	MuteWorker    Kind = "mute-worker"    // commands reach a worker, its responses are held back
	KillWorker    Kind = "kill-worker"    // a worker process is killed; a new one starts at the end
	FailWorker    Kind = "fail-worker"    // tasks that start on a worker fail
	HangWorker    Kind = "hang-worker"    // tasks that start on a worker make no progress
	LateOrders    Kind = "late-orders"    // a fifth of all commands to workers is executed late
	TakeOut       Kind = "take-out"       // a data centre is out of service until the end
	Configuration Kind = "configuration"  // a new version of the configuration takes effect
	SlowNode      Kind = "slow-node"      // a node's CPU is slow
	SlowAll       Kind = "slow-all"       // the CPUs of all nodes are slow
	KillMost      Kind = "kill-most"      // SIGKILL for 55% of the nodes at once, beginning with the target; restarted at the end
	RestartWorker Kind = "restart-worker" // a worker starts again under its id and address; its entry follows at the end
	CutWorkers    Kind = "cut-workers"    // the links of several workers are cut in both directions
	MuteWorkers   Kind = "mute-workers"   // commands reach several workers, their responses are held back
	ResetWorkers  Kind = "reset-workers"  // the connections to several workers are reset at the start
)

var kinds = []Kind{KillNode, StopNode, FreezeNode, PowerLoss, CutStore, MuteStore, SlowStore, ResetStore, RefuseStore, LoseCommits,
	CompactStore, CutWorker, MuteWorker, KillWorker, FailWorker, HangWorker, LateOrders, TakeOut, Configuration}

// heavyKinds affect a node's CPU, or most or all nodes at once. They are drawn in addition to
// kinds from a generator of their own, so that a seed keeps its faults of the other kinds; so are
// restarts of workers.
var heavyKinds = []Kind{SlowNode, SlowAll, KillMost}

// groupKinds affect the links of several workers at once. Behind a link that is cut or mute most of
// the workers start again. They are drawn from a generator of their own too.
var groupKinds = []Kind{CutWorkers, MuteWorkers, ResetWorkers}

// Fault is one fault of a schedule.
type Fault struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"lasts"`
	Kind     Kind          `json:"kind"`
	Target   int           `json:"target"`
	// Workers are the targets of a fault of groupKinds, and the workers of aimed faults.
	Workers []int `json:"workers,omitempty"`
}

// String describes the fault on one line of the report.
func (f Fault) String() string {
	targets := fmt.Sprint(f.Target)
	if f.Workers != nil {
		targets = fmt.Sprint(f.Workers)
	}
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %s", f.At.Seconds(), (f.At + f.Duration).Seconds(), f.Kind, targets)
}

// Times of a schedule.
const (
	// warmUp is the time without faults for the election of the first leader.
	warmUp = 2 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults of kinds. It is
	// short enough that several faults overlap.
	meanFaultInterval = 900 * time.Millisecond
	// meanHeavyInterval is the mean time between the starts of two faults of heavyKinds.
	meanHeavyInterval = 5 * time.Second
	// meanRestartInterval is the mean time between the starts of two restarts of workers.
	meanRestartInterval = 2500 * time.Millisecond
	// meanGroupInterval is the mean time between the starts of two faults of groupKinds.
	meanGroupInterval = 4 * time.Second
	// maxEntryDelay bounds the time to the first entry of a worker from its restart, or from the
	// end of the fault behind which it has restarted.
	maxEntryDelay = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The maximum
	// exceeds the time after which a silent leader is replaced and leases expire.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
)

// Schedule returns the faults of a seed in order of their start. It is deterministic.
func Schedule(seed uint64, nodes, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 11))
	var faults []Fault
	for at := range startTimes(random, meanFaultInterval, warmUp, length) {
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		f.Target = random.IntN(nodes)
		switch f.Kind {
		case CutWorker, MuteWorker, KillWorker, FailWorker, HangWorker, TakeOut:
			f.Target = random.IntN(workers)
		case PowerLoss, RefuseStore, LoseCommits, CompactStore, LateOrders, Configuration:
			f.Target = 0
		}
		faults = append(faults, f)
	}
	faults = append(faults, heavyFaults(seed, nodes, length)...)
	faults = append(faults, restartFaults(seed, workers, length)...)
	faults = append(faults, groupFaults(seed, workers, length)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// startTimes yields the starts of faults from first until length, which follow each other after 0.2
// to 1.8 times the mean interval.
func startTimes(random *rand.Rand, mean, first, length time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		for at := first; at < length; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(mean)) {
			if !yield(at) {
				return
			}
		}
	}
}

func heavyFaults(seed uint64, nodes int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 12))
	var faults []Fault
	for at := range startTimes(random, meanHeavyInterval, warmUp+meanHeavyInterval/2, length) {
		faults = append(faults, Fault{At: at, Kind: heavyKinds[random.IntN(len(heavyKinds))], Target: random.IntN(nodes),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))})
	}
	return faults
}

func restartFaults(seed uint64, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 13))
	var faults []Fault
	for at := range startTimes(random, meanRestartInterval, warmUp+meanRestartInterval/2, length) {
		faults = append(faults, Fault{At: at, Kind: RestartWorker, Target: random.IntN(workers),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxEntryDelay-minFaultDuration)))})
	}
	return faults
}

// Shares of the workers of a cut or muted group that start again, and of these that do so twice.
const (
	restartShare       = 0.7
	secondRestartShare = 0.3
)

func groupFaults(seed uint64, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 14))
	var faults []Fault
	for at := range startTimes(random, meanGroupInterval, warmUp+meanGroupInterval/2, length) {
		f := Fault{At: at, Kind: groupKinds[random.IntN(len(groupKinds))], Workers: drawGroup(random, workers),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		faults = append(faults, f)
		if f.Kind == ResetWorkers {
			continue
		}
		for _, w := range f.Workers {
			for _, share := range []float64{restartShare, secondRestartShare} {
				if random.Float64() >= share {
					break
				}
				faults = append(faults, restartBehind(random, f, w))
			}
		}
	}
	return faults
}

// drawGroup draws the workers of a data centre, or a quarter of all.
func drawGroup(random *rand.Rand, workers int) []int {
	first, count, step := random.IntN(workers), (workers+3)/4, 1
	if random.IntN(2) == 0 {
		first, step = first%zones, zones
		count = (workers - first + zones - 1) / zones
	}
	group := make([]int, max(count, 0))
	for i := range group {
		group[i] = (first + i*step) % workers
	}
	return group
}

// restartBehind returns a restart of a worker during a fault of its link. The entry of the new
// lifetime may come before or after the end of that fault.
func restartBehind(random *rand.Rand, f Fault, w int) Fault {
	delay := time.Duration(random.Int64N(int64(f.Duration)))
	entryWithin := f.Duration - delay + maxEntryDelay
	return Fault{At: f.At + delay, Kind: RestartWorker, Target: w,
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(entryWithin-minFaultDuration)))}
}
