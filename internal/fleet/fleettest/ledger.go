package fleettest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// Ledger checks the promises about runs, from what the workers see. Its methods
// are called with the fleet's lock held.
type Ledger struct {
	mu      sync.Mutex
	running map[fleet.TaskName]map[string]int  // attempts by worker
	noted   map[fleet.TaskName]bool            // ended done, and taken note of
	latest  map[fleet.TaskName]time.Time       // when the last attempt began
	done    map[string]map[fleet.TaskName]bool // tasks that ended done, by job
	begun   time.Time
	starts  int
	broken  []string
	// cancelled holds the jobs whose cancellation was acknowledged, and when.
	cancelled map[string]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[fleet.TaskName]map[string]int{}, noted: map[fleet.TaskName]bool{}, latest: map[fleet.TaskName]time.Time{}, done: map[string]map[fleet.TaskName]bool{}, begun: time.Now(), cancelled: map[string]time.Time{}}
}

func (l *Ledger) breach(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf("%v: ", time.Since(l.begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// Break notes a promise that another stand-in saw broken.
func (l *Ledger) Break(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach("%s", what)
}

func (l *Ledger) started(w *Worker, o fleet.StartOrder, task Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.running[o.Task] == nil {
		l.running[o.Task] = map[string]int{}
	}
	if !task.Speculative {
		for other, attempt := range l.running[o.Task] {
			l.breach("task %s attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, w.Info.Worker, attempt, other)
		}
		if l.noted[o.Task] {
			l.breach("task %s attempt %d starts on %s after it was done", o.Task, o.Attempt, w.Info.Worker)
		}
	}
	job, _, _ := strings.Cut(string(o.Task), ".")
	if at, ok := l.cancelled[job]; ok && time.Since(at) > cancelBound {
		l.breach("task %s starts %v after its job was cancelled", o.Task, time.Since(at))
	}
	l.running[o.Task][string(w.Info.Worker)] = o.Attempt
	l.latest[o.Task] = time.Now()
}

// cancelBound is the contract's time between a cancellation and the last start.
const cancelBound = 3 * time.Second

// Cancelled notes an acknowledged cancellation.
func (l *Ledger) Cancelled(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[job] = time.Now()
}

func (l *Ledger) ended(w *Worker, r fleet.RunRef, _ Task, how fleet.EndKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how == fleet.EndDone {
		job, _, _ := strings.Cut(string(r.Task), ".")
		if l.done[job] == nil {
			l.done[job] = map[fleet.TaskName]bool{}
		}
		l.done[job][r.Task] = true
	}
	delete(l.running[r.Task], string(w.Info.Worker))
}

// acknowledged notes that the leader has taken note of an end. One whose lease
// lapsed in between does not count: the leader had to give the run up, so another
// attempt may be on its way.
func (l *Ledger) acknowledged(e listedEnd, task Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.How != fleet.EndDone {
		return
	}
	if e.lapsed {
		return
	}
	l.noted[e.Task] = true
	if !task.Speculative && l.latest[e.Task].After(e.at) {
		l.breach("task %s started again after attempt %d was done", e.Task, e.Attempt)
	}
}

// StartCount returns the number of starts so far.
func (l *Ledger) StartCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// DoneTasks returns the number of tasks of a job that have ended done.
func (l *Ledger) DoneTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done[job])
}

// Started reports whether any task of a job has started.
func (l *Ledger) Started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.latest {
		if strings.HasPrefix(string(task), job+".") {
			return true
		}
	}
	return false
}

// Broken returns the promises that were broken.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Noted reports whether the leader has taken note that a task is done.
func (l *Ledger) Noted(task fleet.TaskName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noted[task]
}
