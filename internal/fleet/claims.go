package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A lasting task that has lost its run has a claim to the room of one worker that is free or held by work that
// ends by itself or is being stopped. New work starts beside the claims only, whatever its priority, so the task
// starts once that work has ended: a plan is due at once then. A claim keeps its worker from plan to plan while the
// task fits there.
//
// Room that is free is claimed first, by lost tasks of any cell that fit there. Behind a claim that waits for other work
// it would stand empty until that has ended.
//
// Tasks that may turn out to be lost have claims, too: those on workers that are gone and have leases left, and
// after a change of leader those that are not accounted for. Otherwise short work would take the room that is
// free just before the loss is known.

const (
	// claimLead is how long before the end of its worker's leases a task on a worker that is gone has a claim. It is
	// the time in which most short tasks end.
	claimLead = 2 * time.Second
	// overdueShare is the share of its expected time that a run is expected to take on beyond it.
	overdueShare = 0.25
	// stopTime is how long the end of a run takes that is or can be stopped.
	stopTime = 300 * time.Millisecond
	// maxClaimWait is the longest expected wait for the room of a claim at which its task looks for no other room.
	maxClaimWait = 2500 * time.Millisecond
	// pausedTime is how long a run at pace 0 is expected to take.
	pausedTime = time.Minute
	// anyTime is a limit for waits that excludes none.
	anyTime = time.Duration(math.MaxInt64)
)

// claimant is a step with lasting tasks that have claims.
type claimant struct {
	state   *stepState
	job     *job
	step    *Step
	index   int // of the step in its job
	service model.ServiceName
	// lost counts tasks that wait for a worker, expected those that may be lost soon.
	lost, expected int
	// prompt counts the claims to room that is expected to be free within maxClaimWait.
	prompt int
	// before are the workers of the last plan's claims that this one has not decided on.
	before []*worker
}

// mayClaim reports whether lost tasks of a step have claims. A gang needs more than room on one worker.
func (s *Step) mayClaim() bool { return s.Lasting && !s.Filler && !s.Gang }

// claimRoom decides anew which workers the lost tasks among waiting steps, and those that may be lost, claim. The
// order is that of the waiting steps. Tasks that are known to be lost go first, in this cell and then in others, and
// each keeps its worker: those that fit into free room, then the others.
func (t *term) claimRoom(pools placements, waiting []*waitingStep) {
	clear(t.claimed)
	clear(t.keptForOthers)
	clear(t.roomGrants)
	t.unplaced, t.lostUnplaced, t.expectedUnplaced = nil, nil, nil
	all, requests := t.claimants(waiting), t.presentRequests()
	t.claiming = all
	for _, c := range all {
		c.before, c.state.claims = c.state.claims, nil
	}
	for _, c := range all {
		t.placementOf(pools, c.service).keepClaims(c, 0)
	}
	for _, c := range all {
		t.placementOf(pools, c.service).addClaims(c, c.lost, 0)
	}
	t.reserveForOtherCells(pools, requests, roomRequest.lostTasks, 0)
	for _, c := range all {
		t.placementOf(pools, c.service).keepClaims(c, maxClaimWait)
	}
	for _, c := range all {
		t.placementOf(pools, c.service).addClaims(c, c.lost, anyTime)
	}
	t.reserveForOtherCells(pools, requests, roomRequest.lostTasks, maxClaimWait)
	runsKnown := t.allRunsKnown()
	for _, c := range all {
		t.placementOf(pools, c.service).addClaims(c, c.lost+c.expected, anyTime)
		if missing := min(c.lost+c.expected-len(c.state.claims), c.expected); missing > 0 && runsKnown && c.job.mayLend(c.step) {
			t.recordUnplaced(c.service, c.step, false, missing)
			t.expectedUnplaced = addUnplaced(t.expectedUnplaced, unplacedOf(c.service, c.step, missing))
		}
	}
	t.reserveForOtherCells(pools, requests, roomRequest.expectedTasks, maxClaimWait)
	t.answerRoomRequests()
}

