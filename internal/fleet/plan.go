package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// planInterval spaces plans: events that come in a burst share one.
const planInterval = 6 * time.Millisecond

// startsPerRound bounds the starts of one plan, so that the loop keeps up with
// answers; the next round goes on.
const startsPerRound = 200

// plan places the tasks that wait, the most urgent first.
func (t *term) plan() {
	if !t.active() {
		return
	}
	t.stuck = nil
	if t.layout.Cells > 1 {
		t.readHoles()
	}
	unseen := t.unseenServices()
	wants := t.moveJobs(t.collectWants(), unseen)
	t.counters.waiting.Set(float64(len(wants)))
	if len(wants) == 0 {
		return
	}
	sortWants(wants)
	pools := map[model.ServiceName]*placement{}
	left := startsPerRound
	for _, w := range wants {
		if left <= 0 {
			t.dirty = true
			return
		}
		p := pools[w.queue.Service]
		if p == nil {
			p = t.pool(w.queue.Service)
			t.holdForOthers(p, w.queue.Service)
			pools[w.queue.Service] = p
		}
		if len(p.workers) > 0 && p.leavesRoom(w, unseen[w.queue.Service]) {
			started := t.placeStep(p, w)
			left -= started
			if started == len(w.tasks) || !w.step.Lasting || w.step.Filler || !w.job.started {
				continue
			}
			if w.restart {
				p.holdFor(w.step)
			}
			t.lendStuck(w)
		}
	}
}

// pool collects the workers of a service that take new runs.
func (t *term) pool(service model.ServiceName) *placement {
	p := &placement{now: t.now, harm: &t.harm}
	for _, w := range t.workers {
		if w.info.Service == service && t.unusable(w) == "" {
			p.workers = append(p.workers, w)
		}
	}
	return p
}

// unusable names why no new run is sent to a worker; empty when one may be.
func (t *term) unusable(w *worker) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.info.Draining:
		return "draining"
	case t.out[w.info.DataCentre]:
		return "data centre out"
	case w.failures > 0:
		return "no answer"
	case !w.raised:
		return "not asked yet"
	case !w.durable:
		return "not registered yet"
	case w.health.resting(t.now):
		return "resting"
	case t.machines.closing[w.info.Worker], t.now.Before(t.emptying[w.info.Worker]):
		return "upkeep"
	}
	return ""
}

// placeStep starts tasks of a step and returns how many.
func (t *term) placeStep(p *placement, w *want) int {
	if !w.restart && p.refused(w.step) {
		return 0
	}
	r := request{step: w.step, onWorker: stepWorkers(&w.occ.steps[w.index]), restart: w.restart}
	if w.queue.Advised {
		if r.tickets = t.tickets(p, w); r.tickets == nil {
			return 0
		}
	}
	if w.step.SameRack {
		r.rack = t.rackFor(p, w, r)
		if r.rack == "" && w.step.Gang {
			return 0
		}
	}
	if w.step.Gang {
		return t.placeGang(p, w, r)
	}
	started := 0
	for _, i := range w.tasks {
		r.task = &w.occ.steps[w.index].tasks[i]
		worker := p.choose(r)
		if worker == nil {
			p.noteRefused(w.step)
			break
		}
		t.start(w.job, w.key(i), worker, r.tickets[worker.info.Worker])
		r.onWorker[worker]++
		started++
	}
	return started
}

// stepWorkers counts the runs of a step per worker.
func stepWorkers(s *stepState) map[*worker]int {
	n := map[*worker]int{}
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			n[r.worker]++
		}
	}
	return n
}

// rackFor returns the rack of a step whose tasks should share one: the one that
// its runs are on, or the one with most room for what waits.
func (t *term) rackFor(p *placement, w *want, r request) string {
	s := &w.occ.steps[w.index]
	for i := range s.tasks {
		for _, run := range s.tasks[i].runs {
			if run.worker.rack != "" {
				return run.worker.rack
			}
		}
	}
	best, room := "", 0
	for rack, n := range p.feasibleRacks(r) {
		if n < len(w.tasks) && w.step.Gang {
			continue
		}
		if rack == w.step.Near {
			n *= 2
		}
		if n > room || (n == room && rack < best) {
			best, room = rack, n
		}
	}
	return best
}

