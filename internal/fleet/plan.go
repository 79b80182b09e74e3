package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// planInterval is the least time between plans, so that a burst of events shares one.
	planInterval = 6 * time.Millisecond
	// planIntervalPerStep is added for each waiting step beyond cheapPlanSteps that the last plan has
	// looked at, and maxPlanInterval bounds the sum: beside a backlog, plans in a row would leave the
	// host no time for the answers of workers.
	planIntervalPerStep = 400 * time.Microsecond
	cheapPlanSteps      = 50
	maxPlanInterval     = 150 * time.Millisecond
)

// planPause returns the least time from the begin of the last plan to that of the next. A lost task that can start
// does not wait for the steps of a backlog.
func (t *term) planPause() time.Duration {
	pause := planInterval
	if !t.lostMayStart {
		pause = min(planInterval+time.Duration(max(t.plannedSteps-cheapPlanSteps, 0))*planIntervalPerStep, maxPlanInterval)
	}
	return max(pause, t.planTime+workPause(t.planTime))
}

// maxStartsPerPlan bounds the starts of one plan, so that the loop keeps up with answers.
// The next plan continues.
const maxStartsPerPlan = 200

// plan places waiting tasks, the most urgent first: it collects and orders the waiting steps,
// moves jobs that another cell serves better, holds capacity back from new services, and
// starts what finds a worker.
func (t *term) plan() {
	if !t.mayPlace() {
		return
	}
	if t.layout.Cells > 1 {
		t.refreshRemoteCapacity()
	}
	waiting := t.giveUpCrashingTasks(t.collectWaitingSteps())
	t.observeShortWork(waiting)
	for _, w := range waiting {
		w.state().waits = waitsForMove
	}
	t.plannedSteps = len(waiting)
	t.placeSteps(waiting)
	t.requestRoom()
	t.logLoad(waiting)
	t.logLostTasks(waiting)
}

// startsLeft returns how many starts this plan may decide: as many as the host carries out until the next one,
// less those that are held back.
func (t *term) startsLeft() int {
	held := 0
	for _, r := range t.heldStarts {
		if r.held() && !r.job.holdsStart(r.step) {
			held++
		}
	}
	return max(t.callSlots.planned(maxStartsPerPlan)-held, 0)
}

// hasStartsForPlan reports whether a plan may decide enough starts to be worth its time. While starts are short and
// those that are held back last until the next plan, that is half of what a plan may decide.
func (t *term) hasStartsForPlan() bool {
	left := t.startsLeft()
	if t.startsAreShort() {
		return 2*left >= t.callSlots.planned(maxStartsPerPlan)
	}
	return left > 0
}

// recordShortSlots notes whether a plan had more to start than calls could begin.
func (t *term) recordShortSlots(short bool) {
	switch {
	case !short:
		t.shortSince = time.Time{}
	case t.shortSince.IsZero():
		t.shortSince = t.now
	}
}

// placeSteps moves jobs that another cell serves better and starts what finds a worker of the
// others. It records why a step is not started.
func (t *term) placeSteps(waiting []*waitingStep) {
	short := false
	defer func() { t.recordShortSlots(short) }()
	held := t.capacityToHold(waiting)
	waiting = t.moveJobs(slices.Clone(waiting), held)
	t.metrics.waiting.Set(float64(len(waiting)))
	sortWaitingSteps(waiting)
	pools := placements{}
	t.claimRoom(pools, waiting)
	if len(waiting) == 0 {
		return
	}
	for _, w := range waiting {
		w.state().waits = waitsForTurn
	}
	left := t.startsLeft()
	idleFirst := t.startsAreShort()
	for n, w := range waiting {
		if idleFirst && left > 0 && w.urgency > urgencyOnTime {
			idleFirst = false
			left -= t.startIdleSteps(pools, waiting[n:], left)
		}
		if left <= 0 {
			t.planDue, t.plannedSteps, short = true, 0, true // the next plan continues at once
			return
		}
		if len(w.tasks) == 0 {
			continue
		}
		p := t.placementOf(pools, w.queue.Service)
		if len(p.workers) == 0 {
			w.state().waits = waitsForWorkers
			if w.mayBeLent() {
				t.lendUnplaced(w)
			}
			if w.claimant != nil {
				w.tasks = w.tasks[:min(left, len(w.tasks))]
				left -= t.startOnLastResort(p, w)
			}
			continue
		}
		allowed := p.allowedTasks(w, held)
		if allowed == 0 {
			allowed = p.allowedOfIdleJob(w, held)
		}
		if allowed < len(w.tasks) {
			w.state().waits = waitsForHeldCapacity
			w.tasks = w.tasks[:allowed] // the others wait for the next plan
		}
		if len(w.tasks) > left && !w.step.Gang {
			w.tasks = w.tasks[:left] // a later plan continues
			t.planDue, short = true, true
		}
		if len(w.tasks) > 0 {
			left -= t.placeOrMakeRoom(p, w)
		}
	}
	t.searchIdleJobs(pools, waiting, left)
}