// claimants returns the steps with claims, those with tasks that are known to be lost first.
func (t *term) claimants(waiting []*waitingStep) []*claimant {
	var all []*claimant
	byState := map[*stepState]*claimant{}
	add := func(s *stepState, j *job, index int) *claimant {
		c := byState[s]
		if c == nil {
			c = &claimant{state: s, job: j, step: &j.spec.Steps[index], index: index, service: t.queues[j.queue].Service}
			byState[s] = c
			all = append(all, c)
		}
		return c
	}
	for _, w := range waiting {
		if w.restart && w.step.mayClaim() {
			w.claimant = add(w.state(), w.job, w.index)
			w.claimant.lost += len(w.tasks)
		}
	}
	lost := len(all)
	for _, r := range t.endingServices() {
		if o, _ := r.job.task(r.key); o != nil {
			add(&o.steps[r.key.step], r.job, r.key.step).expected++
		}
	}
	if !t.allRunsKnown() {
		t.unaccountedSteps(func(j *job, s *stepState, index int) {
			// A job that is not stored as started has no runs, see held_starts.go.
			if j.started && j.spec.Steps[index].mayClaim() {
				add(s, j, index).expected += s.tasksWithoutRun()
			}
		})
	}
	slices.SortFunc(all[lost:], func(a, b *claimant) int {
		return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
	})
	return all
}

// endingServices returns the lasting runs on workers that are gone whose leases end within claimLead.
func (t *term) endingServices() []*run {
	var ending []*run
	for _, w := range t.workers {
		if (w.listed && w.unansweredCalls == 0) || w.leaseEnd().Sub(t.now) > claimLead {
			continue
		}
		for _, r := range w.runs {
			if r.job != nil && r.step != nil && r.live() && !r.job.over() && r.step.mayClaim() {
				ending = append(ending, r)
			}
		}
	}
	return ending
}

// request returns the request for a task of c.
func (c *claimant) request() taskRequest {
	r := taskRequest{job: c.job, step: c.step, tasksPerWorker: runsPerWorker(c.state), restart: true}
	for _, w := range c.state.claims {
		r.tasksPerWorker[w]++
	}
	return r
}

// keepClaims claims room for the lost tasks of c where they had claims, as far as they fit there within a limit.
func (p *placement) keepClaims(c *claimant, limit time.Duration) {
	r := c.request()
	c.before = slices.DeleteFunc(c.before, func(w *worker) bool {
		if len(c.state.claims) >= c.lost || !p.fitsWithin(w, r, limit) {
			return false
		}
		p.addClaim(c, w, r)
		return true
	})
}

// addClaims claims room that is free within a limit for the tasks of c until it has as many claims as wanted.
func (p *placement) addClaims(c *claimant, wanted int, limit time.Duration) {
	r := c.request()
	for len(c.state.claims) < wanted {
		w := (*worker)(nil)
		if limit > 0 && len(c.before) > 0 {
			w, c.before = c.before[0], c.before[1:]
			if !p.fitsWithin(w, r, maxClaimWait) {
				continue
			}
		} else if w = p.soonest(r, limit); w == nil {
			return
		}
		p.addClaim(c, w, r)
	}
}

func (p *placement) addClaim(c *claimant, w *worker, r taskRequest) {
	p.claimed[w] = p.claimed[w].Add(c.step.Reserved())
	if p.waitFor(w, p.claimed[w]) <= maxClaimWait {
		c.prompt++
	}
	c.state.claims = append(c.state.claims, w)
	r.tasksPerWorker[w]++
}

// fitsWithin reports whether a task may keep its claim on w: there is room within a limit.
func (p *placement) fitsWithin(w *worker, r taskRequest, limit time.Duration) bool {
	return p.isUsable(w) && p.mayClaim(w, r) && p.waitFor(w, p.claimed[w].Add(r.step.Reserved())) <= limit
}

// hasRoomForLost reports whether a lost task can start on w now: one that claims room there, or one without a claim
// that fits beside all claims, as the work that has just ended was no room to claim in the last plan.
func (t *term) hasRoomForLost(w *worker) bool {
	if len(t.claiming) == 0 || t.unusableReason(w) != "" {
		return false
	}
	unclaimed := w.free().Sub(t.claimed[w])
	return slices.ContainsFunc(t.claiming, func(c *claimant) bool {
		need := c.step.Reserved()
		if slices.Contains(c.lostClaims(), w) {
			return need.Fits(w.free())
		}
		return len(c.state.claims) < c.lost && c.service == w.info.Service && w.hasLabel(c.step.Label) && need.Fits(unclaimed)
	})
}

// lostClaims returns the workers that lost tasks of c claim.
func (c *claimant) lostClaims() []*worker { return c.state.claims[:min(len(c.state.claims), c.lost)] }

