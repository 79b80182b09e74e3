package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. A target is the number of a node or of a worker.
const (
	KillNode      Kind = "kill-node"     // SIGKILL, started again at the end
	StopNode      Kind = "stop-node"     // SIGTERM, started again at the end
	FreezeNode    Kind = "freeze-node"   // SIGSTOP until the end
	PowerLoss     Kind = "power-loss"    // SIGKILL for all nodes at once
	CutStore      Kind = "cut-store"     // one node's link to the store carries nothing
	MuteStore     Kind = "mute-store"    // its calls arrive, the answers do not
	SlowStore     Kind = "slow-store"    // its link is slow
	ResetStore    Kind = "reset-store"   // its connections are reset at the begin
	RefuseStore   Kind = "refuse-store"  // the store answers 503 to all
	LoseCommits   Kind = "lose-commits"  // transactions are lost or applied late
	CompactStore  Kind = "compact-store" // the history of changes is dropped
	CutWorker     Kind = "cut-worker"    // a worker's link carries nothing
	MuteWorker    Kind = "mute-worker"   // orders arrive there, answers do not
	KillWorker    Kind = "kill-worker"   // a worker dies; a new lifetime at the end
	FailWorker    Kind = "fail-worker"   // all tasks fail there
	HangWorker    Kind = "hang-worker"   // no task makes progress there
	LateOrders    Kind = "late-orders"   // a fifth of all orders is carried out late
	TakeOut       Kind = "take-out"      // a data centre is taken out until the end
	Configuration Kind = "configuration" // a new version is put in force
	SlowNode      Kind = "slow-node"     // a node's processor is slow
	SlowAll       Kind = "slow-all"      // the processors of all nodes are slow
	KillMost      Kind = "kill-most"     // SIGKILL for 55% of the nodes at once, from the target on
)

var kinds = []Kind{KillNode, StopNode, FreezeNode, PowerLoss, CutStore, MuteStore, SlowStore, ResetStore, RefuseStore, LoseCommits,
	CompactStore, CutWorker, MuteWorker, KillWorker, FailWorker, HangWorker, LateOrders, TakeOut, Configuration}

// heavyKinds concern a node's processor or most nodes at once. They come on top of the
// others, so that the faults of a seed stay what they were.
var heavyKinds = []Kind{SlowNode, SlowAll, KillMost}

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration `json:"at"`
	Lasts  time.Duration `json:"lasts"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
}

// String describes the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %d", f.At.Seconds(), (f.At + f.Lasts).Seconds(), f.Kind, f.Target)
}

// Times of a schedule.
const (
	// quietStart lets the first leader settle.
	quietStart = 2 * time.Second
	// meanGap between the begins of two faults lets several overlap.
	meanGap = 900 * time.Millisecond
	// heavyGap is the mean time between two of heavyKinds.
	heavyGap = 5 * time.Second
	// shortest and longest are the limits of a fault's length; the longest is beyond
	// the time after which a silent leader is replaced and leases run out.
	shortest = 300 * time.Millisecond
	longest  = 6 * time.Second
)

// Schedule returns the faults of a seed, in order of time. The same arguments give
// the same faults.
func Schedule(seed uint64, nodes, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 11))
	var faults []Fault
	for at := quietStart; at < length; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(meanGap)) {
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Lasts: shortest + time.Duration(random.Int64N(int64(longest-shortest)))}
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
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func heavyFaults(seed uint64, nodes int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 12))
	var faults []Fault
	for at := quietStart + heavyGap/2; at < length; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(heavyGap)) {
		faults = append(faults, Fault{At: at, Kind: heavyKinds[random.IntN(len(heavyKinds))], Target: random.IntN(nodes),
			Lasts: shortest + time.Duration(random.Int64N(int64(longest-shortest)))})
	}
	return faults
}
