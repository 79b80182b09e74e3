package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Rule identifies a requirement of the design page.
type Rule string

// Rules that the ledger and the servers check.
const (
	// RuleCapacity (R1) is a start beyond a worker's capacity.
	RuleCapacity Rule = "R1"
	// RuleOneAttempt (R2) is a start of a task that has a live attempt.
	RuleOneAttempt Rule = "R2"
	// RuleResumeOnce (R3) is a second execution of the same attempt.
	RuleResumeOnce Rule = "R3"
	// RuleSlots is a request beyond a runner's slots.
	RuleSlots Rule = "slots"
	// RuleConnections is a connection beyond a runner's limit.
	RuleConnections Rule = "connections"
)

// Violation is one observed violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Time
	Detail string
}

// StartRecord records the start of an execution on a worker.
type StartRecord struct {
	external.AttemptRef
	Worker     model.WorkerID
	DataCentre model.DataCentre
	At         time.Time
	// Checkpoint is the object that the attempt resumed from, if any.
	Checkpoint string
}

// EndRecord records the end of an execution.
type EndRecord struct {
	external.AttemptRef
	Worker  model.WorkerID
	At      time.Time
	Outcome model.Outcome
}

// liveAttempt is an execution that has not ended. It ends at leaseEnd at the latest.
type liveAttempt struct {
	ref      external.AttemptRef
	worker   model.WorkerID
	leaseEnd time.Time
}

// Ledger records the executions of all workers and runners and detects violations of the
// requirements. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	violations []Violation
	live       map[model.TaskID][]liveAttempt
	starts     []StartRecord
	ends       []EndRecord
	executed   map[external.AttemptRef]int
	requests   map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		live:     map[model.TaskID][]liveAttempt{},
		executed: map[external.AttemptRef]int{},
		requests: map[string]int{},
	}
}

// Started records the start of an execution whose lease ends at leaseEnd.
func (l *Ledger) Started(s StartRecord, leaseEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.live[s.Task] {
		if a.leaseEnd.After(s.At) {
			l.addViolation(RuleOneAttempt, s.At, "task %s attempt %d starts on %s while attempt %d is live on %s",
				s.Task, s.Attempt, s.Worker, a.ref.Attempt, a.worker)
		}
	}
	l.executed[s.AttemptRef]++
	if l.executed[s.AttemptRef] > 1 {
		l.addViolation(RuleResumeOnce, s.At, "task %s attempt %d starts again on %s", s.Task, s.Attempt, s.Worker)
	}
	l.live[s.Task] = append(l.live[s.Task], liveAttempt{ref: s.AttemptRef, worker: s.Worker, leaseEnd: leaseEnd})
	l.starts = append(l.starts, s)
}

// Renewed records the new lease end of an execution on worker.
func (l *Ledger) Renewed(ref external.AttemptRef, worker model.WorkerID, leaseEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.live[ref.Task] {
		if a.ref == ref && a.worker == worker {
			l.live[ref.Task][i].leaseEnd = leaseEnd
		}
	}
}

// Ended records the end of an execution.
func (l *Ledger) Ended(e EndRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, e)
	rest := slices.DeleteFunc(l.live[e.Task], func(a liveAttempt) bool {
		return a.ref == e.AttemptRef && a.worker == e.Worker
	})
	if len(rest) == 0 {
		delete(l.live, e.Task)
		return
	}
	l.live[e.Task] = rest
}

// Executed records an execution of a request with an idempotency key.
func (l *Ledger) Executed(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[key]++
}

// Report records a violation that a server has detected.
func (l *Ledger) Report(rule Rule, at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(rule, at, format, args...)
}

func (l *Ledger) addViolation(rule Rule, at time.Time, format string, args ...any) {
	l.violations = append(l.violations, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns all violations so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Count returns the number of violations of a rule.
func (l *Ledger) Count(rule Rule) int {
	n := 0
	for _, v := range l.Violations() {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// Starts returns all executions in the order of their starts.
func (l *Ledger) Starts() []StartRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.starts)
}

// Ends returns all ended executions in the order of their ends.
func (l *Ledger) Ends() []EndRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ends)
}

// StartsAfter counts the executions that started in a data centre after at. R4 is checked
// with the time at which the data centre was taken out of service plus the time limit.
func (l *Ledger) StartsAfter(dc model.DataCentre, at time.Time) int {
	n := 0
	for _, s := range l.Starts() {
		if s.DataCentre == dc && s.At.After(at) {
			n++
		}
	}
	return n
}

// Completions counts the executions of a task that ended as done. More than one does not
// imply a scheduler error: a worker may die before it reports the first one.
func (l *Ledger) Completions(task model.TaskID) int {
	n := 0
	for _, e := range l.Ends() {
		if e.Task == task && e.Outcome == model.OutcomeDone {
			n++
		}
	}
	return n
}

// Resumes counts the executions of a task that resumed from a checkpoint (R3).
func (l *Ledger) Resumes(task model.TaskID) int {
	n := 0
	for _, s := range l.Starts() {
		if s.Task == task && s.Checkpoint != "" {
			n++
		}
	}
	return n
}

// Live returns the number of executions whose lease has not expired at the given time.
func (l *Ledger) Live(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, attempts := range l.live {
		for _, a := range attempts {
			if a.leaseEnd.After(at) {
				n++
			}
		}
	}
	return n
}

// RequestExecutions returns the number of executions of requests with the key on all
// runners.
func (l *Ledger) RequestExecutions(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[key]
}

// RepeatedRequests returns the idempotency keys that were executed more than once, sorted.
// This is not a violation for idempotent requests, because of retries and hedges.
func (l *Ledger) RepeatedRequests() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(l.requests)) {
		if l.requests[key] > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
