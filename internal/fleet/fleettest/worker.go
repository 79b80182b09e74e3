package fleettest

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Task describes how a task behaves on any worker.
type Task struct {
	// Work is how long the task takes; it is 0 for Lasting tasks.
	Work    time.Duration
	Lasting bool
	// Fails is the number of attempts that fail before one succeeds.
	Fails int
	Needs model.Resources
	// Checkpoint means that the progress is saved when the task is stopped.
	Checkpoint bool
	// Target is the latency target of a service task, in milliseconds; 0 for others.
	Target int
	Filler bool
	// Image is the name of the task's image; see InterferenceModel.
	Image string
	// Speculative tasks may run more than once at a time.
	Speculative bool
	// Members is the number of tasks of the task's gang; 0 if there is none.
	Members int
	// CrashAfter is how long after its start the task crashes its worker; 0 if it does not.
	CrashAfter time.Duration
	// StallsAt is the work at which the first attempt stands still; 0 if it does not. It goes on
	// using its processors if Spins is set.
	StallsAt time.Duration
	Spins    bool
}

// Workers is a simulated fleet. Nodes reach it through a WorkersView each.
type Workers struct {
	mu      sync.Mutex
	workers map[string]*Worker // by address
	links   map[string]Link    // by address
	// silent holds the addresses that neither accept nor refuse connections until a lifetime is up.
	silent map[string]bool
	// cutOff counts the cuts that keep all nodes from an address.
	cutOff  map[string]int
	clocks  *rand.Rand // of lifetimes that begin
	tasks   func(fleet.TaskName) Task
	checker *RunChecker
	random  *rand.Rand
	// LateShare is the share of calls that get no answer and take effect one to four seconds
	// later.
	LateShare float64
	lateOrder bool // the order being carried out is such a call
	// LateToNext makes such a call take effect on the next lifetime of a worker that has started
	// again meanwhile.
	LateToNext bool
	// UnverifiedStarts makes nodes send starts as earlier versions do, on connections of which it is not
	// known which lifetime accepted them.
	UnverifiedStarts bool
	// UnverifiedDeadlines makes polls carry lease deadlines on such connections, as earlier versions do.
	UnverifiedDeadlines bool
	// NewConnectionShare is the share of starts, and of polls with a deadline or an acknowledgement, that
	// find no idle connection.
	NewConnectionShare float64
	// LostShare is the share of calls, polls included, that take effect at once and get no
	// answer.
	LostShare float64
	// LeaseMax is the length to which workers shorten longer leases.
	LeaseMax time.Duration
	// ListedEnds is the number of ends that a report lists.
	ListedEnds int
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// Advisor, if set, must have issued the ticket of each start.
	Advisor        *Advisor
	ticketRefusals int // starts without a valid ticket
	// TailLatency returns the tail latency of a service task beside the given fillers, in
	// milliseconds; nil means a constant latency of 1 ms.
	TailLatency func(service fleet.TaskName, fillers []fleet.TaskName) int
	// Interference, if set, is used instead of TailLatency.
	Interference *InterferenceModel
	// Unguarded workers carry out starts for which they lack capacity; the checker records these.
	Unguarded bool
	// OnCrash, if set, is called without the lock when a task has crashed a worker.
	OnCrash func(*Worker)
	// Trace, if set, receives a line for each start and stop that a worker has got, and for each
	// end of a run or of a lifetime.
	Trace io.Writer
}

// trace writes a line about w. The lock is held.
func (w *Worker) trace(format string, args ...any) {
	if w.fleet.Trace == nil {
		return
	}
	_, _ = fmt.Fprintf(w.fleet.Trace, "%s %s born %d clock %d fence %d: %s\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), w.Info.Worker, w.Info.Born,
		w.clock().Milliseconds(), w.fence, fmt.Sprintf(format, args...)) // a lost line changes nothing for the test
}

