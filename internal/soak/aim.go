package soak

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Kinds of faults that are aimed at the node that leads when they start. Their target is set then.
const (
	CutLeaderZone    Kind = "cut-leader-zone"    // the leader's data centre is cut off from the store and from the other data centres
	CutLeader        Kind = "cut-leader"         // the leader reaches workers, but not the store, and its peers do not reach it
	CutLeaderWorkers Kind = "cut-leader-workers" // the nodes of the leader's data centre reach no worker
	FreezeLeader     Kind = "freeze-leader"      // SIGSTOP until the end
	SlowLeader       Kind = "slow-leader"        // the leader's CPU is slow
	StallLeader      Kind = "stall-leader"       // the links from the leader's data centre to several workers stall, then deliver
	LoseLeader       Kind = "lose-leader"        // the leader and several workers end and answer nobody until long after their leases
	LoseLarge        Kind = "lose-large"         // as lose-leader, for a large host: the leader, or one that could take the lead
)

// aimedKinds are the kinds of which series consist.
var aimedKinds = []Kind{CutLeaderZone, CutLeader, CutLeaderWorkers, FreezeLeader, SlowLeader, StallLeader}

func (k Kind) aimed() bool { return k.loses() || slices.Contains(aimedKinds, k) }

// loses reports whether the target of a kind is gone until the end.
func (k Kind) loses() bool { return k == LoseLeader || k == LoseLarge }

// Times of aimed faults. They come in series, one series after the other.
const (
	// firstSeries is the start of the first series: by then tasks run that last longer than a cut.
	firstSeries = 8 * time.Second
	// A cut lasts longer than 9 s, after which the leases of a leader that is not heard of have ended.
	minAimedCut = 9500 * time.Millisecond
	maxAimedCut = 11 * time.Second
	minFreeze   = time.Second
	maxFreeze   = 6 * time.Second
	stallTime   = 2 * time.Second
	// A leader and workers that are lost stay away for longer than maxWithoutRun and judgedTime.
	minLoss = 11 * time.Second
	maxLoss = 13 * time.Second
	// maxLostWorkers is the largest number of workers that are lost with a leader.
	maxLostWorkers = 4
	// minSeriesStep and maxSeriesStep bound the time between the starts of two faults of a series: the
	// next leader has just begun, or takes the leases of the former one for over.
	minSeriesStep = 2500 * time.Millisecond
	maxSeriesStep = 12 * time.Second
	// minSeriesPause and maxSeriesPause bound the time between two series.
	minSeriesPause = 3 * time.Second
	maxSeriesPause = 6 * time.Second
)

// Numbers of faults of a series.
const (
	minSeriesFaults = 2
	maxSeriesFaults = 3
)

// AimedSchedule returns the aimed faults of a seed in order of their start. It is deterministic.
func AimedSchedule(seed uint64, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 16))
	var faults []Fault
	for at := firstSeries; at < length; {
		start, end := at, at
		for i := range minSeriesFaults + random.IntN(maxSeriesFaults-minSeriesFaults+1) {
			f := Fault{At: start, Kind: aimedKinds[random.IntN(len(aimedKinds))]}
			if i == 0 && random.IntN(2) == 0 {
				f.Kind = CutLeaderZone
			}
			if f.Kind == StallLeader {
				f.Workers = drawGroup(random, workers)
			}
			f.Duration = drawAimedDuration(random, f.Kind)
			faults = append(faults, f)
			end = max(end, f.At+f.Duration)
			start += drawDuration(random, minSeriesStep, maxSeriesStep)
		}
		at = end + drawDuration(random, minSeriesPause, maxSeriesPause)
	}
	return append(faults, lossAfter(seed, faults, workers))
}