// withdrawClaims withdraws the claims of c while its tasks are placed.
func (p *placement) withdrawClaims(c *claimant) {
	for _, w := range c.state.claims {
		p.claimed[w] = p.claimed[w].Sub(c.step.Reserved())
	}
	c.before, c.state.claims, c.prompt = c.state.claims, nil, 0
}

// mayClaim reports whether a task fits on w beside all claims once the work that ends has ended.
func (p *placement) mayClaim(w *worker, r taskRequest) bool {
	return r.step.Reserved().Fits(w.endingCapacity().Sub(p.claimed[w])) && w.hasLabel(r.step.Label) && r.hasTaskSlot(w) &&
		!(w.health.onProbation() && w.hasTrialRun()) && !w.keepsApart(r.job, p.now)
}

// isUsable reports whether w is one of the workers of p.
func (p *placement) isUsable(w *worker) bool {
	if p.usable == nil {
		p.usable = make(map[*worker]bool, len(p.workers))
		for _, x := range p.workers {
			p.usable[x] = true
		}
	}
	return p.usable[w]
}

// soonest returns the worker on which a task fits soonest beside all claims, of several the one on which it
// leaves least; nil if there is none within a limit.
func (p *placement) soonest(r taskRequest, limit time.Duration) *worker {
	need := r.step.Reserved()
	smallest := &p.smallestUnclaimable
	if limit == 0 {
		smallest = &p.smallestNotFree
	}
	if *smallest != nil && (*smallest).Fits(need) {
		return nil
	}
	var best *worker
	var bestWait time.Duration
	var bestLeft int64
	for _, w := range p.workers {
		if (limit == 0 && !need.Fits(w.free().Sub(p.claimed[w]))) || !p.mayClaim(w, r) {
			continue
		}
		wait, left := p.waitFor(w, p.claimed[w].Add(need)), w.endingCapacity().MilliCPU-p.claimed[w].MilliCPU
		if wait > limit {
			continue
		}
		if best == nil || wait < bestWait || (wait == bestWait && left < bestLeft) {
			best, bestWait, bestLeft = w, wait, left
		}
	}
	if best == nil && (limit == 0 || limit == anyTime) && r.step.Label == "" && r.step.PerWorker == 0 {
		*smallest = &need
	}
	return best
}

// runEnd is the expected end of a run that ends by itself or is being stopped, from now, and what it frees.
type runEnd struct {
	after time.Duration
	freed model.Resources
}

// waitFor returns how long it takes until an amount is free on w, by the expected ends of its runs.
func (p *placement) waitFor(w *worker, amount model.Resources) time.Duration {
	free := w.free()
	if amount.Fits(free) {
		return 0
	}
	ends, known := p.runEnds[w]
	if !known {
		for _, r := range w.runs {
			if r.ending() {
				ends = append(ends, runEnd{p.timeLeft(r), r.reserved})
			}
		}
		slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.after, b.after) })
		if p.runEnds == nil {
			p.runEnds = map[*worker][]runEnd{}
		}
		p.runEnds[w] = ends
	}
	for _, e := range ends {
		if free = free.Add(e.freed); amount.Fits(free) {
			return e.after
		}
	}
	return pausedTime
}

// timeLeft returns how long a run that ends by itself is expected to take on.
func (p *placement) timeLeft(r *run) time.Duration {
	if !r.live() || r.reduced || r.job == nil {
		return stopTime
	}
	expected := p.expectedRunTime(r.job, r.step)
	left := max(expected-p.now.Sub(r.startedAt), time.Duration(overdueShare*float64(expected)))
	if r.step.Filler && r.pace < 100 {
		if r.pace == 0 {
			return pausedTime
		}
		left = left * 100 / time.Duration(r.pace)
	}
	return left
}

// fitsBesideClaims reports whether a task fits on w now without taking room that others claim. A lost task may use
// room that is not free yet for the others, as these start once the work that ends by itself has ended.
func (p *placement) fitsBesideClaims(w *worker, r taskRequest) bool {
	claimed, some := p.claimed[w]
	if !some {
		return true
	}
	need, free := r.step.Reserved(), w.free().Sub(claimed)
	if r.restart {
		free = w.endingCapacity().Sub(claimed)
	}
	return (need.MilliCPU == 0 || need.MilliCPU <= free.MilliCPU) && (need.MemoryMB == 0 || need.MemoryMB <= free.MemoryMB) &&
		(need.Accelerators == 0 || need.Accelerators <= free.Accelerators)
}