// leaseMax is the usual length to which workers shorten leases.
const leaseMax = 6 * time.Second

// NewWorkers returns an empty fleet. The function tasks defines the behaviour of each task.
func NewWorkers(seed uint64, tasks func(fleet.TaskName) Task, l *RunChecker) *Workers {
	return &Workers{workers: map[string]*Worker{}, links: map[string]Link{}, silent: map[string]bool{}, cutOff: map[string]int{}, clocks: rand.New(rand.NewPCG(seed, 3)), LeaseMax: leaseMax, ListedEnds: maxListedEnds, StopTime: stopTime, tasks: tasks, checker: l, random: rand.New(rand.NewPCG(seed, 2))}
}

// Worker is a simulated worker process.
type Worker struct {
	Info      fleet.WorkerInfo
	fleet     *Workers
	startedAt time.Time
	// clockAtStart and clockRate define the worker's clock.
	clockAtStart time.Duration
	clockRate    float64
	fence        uint64
	lease        time.Duration // end of the lease on the worker's clock
	runs         map[fleet.RunRef]*simulatedRun
	ended        []listedEnd
	lastEnd      uint64
	// highestAttempt is the highest attempt of each task that was stopped or has ended.
	highestAttempt map[fleet.TaskName]int
	wake           chan struct{}
	dead           bool
	lastReport     *fleet.Report // set by Silence
	expiry         *time.Timer
	fillerLoads    []fillerLoad
	// fillerShare is the share of their CPU demand that fillers get; see InterferenceModel.
	fillerShare   float64
	shareTimerSet bool

	// formerCapacities lists the capacities before Info.Capacity, which count until a time.
	formerCapacities []formerCapacity

	// Hang makes new runs stall, Fail makes them fail, Unending makes them reach 100% without
	// an end. Late carries all calls out late, as LateShare does.
	Hang, Fail, Unending, Late bool
}

// listedEnd is the end of a run that the leader has not acknowledged yet.
type listedEnd struct {
	fleet.RunEnd
	at time.Time
	// leaseExpired means that the worker's lease has expired since the end.
	leaseExpired bool
}

type simulatedRun struct {
	ref                fleet.RunRef
	worker             *Worker
	task               Task
	speedSetAt         time.Time
	progressAtSpeedSet time.Duration // progress at speedSetAt
	endProgress        time.Duration // progress at which the run ends by itself; 0 if it does not
	timer              *time.Timer
	stopping           bool
	pace               int // in percent; affects only fillers
	// hung means that the run makes no progress; only a stop or the end of the lease ends it.
	hung  bool
	fails bool
}

// maxClockAtStart bounds what the clock of a lifetime reads when it begins.
const maxClockAtStart = 30 * time.Minute

// Add starts a worker. A worker that still runs at its address ends without notice.
func (f *Workers) Add(info fleet.WorkerInfo) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if former := f.workers[info.Addr]; former != nil {
		f.kill(former)
	}
	delete(f.silent, info.Addr)
	w := &Worker{Info: info, fleet: f, startedAt: time.Now(), clockAtStart: time.Duration(f.clocks.Int64N(int64(maxClockAtStart))), clockRate: 1, runs: map[fleet.RunRef]*simulatedRun{}, highestAttempt: map[fleet.TaskName]int{}, wake: make(chan struct{}), fillerShare: 1}
	f.workers[info.Addr] = w
	return w
}

// SetClock sets a worker's clock before it has got any order. A worker that is old is unlike one
// that has started again: deadlines on its clock lie far in the future of the next lifetime's.
func (f *Workers) SetClock(w *Worker, now time.Duration, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.startedAt, w.clockAtStart, w.clockRate = time.Now(), now, rate
}

// WithLock calls change with the fleet's lock held.
func (f *Workers) WithLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// TicketRefusals returns the number of starts that were refused for lack of a valid ticket.
func (f *Workers) TicketRefusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ticketRefusals
}