// lossAfter returns the loss of a leader that follows the last series. It is drawn from a generator of
// its own, so that a seed keeps its series.
func lossAfter(seed uint64, series []Fault, workers int) Fault {
	random := rand.New(rand.NewPCG(seed, 17))
	f := Fault{At: firstSeries, Kind: LoseLeader, Workers: drawGroup(random, workers), Duration: drawDuration(random, minLoss, maxLoss)}
	f.Workers = f.Workers[:min(len(f.Workers), maxLostWorkers)]
	pause := drawDuration(random, minSeriesPause, maxSeriesPause)
	for _, s := range series {
		f.At = max(f.At, s.At+s.Duration+pause)
	}
	return f
}

func drawAimedDuration(random *rand.Rand, k Kind) time.Duration {
	switch k {
	case FreezeLeader, SlowLeader:
		return drawDuration(random, minFreeze, maxFreeze)
	case StallLeader:
		return stallTime
	}
	return drawDuration(random, minAimedCut, maxAimedCut)
}

func drawDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// Rows in which leaders renew.
const (
	leaderTable = "vp-leader"
	leaderKey   = "leader"
)

// leader returns the index of the node that leads by the store's word, or that a lead was handed
// over to; in a fleet of several cells the one that has renewed last. It is 0 before the first term.
func (c *cluster) leader() int {
	node, _ := c.newestRenewal()
	return max(0, node)
}

// newestRenewal returns the index of the node that leads, -1 before the first term, and the version of
// its renewal.
func (c *cluster) newestRenewal() (leader int, version uint64) {
	var newest fleet.Row
	for _, r := range c.rows.Rows(leaderTable) {
		if r.Key == leaderKey && r.Version > newest.Version {
			newest = r
		}
	}
	var record struct {
		Node      model.NodeID `cbor:"2,keyasint"`
		Successor model.NodeID `cbor:"7,keyasint"`
	}
	_ = cbor.Unmarshal(newest.Value, &record) // a row that cannot be read names no node
	if record.Successor != "" {
		record.Node = record.Successor
	}
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.name == string(record.Node) }), newest.Version
}

// aim sets the targets of an aimed fault that starts now: the leader and, for a loss, workers with
// lasting tasks, beginning at the first that was drawn, if there are any.
func (c *cluster) aim(f *Fault) {
	f.Target = c.leader()
	if f.Kind == LoseLarge {
		f.Target = c.largeTarget(f.Target)
	}
	if !f.Kind.loses() || len(f.Workers) == 0 {
		return
	}
	lasting := c.ledger.LastingWorkers()
	var found []int
	for i := range c.workers {
		w := (f.Workers[0] + i) % len(c.workers)
		if lasting[model.WorkerID(c.workers[w].id)] && len(found) < maxLostWorkers {
			found = append(found, w)
		}
	}
	if len(found) > 0 {
		f.Workers = found
	}
}

// startAimed starts a fault that is aimed at the leader.
func (c *cluster) startAimed(f Fault) {
	if c.aimedFaults == 0 {
		c.ledger.Disturb()
	}
	c.aimedFaults++
	switch f.Kind {
	case FreezeLeader:
		c.nodes[f.Target].freeze(true)
	case SlowLeader:
		c.nodes[f.Target].throttleCPU(f.Duration)
	case LoseLeader, LoseLarge:
		c.holdLinks(f, true)
		for _, w := range f.Workers {
			c.killInstance(c.workers[w])
		}
		c.nodes[f.Target].lost.Store(true)
		c.nodes[f.Target].signal(syscall.SIGKILL)
	default:
		c.holdLinks(f, true)
	}
}

// endAimed ends a fault that is aimed at the leader.
func (c *cluster) endAimed(f Fault) error {
	var err error
	switch f.Kind {
	case FreezeLeader:
		c.nodes[f.Target].freeze(false)
	case SlowLeader: // ends by itself
	case LoseLeader, LoseLarge:
		err = c.returnWorkers(f.Workers)
		c.holdLinks(f, false)
		c.nodes[f.Target].lost.Store(false)
		c.restart(c.nodes[f.Target])
		c.lead.hostReturns(time.Now())
	default:
		c.holdLinks(f, false)
	}
	c.aimedFaults--
	if c.aimedFaults == 0 {
		c.ledger.Calm()
	}
	return err
}

