package routing

import (
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Target is a runner as given by the host list and the leaving marks of package request.
type Target struct {
	ID         model.RunnerID
	Addr       string
	DataCentre model.DataCentre
	// Leaving is true when no new request may go to the runner.
	Leaving bool
}

// Pool is a node's state about the runners of one service.
type Pool struct {
	balancer      Balancer
	outlierConfig OutlierConfig
	rand          *rand.Rand
	runners       map[model.RunnerID]*Runner
	// order lists the runners by position.
	order []*Runner
	// free lists the runners that can accept a request now, in no particular order.
	free           []*Runner
	busy           int
	slots          int
	backedOffCount int
	// backedOff lists the backed-off runners. The backoff of some entries may have ended.
	backedOff     []*Runner
	medianLatency time.Duration
	finished      int
	scratch       []float64
}

// NewPool returns an empty pool that uses balancer b.
func NewPool(b Balancer, outlier OutlierConfig, seed uint64) *Pool {
	return &Pool{
		balancer:      b,
		outlierConfig: outlier.withDefaults(),
		rand:          rand.New(rand.NewPCG(seed, 2)),
		runners:       map[model.RunnerID]*Runner{},
	}
}

// Update replaces the set of runners. It keeps the state of runners that remain, and of missing
// runners with requests in flight.
func (p *Pool) Update(targets []Target) {
	seen := make(map[model.RunnerID]bool, len(targets))
	for _, t := range targets {
		seen[t.ID] = true
		r := p.runners[t.ID]
		if r == nil {
			r = &Runner{ID: t.ID, freeIndex: -1, position: len(p.order)}
			p.runners[t.ID] = r
			p.order = append(p.order, r)
		}
		r.Addr, r.DataCentre, r.leaving = t.Addr, t.DataCentre, t.Leaving
	}
	p.removeMissing(seen)
	p.recount()
}

// removeMissing removes runners that are not in seen once they have no requests in flight.
func (p *Pool) removeMissing(seen map[model.RunnerID]bool) {
	kept := p.order[:0]
	for _, r := range p.order {
		if !seen[r.ID] {
			r.leaving = true
			p.updateFree(r)
			if r.inFlight == 0 {
				delete(p.runners, r.ID)
				continue
			}
		}
		r.position = len(kept)
		kept = append(kept, r)
	}
	clear(p.order[len(kept):])
	p.order = kept
}

// recount recomputes the slots, the backed-off runners and the free list after a change of
// runners or limits.
func (p *Pool) recount() {
	p.slots, p.backedOffCount, p.backedOff = 0, 0, p.backedOff[:0]
	for _, r := range p.order {
		if r.leaving {
			r.backoff = backoffState{}
		}
		if r.backoff.active {
			p.backedOffCount++
			p.backedOff = append(p.backedOff, r)
		}
		if !r.leaving && !r.backoff.active {
			p.slots += r.limit
		}
		p.updateFree(r)
	}
}

// SetLimits sets the number of slots that this node may use at each runner.
func (p *Pool) SetLimits(limit func(model.RunnerID) int) {
	for _, r := range p.order {
		r.limit = limit(r.ID)
	}
	p.recount()
}

// SetLeaving stops new requests to a runner. It returns false if the runner is unknown or was
// leaving already.
func (p *Pool) SetLeaving(id model.RunnerID) bool {
	r := p.runners[id]
	if r == nil || r.leaving {
		return false
	}
	r.leaving = true
	p.recount()
	return true
}

// updateFree adds r to the list of free runners or removes it, according to its state.
func (p *Pool) updateFree(r *Runner) {
	available := !r.leaving && !r.backoff.active && r.inFlight < r.limit
	switch {
	case available && r.freeIndex < 0:
		r.freeIndex = len(p.free)
		p.free = append(p.free, r)
	case !available && r.freeIndex >= 0:
		last := p.free[len(p.free)-1]
		p.free[r.freeIndex] = last
		last.freeIndex = r.freeIndex
		p.free[len(p.free)-1] = nil
		p.free = p.free[:len(p.free)-1]
		r.freeIndex = -1
	}
}

// Choice is the result of Pick.
type Choice struct {
	// Runner is nil when the request has to wait.
	Runner *Runner
	// Addr and Limit are the runner's address and the number of slots that this node may
	// use there, at the time of the choice.
	Addr  string
	Limit int
	// Candidates is the number of runners with a free slot.
	Candidates int
	// Reason is the reason code for the decision log.
	Reason string
}

// PickOptions holds the options of one Pick.
type PickOptions struct {
	// Probe allows the choice of a backed-off runner whose probe is due.
	Probe bool
	// Exclude is a runner that must not be chosen because the request was already sent to
	// it.
	Exclude model.RunnerID
}

// Pick chooses a runner. The caller then calls Start, or SetLimits if the runner has no free
// slot.
func (p *Pool) Pick(now time.Time, o PickOptions) Choice {
	if o.Probe {
		if r := p.probeDue(now); r != nil && r.ID != o.Exclude {
			return p.choiceOf(r, "probe")
		}
	}
	if len(p.free) == 0 {
		return Choice{Reason: "no-free-slot"}
	}
	restore := p.hideFromFree(o.Exclude)
	defer restore()
	if len(p.free) == 0 {
		return Choice{Reason: "no-other-runner"}
	}
	i := p.balancer.Pick(p.free, PickContext{Now: now, MedianLatency: p.medianLatency, Rand: p.rand})
	return p.choiceOf(p.free[i], p.balancer.Name())
}

// choiceOf returns a Choice with runner r.
func (p *Pool) choiceOf(r *Runner, reason string) Choice {
	return Choice{Runner: r, Addr: r.Addr, Limit: r.limit, Candidates: len(p.free), Reason: reason}
}

// hideFromFree removes a runner from the free list until the returned function is called.
func (p *Pool) hideFromFree(id model.RunnerID) func() {
	r := p.runners[id]
	if id == "" || r == nil || r.freeIndex < 0 {
		return func() {}
	}
	leaving := r.leaving
	r.leaving = true
	p.updateFree(r)
	return func() {
		r.leaving = leaving
		p.updateFree(r)
	}
}

// Start records that a request was sent to r.
func (p *Pool) Start(r *Runner) {
	r.inFlight++
	p.busy++
	if r.backoff.active {
		r.backoff.probing = true
	}
	p.updateFree(r)
}

// Result is the outcome of a request at a runner.
type Result int8

const (
	// Success is a complete response in time.
	Success Result = iota
	// Failure is a connection error, an incomplete response or a timeout.
	Failure
	// Neutral gives no information about the runner, for example when the caller
	// disconnected.
	Neutral
)

// medianUpdateInterval is the number of results after which the median latency is recomputed.
// Sorting for each result would cost more than the choice of a runner itself.
const medianUpdateInterval = 64

// Finish records the end of a request at r. latency is the time since its start.
func (p *Pool) Finish(r *Runner, now time.Time, latency time.Duration, result Result) {
	r.inFlight--
	p.busy--
	if result == Neutral {
		r.backoff.probing = false
		p.updateFree(r)
		return
	}
	if result == Success || latency > r.est.Mean() {
		r.est.Add(latency)
	}
	p.finished++
	if p.finished%max(medianUpdateInterval, len(p.order)) == 0 || p.medianLatency == 0 {
		p.updateMedianLatency()
	}
	before := r.backoff.active
	p.recordResult(r, now, latency, result == Failure)
	p.updateFree(r)
	if before != r.backoff.active {
		p.recount()
	}
}

// Report records a peer's reports. age is their age on arrival.
func (p *Pool) Report(node model.NodeID, now time.Time, age time.Duration, reports []PeerReport) {
	at := now.Add(-age)
	for _, rep := range reports {
		r := p.runners[rep.Runner]
		if r == nil {
			continue
		}
		r.peers.prune(now)
		r.peers.set(peerReport{node: node, at: at, inFlight: rep.InFlight, mean: rep.Mean, backedOff: rep.BackedOff})
	}
}

// Runner returns the state of a runner, or nil if it is unknown.
func (p *Pool) Runner(id model.RunnerID) *Runner { return p.runners[id] }

// Runners returns the runners by position. The caller must not change the slice.
func (p *Pool) Runners() []*Runner { return p.order }

// Slots returns the number of slots at runners that are neither leaving nor backed off, and the
// number of slots in use at all runners.
func (p *Pool) Slots() (usable, busy int) { return p.slots, p.busy }

// MedianLatency returns the median of the runners' mean latencies; 0 when unknown.
func (p *Pool) MedianLatency() time.Duration { return p.medianLatency }

// Serving returns the number of runners that are neither leaving nor missing.
func (p *Pool) Serving() int { return p.serving() }

// serving counts the runners that are not leaving.
func (p *Pool) serving() int {
	n := 0
	for _, r := range p.order {
		if !r.leaving {
			n++
		}
	}
	return n
}

// HedgeDelay returns how long to wait for r's response before a hedged request is sent.
func (p *Pool) HedgeDelay(r *Runner, floor time.Duration) time.Duration {
	return max(r.est.Tail(), floor)
}