// SetPaces sets the pace of all runs on w.
func (f *Workers) SetPaces(w *Worker, percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range w.runs {
		w.setPace(k, percent)
	}
}

// Paces returns the paces of the runs on w.
func (f *Workers) Paces(w *Worker) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var paces []int
	for _, k := range w.runs {
		paces = append(paces, k.pace)
	}
	return paces
}

// HasActiveFiller reports whether w has a filler that is not paused.
func (f *Workers) HasActiveFiller(w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range w.runs {
		if k.task.Filler && k.pace > 0 {
			return true
		}
	}
	return false
}

// RunCount returns the number of runs on w.
func (f *Workers) RunCount(w *Worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(w.runs)
}

// Runs reports whether a worker runs at an address.
func (f *Workers) Runs(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[addr] != nil
}

// LatestRun returns the worker of the run that was started last, or nil.
func (f *Workers) LatestRun() *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest *simulatedRun
	for _, w := range f.workers {
		for _, k := range w.runs {
			if latest == nil || k.speedSetAt.After(latest.speedSetAt) {
				latest = k
			}
		}
	}
	if latest == nil {
		return nil
	}
	return latest.worker
}

// RunningTasks returns the tasks of all runs.
func (f *Workers) RunningTasks() []fleet.TaskName {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []fleet.TaskName
	for _, w := range f.workers {
		for _, k := range w.runs {
			tasks = append(tasks, k.ref.Task)
		}
	}
	return tasks
}

func (w *Worker) clock() time.Duration {
	return w.clockAtStart + time.Duration(float64(time.Since(w.startedAt))*w.clockRate)
}

// realDuration returns the time in which the worker's clock advances by at least d.
func (w *Worker) realDuration(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) / w.clockRate))
}