// placements holds the placements of a plan by service.
type placements map[model.ServiceName]*placement

// placementOf returns the placement of a plan over the workers of a service.
func (t *term) placementOf(pools placements, service model.ServiceName) *placement {
	p := pools[service]
	if p == nil {
		p = t.newPlacement(service)
		pools[service] = p
	}
	return p
}

// placeOrMakeRoom starts as many tasks of a step as fit and returns their number. The lost lasting tasks among
// the others keep their claims, or find room in another cell.
func (t *term) placeOrMakeRoom(p *placement, w *waitingStep) int {
	c := w.claimant
	if c == nil {
		started := t.placeStep(p, w)
		if started < len(w.tasks) && w.mayBeLent() {
			t.lendUnplaced(w)
		}
		return started
	}
	p.withdrawClaims(c)
	started := t.placeStep(p, w)
	if started > 0 {
		p.smallestUnclaimable = nil // they may leave the room that they claimed
	}
	c.lost -= started
	p.keepClaims(c, maxClaimWait)
	p.addClaims(c, c.lost, anyTime)
	p.addClaims(c, c.lost+c.expected, anyTime)
	for _, x := range c.lostClaims() {
		if x.reducedMilliCPU > 0 {
			t.stopReducedFor(x, w.step)
		}
	}
	if c.prompt >= c.lost {
		return started
	}
	if w.mayBeLent() {
		t.lendUnplaced(w)
	}
	return started + t.startOnLastResort(p, w)
}

// startOnLastResort starts the lost tasks of a step that neither have a worker nor are lent on workers that are
// quarantined or on probation, and returns their number: on such a worker a service may work, without one it
// does not. It starts none that need a ticket.
func (t *term) startOnLastResort(p *placement, w *waitingStep) int {
	if w.queue.Advised {
		return 0
	}
	started := 0
	r := taskRequest{job: w.job, step: w.step, tasksPerWorker: runsPerWorker(w.state()), restart: true}
	for _, i := range w.tasksWithoutRoom() {
		r.task = &w.state().tasks[i]
		awaitsAnswer := t.layout.Cells > 1 && w.mayBeLent() && t.now.Sub(r.task.unplacedSince) < roomRequestTimeout
		if r.task.lentTo > 0 || awaitsAnswer {
			continue
		}
		worker := p.findLastResort(r)
		if worker == nil {
			break
		}
		t.startTask(w.job, w.key(i), worker, "").lastResort = true
		r.tasksPerWorker[worker]++
		started++
	}
	return started
}

// searchIdleJobs makes room for idle jobs and starts them at a reduced pace, at most once every
// idleCheckInterval. All services together get at most limit starts.
func (t *term) searchIdleJobs(pools placements, waiting []*waitingStep, limit int) {
	if t.now.Sub(t.idleJobsCheckedAt) < idleCheckInterval {
		return
	}
	t.idleJobsCheckedAt = t.now
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		t.stopReducedForIdleJobs(pools[service], waiting)
		limit -= t.startIdleJobs(pools[service], waiting, limit)
	}
}

// newPlacement returns a placement over the usable workers of a service.
func (t *term) newPlacement(service model.ServiceName) *placement {
	p := &placement{now: t.now, service: service, interference: &t.interference, claimed: t.claimed, expectedRunTime: t.expectedRunTime}
	for _, w := range t.workers {
		if w.info.Service != service {
			continue
		}
		reason := t.unusableReason(w)
		if reason == "" {
			p.workers = append(p.workers, w)
		}
		if (reason == "" || reason == unusableResting) && w.health.lastResort(t.now) {
			p.lastResort = append(p.lastResort, w)
		}
	}
	return p
}

// unusableResting is the reason of a worker that is quarantined, or has just refused a start.
const unusableResting = "resting"

// unusableReason returns why no new run is sent to a worker; empty if it is usable.
func (t *term) unusableReason(w *worker) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.info.Draining:
		return "draining"
	case t.dataCentresOut[w.info.DataCentre]:
		return "data centre out"
	case w.unansweredCalls > 0:
		return "no answer"
	case !w.answered:
		return "not asked yet"
	case w.leaseRecordTerm > 0:
		return "leases recorded"
	case !w.usedRowStored:
		return "not registered yet"
	case t.maintenance.evacuating[w.info.Worker], t.now.Before(t.evacuatingUntil[w.info.Worker]):
		return "upkeep"
	case w.health.excluded(t.now):
		return unusableResting
	}
	return ""
}