// returnWorkers starts new processes of workers that were lost.
func (c *cluster) returnWorkers(workers []int) error {
	for _, w := range workers {
		if err := c.startInstance(c.workers[w]); err != nil {
			return err
		}
		for _, l := range c.links {
			l.workers[w].setTarget(c.workers[w].runner.Listener.Addr().String())
		}
	}
	return nil
}

// holdLinks holds back the links that a fault cuts, or ends that.
func (c *cluster) holdLinks(f Fault, on bool) {
	own := f.Target % zones
	switch f.Kind {
	case CutLeaderZone:
		for i := own; i < len(c.nodes); i += zones {
			c.nodes[i].storeProxy.hold(on)
		}
		for from := range c.links {
			for w := range c.workers {
				if (from == own) != (w%zones == own) {
					c.holdWorker(from, w, on)
				}
			}
			for n := range c.nodes {
				if (from == own) != (n%zones == own) {
					c.links[from].peers[n].hold(on)
				}
			}
		}
	case CutLeader:
		c.nodes[f.Target].storeProxy.hold(on)
		c.holdPeer(f.Target, on)
	case LoseLeader, LoseLarge:
		c.holdPeer(f.Target, on)
		for from := range c.links {
			for _, w := range f.Workers {
				c.holdWorker(from, w, on)
			}
		}
	case CutLeaderWorkers:
		for w := range c.workers {
			c.holdWorker(own, w, on)
		}
	case StallLeader:
		for _, w := range f.Workers {
			c.holdWorker(own, w, on)
		}
	}
}

// holdPeer holds back the links of all data centres to a node, or ends that.
func (c *cluster) holdPeer(node int, on bool) {
	for _, l := range c.links {
		l.peers[node].hold(on)
	}
}

// holdWorker holds back the link from a data centre to a worker, or ends that.
func (c *cluster) holdWorker(from, w int, on bool) {
	c.links[from].workers[w].hold(on)
	if !on {
		c.ledger.HeldBack(model.WorkerID(c.workers[w].id), time.Now().Add(heldOrderTime))
	}
}

// Load and nodes of a run with aimed faults: 30 jobs and 450 starts a second for 350 workers, and 6
// large hosts of 45, at least two.
const (
	// aimedJobInterval is the mean time between two jobs for one worker.
	aimedJobInterval = 350 * time.Second / 30
	aimedMaxTasks    = 19
	maxAimedTask     = 3 * time.Second
	// One in lastingShare tasks takes lastingTime, longer than a cut, as the tasks of services do.
	lastingShare   = 8
	lastingTime    = 12 * time.Second
	largeHostShare = 6.0 / 45
	minLargeHosts  = 2
	largeHostCPU   = 0.8
	smallHostCPU   = 0.11
)

// aimedTaskBehaviour gives each task a run time, derived from its name.
func aimedTaskBehaviour(name fleet.TaskName) fleettest.Task {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	random := rand.New(rand.NewPCG(h.Sum64(), 0))
	work := drawDuration(random, 200*time.Millisecond, maxAimedTask)
	if random.IntN(lastingShare) == 0 {
		work = lastingTime
	}
	return fleettest.Task{Work: work, Needs: model.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}, Checkpoint: true}
}

// hostSize returns the processor share of a node and the bandwidth of its link in a run with aimed faults.
func (c *cluster) hostSize(i int) (share, mbps float64) {
	switch {
	case i < c.large:
		return largeHostCPU, largeMbps
	case c.narrow:
		return narrowHostCPU, smallMbps
	}
	return smallHostCPU, smallMbps
}

// termEnds counts the terms that ended, by the reason in the nodes' logs.
func (c *cluster) termEnds() (map[string]int, error) {
	var ends map[string]int
	err := c.logLines(`"term ends"`, func(_ int, data []byte) {
		var line struct{ Reason string }
		if json.Unmarshal(data, &line) != nil {
			return
		}
		if ends == nil {
			ends = map[string]int{}
		}
		ends[line.Reason]++
	})
	return ends, err
}