// removeRun removes a run without reporting an end. The lock is held.
func (w *Worker) removeRun(ref fleet.RunRef) *simulatedRun {
	k := w.runs[ref]
	if k == nil {
		return nil
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	delete(w.runs, ref)
	w.recordFillerLoad()
	w.fleet.checker.ended(w, ref, k.task, "")
	return k
}

// endRun removes a run and adds its end to the list for the leader. The lock is held.
func (w *Worker) endRun(ref fleet.RunRef, how fleet.EndKind) {
	k := w.removeRun(ref)
	if k == nil {
		return
	}
	saved := ""
	if k.task.Checkpoint && how != fleet.EndDone {
		saved = k.progress().String()
	}
	w.lastEnd++
	w.highestAttempt[ref.Task] = max(w.highestAttempt[ref.Task], ref.Attempt)
	e := fleet.RunEnd{Number: w.lastEnd, RunRef: ref, How: how, Checkpoint: saved}
	w.ended = append(w.ended, listedEnd{RunEnd: e, at: time.Now()})
	w.trace("%s attempt %d ends %s", ref.Task, ref.Attempt, how)
	w.fleet.checker.ended(w, ref, k.task, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// extendLease extends the lease; it never shortens it. When the lease expires, all runs end
// as lapsed. The lock is held.
func (w *Worker) extendLease(deadline time.Duration) {
	deadline = min(deadline, w.clock()+w.fleet.LeaseMax)
	if deadline <= w.lease {
		return
	}
	w.lease = deadline
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.expiry = time.AfterFunc(w.realDuration(w.lease-w.clock()), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if remaining := w.lease - w.clock(); remaining > 0 { // extended, or rounded
			w.expiry.Reset(w.realDuration(remaining))
			return
		}
		for ref := range w.runs {
			w.endRun(ref, fleet.EndLapsed)
		}
		for i := range w.ended {
			w.ended[i].leaseExpired = true
		}
	})
}

// used returns the sum of the resources that the runs reserve.
func (w *Worker) used() model.Resources {
	var sum model.Resources
	for _, k := range w.runs {
		sum = sum.Add(k.reserved())
	}
	return sum
}

func (k *simulatedRun) reserved() model.Resources {
	r := k.task.Needs
	if k.task.Filler {
		r.MilliCPU = 0
	}
	return r
}

// startRun executes a start order. The lock is held.
func (w *Worker) startRun(o fleet.StartOrder) fleet.StartVerdict {
	if o.Fence < w.fence {
		return fleet.StartFenced
	}
	w.fence = o.Fence
	if w.runs[o.RunRef] != nil {
		w.extendLease(o.Deadline)
		return fleet.StartRunning
	}
	if o.Deadline <= w.clock() {
		return fleet.StartDeadlinePassed
	}
	w.extendLease(o.Deadline)
	if o.Attempt <= w.highestAttempt[o.Task] {
		return fleet.StartSuperseded
	}
	if a := w.fleet.Advisor; a != nil && !a.valid(w, o) {
		w.fleet.ticketRefusals++
		return fleet.StartNoTicket
	}
	task := w.fleet.tasks(o.Task)
	k := &simulatedRun{ref: o.RunRef, worker: w, task: task, speedSetAt: time.Now(), pace: 100}
	if !w.used().Add(k.reserved()).Fits(w.Info.Capacity) {
		if !w.fleet.Unguarded {
			return fleet.StartNoCapacity
		}
		if !w.used().Add(k.reserved()).Fits(w.countedCapacity()) {
			w.fleet.checker.AddViolation(fmt.Sprintf("task %s starts on %s, which lacks capacity", o.Task, w.Info.Worker))
		}
	}
	if o.Checkpoint != "" {
		k.progressAtSpeedSet, _ = time.ParseDuration(o.Checkpoint)
	}
	w.runs[o.RunRef] = k
	w.recordFillerLoad()
	w.fleet.checker.started(w, o, task, w.fleet.lateOrder)
	w.planEnd(k)
	if task.CrashAfter > 0 {
		time.AfterFunc(task.CrashAfter, func() { w.fleet.crash(k) })
	}
	return fleet.StartRunning
}

// formerCapacity is a capacity that counts until a time after it has shrunk.
type formerCapacity struct {
	model.Resources
	until time.Time
}

// countedCapacity returns the capacity over which no start may bring w: of each resource the most
// that still counts.
func (w *Worker) countedCapacity() model.Resources {
	most := w.Info.Capacity
	for _, f := range w.formerCapacities {
		if time.Now().Before(f.until) {
			most = model.Resources{MilliCPU: max(most.MilliCPU, f.MilliCPU), MemoryMB: max(most.MemoryMB, f.MemoryMB), Accelerators: max(most.Accelerators, f.Accelerators)}
		}
	}
	return most
}

// rate returns the speed of a run. For fillers it is the pace times their share of the CPU.
func (k *simulatedRun) rate() float64 {
	if k.task.Filler {
		return float64(k.pace) / 100 * k.worker.fillerShare
	}
	return 1
}

// progress returns the completed work.
func (k *simulatedRun) progress() time.Duration {
	done := k.progressAtSpeedSet + time.Duration(k.rate()*float64(time.Since(k.speedSetAt)))
	if k.stalls() {
		return min(done, k.task.StallsAt)
	}
	return done
}

// stalls reports whether the run never ends by itself, as it stands still from some progress on.
func (k *simulatedRun) stalls() bool { return k.task.StallsAt > 0 && k.ref.Attempt == 1 }

// changeSpeed calls alter, which changes the speed of runs, and reschedules their ends. The
// lock is held.
func (w *Worker) changeSpeed(runs []*simulatedRun, alter func()) {
	for _, k := range runs {
		k.progressAtSpeedSet, k.speedSetAt = k.progress(), time.Now()
		if k.timer != nil {
			k.timer.Stop()
		}
	}
	alter()
	for _, k := range runs {
		w.scheduleEnd(k)
	}
}

// setPace changes the pace of a run. The lock is held.
func (w *Worker) setPace(k *simulatedRun, percent int) {
	w.changeSpeed([]*simulatedRun{k}, func() { k.pace = percent })
	w.recordFillerLoad()
}

// planEnd determines when and how a run ends by itself. The lock is held.
func (w *Worker) planEnd(k *simulatedRun) {
	if k.task.Lasting {
		return
	}
	if k.hung = w.Hang && !w.Fail; k.hung || w.Unending || k.stalls() {
		return
	}
	k.endProgress = max(k.task.Work, k.progressAtSpeedSet+time.Millisecond)
	if k.fails = w.Fail || k.ref.Attempt <= k.task.Fails; k.fails {
		k.endProgress = k.progressAtSpeedSet + (k.endProgress-k.progressAtSpeedSet)/2
	}
	w.scheduleEnd(k)
}

// scheduleEnd starts the timer that ends a run. The lock is held.
func (w *Worker) scheduleEnd(k *simulatedRun) {
	if k.endProgress == 0 || k.rate() == 0 {
		return
	}
	how := fleet.EndDone
	if k.fails {
		how = fleet.EndFailed
	}
	k.timer = time.AfterFunc(time.Duration(float64(k.endProgress-k.progressAtSpeedSet)/k.rate()), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.dead && w.runs[k.ref] == k {
			w.endRun(k.ref, how)
		}
	})
}

// stopTime is how long a stop usually takes.
const stopTime = 100 * time.Millisecond

// stopRun executes a stop order. The lock is held.
func (w *Worker) stopRun(r fleet.RunRef, fence uint64) fleet.StartVerdict {
	if fence < w.fence {
		return fleet.StartFenced
	}
	w.fence = fence
	w.highestAttempt[r.Task] = max(w.highestAttempt[r.Task], r.Attempt)
	if k := w.runs[r]; k != nil && !k.stopping {
		k.stopping = true
		time.AfterFunc(w.fleet.StopTime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.runs[r] == k {
				w.endRun(r, fleet.EndStopped)
			}
		})
	}
	return fleet.StartRunning
}

