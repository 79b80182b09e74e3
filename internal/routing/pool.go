package routing

import (
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Target is a runner as the host list and the leaving signs show it.
type Target struct {
	ID         model.RunnerID
	Addr       string
	DataCentre model.DataCentre
	// Leaving is true when no new request may go to the runner.
	Leaving bool
}

// Pool is a node's state about the runners of one service.
type Pool struct {
	balancer Balancer
	outlier  OutlierConfig
	rand     *rand.Rand
	runners  map[model.RunnerID]*Runner
	// order lists the runners by position.
	order []*Runner
	// free lists the runners that may take a request now.
	free     []*Runner
	busy     int
	slots    int
	outCount int
	// outs lists the backed-off runners; entries may have returned since.
	outs     []*Runner
	typical  time.Duration
	finished int
	scratch  []float64
}

// NewPool returns an empty pool that chooses with b.
func NewPool(b Balancer, outlier OutlierConfig, seed uint64) *Pool {
	return &Pool{
		balancer: b,
		outlier:  outlier.provision(),
		rand:     rand.New(rand.NewPCG(seed, 2)),
		runners:  map[model.RunnerID]*Runner{},
	}
}

// Update replaces the set of runners. State of runners that remain is kept; a
// runner that is gone and has nothing in flight is forgotten.
func (p *Pool) Update(targets []Target) {
	seen := make(map[model.RunnerID]bool, len(targets))
	for _, t := range targets {
		seen[t.ID] = true
		r := p.runners[t.ID]
		if r == nil {
			r = &Runner{ID: t.ID, free: -1, position: len(p.order)}
			p.runners[t.ID] = r
			p.order = append(p.order, r)
		}
		r.Addr, r.DataCentre, r.leaving = t.Addr, t.DataCentre, t.Leaving
	}
	p.forget(seen)
	p.refresh()
}

// forget drops runners that are not in seen.
func (p *Pool) forget(seen map[model.RunnerID]bool) {
	kept := p.order[:0]
	for _, r := range p.order {
		if !seen[r.ID] {
			r.leaving = true
			p.place(r)
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

// refresh recounts slots and outages after a change of runners or limits.
func (p *Pool) refresh() {
	p.slots, p.outCount, p.outs = 0, 0, p.outs[:0]
	for _, r := range p.order {
		if r.leaving {
			r.out = outage{}
		}
		if r.out.active {
			p.outCount++
			p.outs = append(p.outs, r)
		}
		if !r.leaving && !r.out.active {
			p.slots += r.limit
		}
		p.place(r)
	}
}

// SetLimits sets each runner's slots for this node.
func (p *Pool) SetLimits(limit func(model.RunnerID) int) {
	for _, r := range p.order {
		r.limit = limit(r.ID)
	}
	p.refresh()
}

// SetLeaving stops new requests to a runner. False means that it is unknown or
// was leaving already.
func (p *Pool) SetLeaving(id model.RunnerID) bool {
	r := p.runners[id]
	if r == nil || r.leaving {
		return false
	}
	r.leaving = true
	p.refresh()
	return true
}

// place puts r into the list of free runners or removes it, as its state says.
func (p *Pool) place(r *Runner) {
	may := !r.leaving && !r.out.active && r.inFlight < r.limit
	switch {
	case may && r.free < 0:
		r.free = len(p.free)
		p.free = append(p.free, r)
	case !may && r.free >= 0:
		last := p.free[len(p.free)-1]
		p.free[r.free] = last
		last.free = r.free
		p.free[len(p.free)-1] = nil
		p.free = p.free[:len(p.free)-1]
		r.free = -1
	}
}

// Choice is the result of Pick.
type Choice struct {
	// Runner is nil when the request has to wait.
	Runner *Runner
	// Addr and Limit are the runner's address and this node's slots there at the
	// time of the choice.
	Addr  string
	Limit int
	// Candidates is the number of runners with a free slot.
	Candidates int
	// Reason is a short code for the decision log.
	Reason string
}

// PickOptions qualifies one Pick.
type PickOptions struct {
	// Probe allows a due probe of a backed-off runner.
	Probe bool
	// Exclude is a runner that the request has been sent to already.
	Exclude model.RunnerID
}

// Pick chooses a runner. The caller then reports Start, or SetLimits if the
// runner turned out to have no slot.
func (p *Pool) Pick(now time.Time, o PickOptions) Choice {
	if o.Probe {
		if r := p.probeDue(now); r != nil && r.ID != o.Exclude {
			return p.choose(r, "probe")
		}
	}
	if len(p.free) == 0 {
		return Choice{Reason: "no-free-slot"}
	}
	restore := p.hide(o.Exclude)
	defer restore()
	if len(p.free) == 0 {
		return Choice{Reason: "no-other-runner"}
	}
	i := p.balancer.Pick(p.free, Situation{Now: now, Typical: p.typical, Rand: p.rand})
	return p.choose(p.free[i], p.balancer.Name())
}

// choose returns the choice of r.
func (p *Pool) choose(r *Runner, reason string) Choice {
	return Choice{Runner: r, Addr: r.Addr, Limit: r.limit, Candidates: len(p.free), Reason: reason}
}

// hide removes a runner from the free list until the returned function is called.
func (p *Pool) hide(id model.RunnerID) func() {
	r := p.runners[id]
	if id == "" || r == nil || r.free < 0 {
		return func() {}
	}
	leaving := r.leaving
	r.leaving = true
	p.place(r)
	return func() {
		r.leaving = leaving
		p.place(r)
	}
}

// Start records that a request was sent to r.
func (p *Pool) Start(r *Runner) {
	r.inFlight++
	p.busy++
	if r.out.active {
		r.out.probing = true
	}
	p.place(r)
}

// Result tells how a request at a runner ended.
type Result int8

const (
	// Success is a complete answer in good time.
	Success Result = iota
	// Failure is a connection error, a cut answer or a timeout.
	Failure
	// Neutral says nothing about the runner, as when the caller went away.
	Neutral
)

// typicalEvery is the number of results after which the typical latency is
// recomputed; sorting for each result would cost more than the choice itself.
const typicalEvery = 64

// Finish records the end of a request at r. Latency is the time since its start.
func (p *Pool) Finish(r *Runner, now time.Time, latency time.Duration, result Result) {
	r.inFlight--
	p.busy--
	if result == Neutral {
		r.out.probing = false
		p.place(r)
		return
	}
	if result == Success || latency > r.est.Mean() {
		r.est.Add(latency)
	}
	p.finished++
	if p.finished%max(typicalEvery, len(p.order)) == 0 || p.typical == 0 {
		p.updateTypical()
	}
	before := r.out.active
	p.judge(r, now, latency, result == Failure)
	p.place(r)
	if before != r.out.active {
		p.refresh()
	}
}

// Report records what a peer observed. Age is how old the report was on arrival.
func (p *Pool) Report(node model.NodeID, now time.Time, age time.Duration, reports []PeerReport) {
	at := now.Add(-age)
	for _, rep := range reports {
		r := p.runners[rep.Runner]
		if r == nil {
			continue
		}
		r.peers.prune(now)
		r.peers.set(peerReport{node: node, at: at, inFlight: rep.InFlight, mean: rep.Mean, out: rep.Out})
	}
}

// Runner returns the state of a runner, or nil.
func (p *Pool) Runner(id model.RunnerID) *Runner { return p.runners[id] }

// Runners returns the runners by position. The caller must not change the slice.
func (p *Pool) Runners() []*Runner { return p.order }

// Slots returns the slots at runners in service and those in use.
func (p *Pool) Slots() (usable, busy int) { return p.slots, p.busy }

// Typical returns the median of the runners' mean latencies; 0 when unknown.
func (p *Pool) Typical() time.Duration { return p.typical }

// Serving returns the number of runners that are neither leaving nor gone.
func (p *Pool) Serving() int { return p.serving() }

// serving counts runners that are not leaving.
func (p *Pool) serving() int {
	n := 0
	for _, r := range p.order {
		if !r.leaving {
			n++
		}
	}
	return n
}

// HedgeDelay returns how long to wait for r's answer before a hedge.
func (p *Pool) HedgeDelay(r *Runner, floor time.Duration) time.Duration {
	return max(r.est.Tail(), floor)
}