// placeStep starts as many tasks of a step as fit and returns their number.
func (t *term) placeStep(p *placement, w *waitingStep) int {
	if reason := p.knownUnplaceable(w.step); reason != waitsForNothing && !w.restart {
		w.state().waits = reason
		return 0
	}
	r := taskRequest{job: w.job, step: w.step, tasksPerWorker: runsPerWorker(&w.occurrence.steps[w.index]), restart: w.restart}
	if w.queue.Advised {
		if r.tickets = t.tickets(p, w); r.tickets == nil {
			w.state().waits = waitsForTicket
			return 0
		}
	}
	if w.step.SameRack {
		r.rack = t.chooseRack(p, w, r)
		if r.rack == "" && w.step.Gang && !(t.waitedForRack(w, w.tasks[0]) && t.mostlyFree(p.service)) {
			w.state().waits = waitsForGangCapacity
			return 0
		}
	}
	if w.step.Gang {
		return t.placeGang(p, w, r)
	}
	started := 0
	ranks := p.rank(r)
	for _, i := range w.tasks {
		r.task = &w.occurrence.steps[w.index].tasks[i]
		worker, missing := ranks.find(r)
		if worker == nil && r.rack != "" && w.step.Lasting && t.waitedForRack(w, i) {
			r.rack = ""
			ranks = p.rank(r)
			worker, missing = ranks.find(r)
		}
		if worker == nil {
			w.state().waits = waitReasonOf(missing, w.step)
			p.recordUnplaceable(r, w.state().waits)
			break
		}
		t.startTask(w.job, w.key(i), worker, r.tickets[worker.info.Lifetime])
		r.tasksPerWorker[worker]++
		ranks.update(worker, r)
		started++
	}
	return started
}

// runsPerWorker counts the runs of a step per worker.
func runsPerWorker(s *stepState) map[*worker]int {
	n := map[*worker]int{}
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			n[r.worker]++
		}
	}
	return n
}

// chooseRack returns the rack for a step whose tasks should share one: the rack of its
// runs, or else the one where most tasks fit. The rack that holds the data counts twice.
func (t *term) chooseRack(p *placement, w *waitingStep, r taskRequest) string {
	s := &w.occurrence.steps[w.index]
	for i := range s.tasks {
		for _, run := range s.tasks[i].runs {
			if run.worker.rack != "" {
				return run.worker.rack
			}
		}
	}
	best, most := "", 0
	for rack, n := range p.feasibleRacks(r) {
		if n < len(w.tasks) && w.step.Gang {
			continue
		}
		if rack == w.step.Near {
			n *= 2
		}
		if n > most || (n == most && rack < best) {
			best, most = rack, n
		}
	}
	return best
}

// waitedForRack reports whether a task has waited long enough for a place in the rack of its step.
// Outside it the task is slower.
func (t *term) waitedForRack(w *waitingStep, task int) bool {
	s := w.state()
	return t.now.Sub(s.waitedSince(&s.tasks[task])) >= idleLimitOf(w)
}

// placeGang starts all members of a gang or none. It returns the number of starts.
func (t *term) placeGang(p *placement, w *waitingStep, r taskRequest) int {
	s := &w.occurrence.steps[w.index]
	if len(w.tasks) != s.remaining {
		s.waits = waitsForGangMembers
		return 0
	}
	chosen := make([]*worker, 0, len(w.tasks))
	for _, i := range w.tasks {
		r.task = &s.tasks[i]
		worker, missing := p.findWorker(r)
		if worker == nil {
			s.waits = waitReasonOf(missing, w.step)
			break
		}
		chosen = append(chosen, worker)
		r.tasksPerWorker[worker]++
		t.adjustReservation(worker, w.step, 1)
	}
	for _, worker := range chosen {
		t.adjustReservation(worker, w.step, -1)
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
		t.startAttempt(w.job, w.key(i), chosen[n], r.tickets[chosen[n].info.Lifetime], attempt, checkpoint)
	}
	return len(w.tasks)
}

// adjustReservation adds the reservations of n tasks of a step to a worker while a gang is
// placed; a negative n removes them.
func (t *term) adjustReservation(w *worker, s *Step, n int64) {
	need := s.Reserved()
	w.reserved = w.reserved.Add(model.Resources{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators})
	if s.Filler {
		w.fillerMilliCPU += n * s.Needs.MilliCPU
	}
}

// stepAdvice is the advisor's latest answer for a step and the state of its next call.
type stepAdvice struct {
	tickets    map[Lifetime]string
	validUntil time.Time
	inFlight   bool
	retryAt    time.Time
}

// Times of advice.
const (
	// maxAdviceWorkers bounds the workers named in one call; each makes the call slower. A gang
	// needs enough of them at once, so its call names up to maxGangAdviceWorkers.
	maxAdviceWorkers     = 30
	maxGangAdviceWorkers = 100
	// adviceTimeout bounds a call.
	adviceTimeout = 1500 * time.Millisecond
	// adviceRetryPause is the pause after a failed call.
	adviceRetryPause = 300 * time.Millisecond
	// adviceMargin is subtracted from the validity of tickets.
	adviceMargin = 200 * time.Millisecond
)