// maxListedEnds is the number of ends that a report of a real worker lists.
const maxListedEnds = 500

// report returns the status of the runs and the ends that are not acknowledged. The lock is
// held.
func (w *Worker) report() fleet.Report {
	r := fleet.Report{Verdict: fleet.StartRunning, Born: w.Info.Born, Clock: w.clock()}
	for _, e := range w.ended[:min(len(w.ended), w.fleet.ListedEnds)] {
		r.Ended = append(r.Ended, e.RunEnd)
	}
	r.EndsCut = len(r.Ended) == w.fleet.ListedEnds
	for ref, k := range w.runs {
		s := fleet.RunStatus{RunRef: ref, Percent: 100, Reading: int(k.task.Needs.MilliCPU)}
		if !k.task.Lasting && k.task.Work > 0 {
			s.Percent = min(int(100*k.progress()/k.task.Work), 100)
			if w.Hang || k.hung || (k.task.Filler && k.pace == 0) {
				s.Percent, s.Reading = 0, 0
			}
			if k.stalls() && !k.task.Spins && k.progress() >= k.task.StallsAt {
				s.Reading = 0
			}
		}
		if k.task.Target > 0 {
			s.Reading = w.tail(k)
		}
		r.Running = append(r.Running, s)
	}
	return r
}

// tail returns the tail latency of a service run in milliseconds. The lock is held.
func (w *Worker) tail(service *simulatedRun) int {
	if w.fleet.Interference != nil {
		return int(float64(service.task.Target) / w.serviceState(service).Headroom)
	}
	if w.fleet.TailLatency == nil {
		return 1
	}
	var fillers []fleet.TaskName
	for ref, k := range w.runs {
		if k.task.Filler && k.pace > 0 {
			fillers = append(fillers, ref.Task)
		}
	}
	return w.fleet.TailLatency(service.ref.Task, fillers)
}