// placeGang starts all members of a gang or none.
func (t *term) placeGang(p *placement, w *want, r request) int {
	s := &w.occ.steps[w.index]
	if len(w.tasks) != s.left {
		return 0
	}
	chosen := make([]*worker, 0, len(w.tasks))
	for _, i := range w.tasks {
		r.task = &s.tasks[i]
		worker := p.choose(r)
		if worker == nil {
			break
		}
		chosen = append(chosen, worker)
		r.onWorker[worker]++
		t.hold(worker, w.step, 1)
	}
	for _, worker := range chosen {
		t.hold(worker, w.step, -1)
	}
	if len(chosen) < len(w.tasks) {
		return 0
	}
	attempt, checkpoint := 0, ""
	for _, i := range w.tasks {
		attempt = max(attempt, w.job.nextAttempt(&s.tasks[i], t.number))
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	for n, i := range w.tasks {
		t.startAs(w.job, w.key(i), chosen[n], r.tickets[chosen[n].info.Worker], attempt, checkpoint)
	}
	return len(w.tasks)
}

// hold reserves room on a worker while a gang is placed, or frees it.
func (t *term) hold(w *worker, s *Step, n int64) {
	need := s.Reserved()
	w.used = w.used.Add(model.Resources{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators})
	if s.Filler {
		w.fillers += n * s.Needs.MilliCPU
	}
}

// advice is what the advisor has said about a step.
type advice struct {
	tickets map[model.WorkerID]string
	until   time.Time
	busy    bool
	retry   time.Time
}

// Times of advice.
const (
	// adviceWorkers bounds the workers named in one call; each costs time.
	adviceWorkers = 30
	// adviceTimeout bounds a call.
	adviceTimeout = 1500 * time.Millisecond
	// advicePause is the pause after a failed call.
	advicePause = 300 * time.Millisecond
	// adviceMargin is taken off the validity of tickets.
	adviceMargin = 200 * time.Millisecond
)

// tickets returns the valid tickets of a step, or nil while they are asked for.
func (t *term) tickets(p *placement, w *want) map[model.WorkerID]string {
	s := &w.occ.steps[w.index]
	if s.advice == nil {
		s.advice = &advice{}
	}
	a := s.advice
	if len(a.tickets) > 0 && t.now.Before(a.until) {
		return a.tickets
	}
	if a.busy || t.now.Before(a.retry) || t.cfg.Advisor == nil {
		return nil
	}
	a.busy = true
	go t.askAdvisor(a, w.key(0).StepName(w.job.id), t.adviceCandidates(p, w))
	return nil
}

// dropTicket forgets the advice whose ticket a worker has refused, so that the
// advisor is asked again; other workers may refuse the rest of it.
func (t *term) dropTicket(r *run) {
	o, _ := r.job.task(r.key)
	if o == nil {
		return
	}
	a := o.steps[r.key.step].advice
	if a != nil && a.tickets[r.worker.info.Worker] == r.ticket {
		a.tickets = nil
		a.retry = t.now.Add(advicePause)
	}
}

// adviceCandidates picks workers on which the step fits, at random.
func (t *term) adviceCandidates(p *placement, w *want) []model.WorkerID {
	var ids []model.WorkerID
	for _, i := range t.random.Perm(len(p.workers)) {
		if p.feasible(p.workers[i], request{step: w.step}) {
			ids = append(ids, p.workers[i].info.Worker)
		}
		if len(ids) == adviceWorkers {
			break
		}
	}
	return ids
}

// advised is the advisor's answer.
type advised struct {
	advice *advice
	step   string
	answer Advice
	asked  time.Time
	err    error
}

func (t *term) askAdvisor(a *advice, step string, workers []model.WorkerID) {
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := t.cfg.Advisor.Advise(ctx, step, workers)
	t.post(advised{a, step, answer, asked, err})
}

func (e advised) handle(t *term) {
	e.advice.busy = false
	if e.err != nil || len(e.answer.Tickets) == 0 {
		e.advice.retry = t.now.Add(advicePause)
	}
	e.advice.tickets = e.answer.Tickets
	e.advice.until = e.asked.Add(e.answer.Valid - adviceMargin)
	t.dirty = true
	entry := t.log.WithFields(logrus.Fields{"decision": "advice", "step": e.step, "candidates": len(e.answer.Tickets)})
	if e.err != nil {
		entry = entry.WithError(e.err)
	}
	entry.Info("advice")
}