// tickets returns the valid tickets of a step. If there are none, it asks the advisor and
// returns nil.
func (t *term) tickets(p *placement, w *waitingStep) map[Lifetime]string {
	s := &w.occurrence.steps[w.index]
	if s.advice == nil {
		s.advice = &stepAdvice{}
	}
	a := s.advice
	if t.now.Before(a.validUntil) && t.ticketsSuffice(a, w.step) {
		return a.tickets
	}
	if a.inFlight || t.now.Before(a.retryAt) || t.cfg.Advisor == nil {
		return nil
	}
	a.inFlight = true
	go t.askAdvisor(a, w.key(0).StepName(w.job.id), t.adviceCandidates(p, w))
	return nil
}

// ticketsSuffice reports whether tickets are left for present lifetimes of workers: for a gang all that were
// issued, or as many as it has members.
func (t *term) ticketsSuffice(a *stepAdvice, s *Step) bool {
	present := 0
	for l := range a.tickets {
		if w := t.workers[l.Worker]; w != nil && w.info.Lifetime == l {
			present++
		}
	}
	return present > 0 && (!s.Gang || present == len(a.tickets) || present >= s.Count)
}

// dropTicket discards the whole advice when a worker refused one of its tickets, so that
// the advisor is asked again. Other workers may refuse the remaining tickets too.
func (t *term) dropTicket(r *run) {
	o, _ := r.job.task(r.key)
	if o == nil {
		return
	}
	a := o.steps[r.key.step].advice
	if a != nil && a.tickets[r.worker.info.Lifetime] == r.ticket {
		a.tickets = nil
		a.retryAt = t.now.Add(adviceRetryPause)
	}
}

// adviceCandidates returns a random choice of workers on which the step fits. For an idle job of
// fillers that fits on none it returns workers that may run it at a reduced pace.
func (t *term) adviceCandidates(p *placement, w *waitingStep) []Lifetime {
	most := maxAdviceWorkers
	if w.step.Gang { // the advisor may allow a part of them only
		most = min(max(2*w.step.Count, maxAdviceWorkers), maxGangAdviceWorkers)
	}
	ids := t.chooseCandidates(p.workers, most, func(x *worker) bool { return p.feasible(x, taskRequest{step: w.step}) })
	if since, idle := w.job.idleSince(); len(ids) > 0 || !w.step.Filler || !idle || t.now.Sub(since) < idleLimit || !t.mostlyFree(p.service) {
		return ids
	}
	return t.chooseCandidates(p.workersForReduced(), most, func(x *worker) bool { return p.obstacle(x, taskRequest{step: w.step}).allowsReducedPace() })
}

// chooseCandidates returns a random choice of at most the given number of workers that suit.
func (t *term) chooseCandidates(workers []*worker, most int, suits func(*worker) bool) []Lifetime {
	var ids []Lifetime
	for _, i := range t.random.Perm(len(workers)) {
		if suits(workers[i]) {
			ids = append(ids, workers[i].info.Lifetime)
		}
		if len(ids) == most {
			break
		}
	}
	return ids
}

// adviceReply is the advisor's answer.
type adviceReply struct {
	advice *stepAdvice
	step   string
	// workers are those that were asked for. A ticket is valid in one lifetime only; the advisor names ids.
	workers []Lifetime
	answer  Advice
	asked   time.Time
	err     error
}

func (t *term) askAdvisor(a *stepAdvice, step string, workers []Lifetime) {
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	ids := make([]model.WorkerID, len(workers))
	for i, w := range workers {
		ids[i] = w.Worker
	}
	asked := time.Now()
	answer, err := t.cfg.Advisor.Advise(ctx, step, ids)
	t.post(adviceReply{a, step, workers, answer, asked, err})
}

func (e adviceReply) handle(t *term) {
	e.advice.inFlight = false
	e.advice.tickets = make(map[Lifetime]string, len(e.answer.Tickets))
	for _, w := range e.workers {
		if ticket := e.answer.Tickets[w.Worker]; ticket != "" {
			e.advice.tickets[w] = ticket
		}
	}
	if e.err != nil || len(e.advice.tickets) == 0 {
		e.advice.retryAt = t.now.Add(adviceRetryPause)
	}
	e.advice.validUntil = e.asked.Add(e.answer.Valid - adviceMargin)
	t.planDue = true
	entry := t.log.WithFields(logrus.Fields{"decision": "advice", "step": e.step, "candidates": len(e.answer.Tickets)})
	if e.err != nil {
		entry = entry.WithError(e.err)
	}
	entry.Info("advisor answered")
}
