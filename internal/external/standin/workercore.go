package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Defaults of WorkerConfig.
const (
	// DefaultSessionTTL is the time after which a session expires and starts with it are
	// rejected. The design page calls it S.
	DefaultSessionTTL = 2 * time.Second
	// DefaultUsageLag is the delay of usage and service samples.
	DefaultUsageLag = 5 * time.Second
	// DefaultCheckpointTime is the duration of a checkpoint.
	DefaultCheckpointTime = 50 * time.Millisecond
	// DefaultRun is the run time of a task whose payload has none.
	DefaultRun = time.Second
	// failAfter is the time after which an attempt fails on a worker with the FailStarts
	// fault.
	failAfter = 20 * time.Millisecond
)

// Payload describes the actual behaviour of a simulated task. It is the JSON payload of the
// task.
type Payload struct {
	// RunMS is the actual run time at full speed, in milliseconds. Default 1000.
	RunMS int64 `json:"run_ms,omitempty"`
	// Size is the actual resource use. Default: the declared resources.
	Size model.Resources `json:"size,omitzero"`
	// FailAtMS makes each attempt fail after this much work, when above zero.
	FailAtMS int64 `json:"fail_at_ms,omitempty"`
	// CheckpointEveryMS makes the task checkpoint itself after each such amount of work,
	// when above zero.
	CheckpointEveryMS int64 `json:"checkpoint_every_ms,omitempty"`
	// Result is reported when the task completes.
	Result string `json:"result,omitempty"`
}

// Encode returns p as the payload of a task.
func (p Payload) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("payload of plain fields does not encode: %v", err))
	}
	return data
}

// decodePayload decodes a Payload and fills in defaults. Invalid data gives the defaults.
func decodePayload(data []byte, declared model.Resources) Payload {
	var p Payload
	if json.Unmarshal(data, &p) != nil {
		p = Payload{}
	}
	if p.RunMS <= 0 {
		p.RunMS = DefaultRun.Milliseconds()
	}
	if p.Size.IsZero() {
		p.Size = declared
	}
	return p
}

// Interference is the slowdown of a service by one attempt of a batch class at full speed
// on the same worker: 0.2 increases the service's latency by 20%.
type Interference map[model.ServiceName]map[model.ClassName]float64

// WorkerConfig describes a worker.
type WorkerConfig struct {
	// ID, DataCentre and Rack identify the worker. ID is required.
	ID         model.WorkerID
	DataCentre model.DataCentre
	Rack       model.Rack
	// Capacity bounds the declared resources of live attempts. Required.
	Capacity model.Resources
	// SessionTTL is the lifetime of a session; default 2 s.
	SessionTTL time.Duration
	// UsageLag is the delay of usage and service samples; default 5 s.
	UsageLag time.Duration
	// CheckpointTime is the duration of a checkpoint; default 50 ms.
	CheckpointTime time.Duration
	// Services holds the p99 latency of each service on the worker without interference.
	Services map[model.ServiceName]time.Duration
	// Interference increases the service samples.
	Interference Interference
	// Objects stores checkpoints. When nil, only the checkpoint's name holds the progress.
	Objects *Objects
	// Ledger records executions; nil creates one.
	Ledger *Ledger
	// Faults injects faults; nil means none.
	Faults *Faults
	// Seed determines session names and sample noise.
	Seed uint64
	// AcceptOldSessions disables the session check, for tests that show which failure the
	// check prevents.
	AcceptOldSessions bool
	// TrueTime converts the worker's clock to that of the ledger; nil means that they are
	// equal.
	TrueTime func(time.Time) time.Time
}

func (c *WorkerConfig) provision() {
	if c.SessionTTL == 0 {
		c.SessionTTL = DefaultSessionTTL
	}
	if c.UsageLag == 0 {
		c.UsageLag = DefaultUsageLag
	}
	if c.CheckpointTime == 0 {
		c.CheckpointTime = DefaultCheckpointTime
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	if c.TrueTime == nil {
		c.TrueTime = func(t time.Time) time.Time { return t }
	}
}

// WorkerCore is the state machine of a worker, without I/O and clock: its methods take the
// time of the worker's clock. It is not safe for concurrent use.
type WorkerCore struct {
	cfg            WorkerConfig
	rng            *rand.Rand
	bootID         string
	sessionsIssued uint64
	sessions       map[string]time.Time
	epochs         map[model.CellID]model.Epoch
	running        map[external.AttemptRef]*execution
	ended          map[external.AttemptRef]endedExecution
	paused         bool
	dead           bool
	samples        sampler
}

// endedExecution is an ended attempt that is not yet acknowledged.
type endedExecution struct {
	cell model.CellID
	external.EndedAttempt
}

// NewWorkerCore returns an idle worker that starts at now.
func NewWorkerCore(cfg WorkerConfig, now time.Time) *WorkerCore {
	cfg.provision()
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(now.UnixNano())))
	return &WorkerCore{
		cfg:      cfg,
		rng:      rng,
		bootID:   fmt.Sprintf("%08x", rng.Uint32()),
		sessions: map[string]time.Time{},
		epochs:   map[model.CellID]model.Epoch{},
		running:  map[external.AttemptRef]*execution{},
		ended:    map[external.AttemptRef]endedExecution{},
		samples:  sampler{next: now},
	}
}

// Command executes cmd and returns the report. KindFenced means that the worker has received
// a higher epoch and executed nothing.
func (w *WorkerCore) Command(now time.Time, cmd external.WorkerCommand) (external.WorkerReport, error) {
	w.Advance(now)
	if w.dead || w.paused {
		return external.WorkerReport{}, model.Errorf(model.KindUnavailable, "wait for the worker", "worker %s does not run", w.cfg.ID)
	}
	if high := w.epochs[cmd.Cell]; cmd.Epoch < high {
		return external.WorkerReport{}, model.Errorf(model.KindFenced, "stop acting for the cell",
			"epoch %d of cell %s is below %d", cmd.Epoch, cmd.Cell, high)
	}
	w.epochs[cmd.Cell] = cmd.Epoch
	w.acknowledge(cmd)
	w.applyChanges(now, cmd)
	var rejected []external.RejectedStart
	for _, s := range cmd.Starts {
		if reason := w.start(now, cmd, s); reason != "" {
			rejected = append(rejected, external.RejectedStart{AttemptRef: s.AttemptRef, Reason: reason})
		}
	}
	report := w.report(now, cmd)
	report.Rejected = rejected
	return report, nil
}

func (w *WorkerCore) acknowledge(cmd external.WorkerCommand) {
	for _, ref := range cmd.Ack {
		if e, ok := w.ended[ref]; ok && e.cell == cmd.Cell {
			delete(w.ended, ref)
		}
	}
}

// applyChanges executes everything except the starts. It ignores attempts of other cells.
func (w *WorkerCore) applyChanges(now time.Time, cmd external.WorkerCommand) {
	renew := cmd.Renew
	if cmd.RenewExpected && cmd.ExpectedDigest == w.digest(cmd.Cell) {
		renew = w.Live()
	}
	for _, ref := range renew {
		if e := w.runningIn(ref, cmd.Cell); e != nil {
			e.leaseEnd = now.Add(cmd.RenewFor)
			w.cfg.Ledger.Renewed(ref, w.cfg.ID, w.cfg.TrueTime(e.leaseEnd))
		}
	}
	for _, t := range cmd.Throttle {
		if e := w.runningIn(t.AttemptRef, cmd.Cell); e != nil {
			e.percent = min(max(t.Percent, 1), 100)
		}
	}
	for _, ref := range cmd.Checkpoint {
		if e := w.runningIn(ref, cmd.Cell); e != nil {
			e.beginCheckpoint(now, w.cfg.CheckpointTime)
		}
	}
	for _, ref := range cmd.Evict {
		if e := w.runningIn(ref, cmd.Cell); e != nil {
			e.beginCheckpoint(now, w.cfg.CheckpointTime)
			e.evict = true
		}
	}
	for _, ref := range cmd.Stop {
		if e := w.runningIn(ref, cmd.Cell); e != nil {
			w.end(e, now, model.OutcomeCancelled, "")
		}
	}
}

func (w *WorkerCore) runningIn(ref external.AttemptRef, cell model.CellID) *execution {
	e := w.running[ref]
	if e == nil || e.cell != cell {
		return nil
	}
	return e
}

// start starts an attempt. It returns the reason for a rejection, or an empty string. A
// repeated start of a known attempt has no effect.
func (w *WorkerCore) start(now time.Time, cmd external.WorkerCommand, s external.Start) string {
	if !w.cfg.AcceptOldSessions && !w.sessionValid(now, cmd.Session) {
		return external.RejectSession
	}
	if _, ok := w.running[s.AttemptRef]; ok {
		return ""
	}
	if _, ok := w.ended[s.AttemptRef]; ok {
		return ""
	}
	if !s.Resources.Fits(w.free()) {
		w.cfg.Ledger.Report(RuleCapacity, w.cfg.TrueTime(now), "worker %s: %s does not fit in %s", w.cfg.ID, s.Resources, w.free())
		return external.RejectCapacity
	}
	w.begin(now, cmd.Cell, s)
	return ""
}

func (w *WorkerCore) begin(now time.Time, cell model.CellID, s external.Start) {
	p := decodePayload(s.Payload, s.Resources)
	e := &execution{
		cell: cell, start: s, payload: p, updatedAt: now, percent: 100,
		leaseEnd: now.Add(s.Lease), checkpoint: s.Checkpoint,
		failing: w.cfg.Faults.Worker(string(w.cfg.ID)).FailStarts, failAt: now.Add(failAfter),
	}
	e.workDone = time.Duration(w.loadProgress(s.Checkpoint) * float64(e.total()))
	e.checkpointedWork = e.workDone
	w.running[s.AttemptRef] = e
	w.cfg.Ledger.Started(StartRecord{
		AttemptRef: s.AttemptRef, Worker: w.cfg.ID, DataCentre: w.cfg.DataCentre,
		At: w.cfg.TrueTime(now), Checkpoint: s.Checkpoint,
	}, w.cfg.TrueTime(e.leaseEnd))
}

// end ends an execution and keeps its report until it is acknowledged.
func (w *WorkerCore) end(e *execution, at time.Time, outcome model.Outcome, fault string) {
	ref := e.start.AttemptRef
	delete(w.running, ref)
	ended := external.EndedAttempt{AttemptRef: ref, Outcome: outcome, Checkpoint: e.checkpoint, Error: fault}
	if outcome == model.OutcomeDone {
		ended.Result = e.payload.Result
	}
	w.ended[ref] = endedExecution{cell: e.cell, EndedAttempt: ended}
	w.cfg.Ledger.Ended(EndRecord{AttemptRef: ref, Worker: w.cfg.ID, At: w.cfg.TrueTime(at), Outcome: outcome})
}

// free returns the capacity that no live attempt has reserved.
func (w *WorkerCore) free() model.Resources {
	free := w.cfg.Capacity
	for _, e := range w.running {
		free = free.Sub(e.start.Resources)
	}
	return free
}

func (w *WorkerCore) sessionValid(now time.Time, session string) bool {
	at, ok := w.sessions[session]
	return ok && now.Sub(at) <= w.cfg.SessionTTL
}

// newSession issues a session. Its name contains the boot id, so that a restarted worker
// does not accept a session of the previous process.
func (w *WorkerCore) newSession(now time.Time) string {
	for s, at := range w.sessions {
		if now.Sub(at) > w.cfg.SessionTTL {
			delete(w.sessions, s)
		}
	}
	w.sessionsIssued++
	s := fmt.Sprintf("%s-%d", w.bootID, w.sessionsIssued)
	w.sessions[s] = now
	return s
}

func (w *WorkerCore) report(now time.Time, cmd external.WorkerCommand) external.WorkerReport {
	r := external.WorkerReport{Worker: w.cfg.ID, Session: w.newSession(now), SessionTTL: w.cfg.SessionTTL}
	r.Unchanged = cmd.ExpectedDigest != "" && cmd.ExpectedDigest == w.digest(cmd.Cell)
	lag := w.usageLag()
	for _, ref := range sortedRefs(w.running) {
		if e := w.running[ref]; e.cell == cmd.Cell && !r.Unchanged {
			r.Running = append(r.Running, e.report(now, lag))
		}
	}
	for _, ref := range sortedRefs(w.ended) {
		if e := w.ended[ref]; e.cell == cmd.Cell {
			r.Ended = append(r.Ended, e.EndedAttempt)
		}
	}
	r.Services = w.samples.takeOlderThan(now, lag)
	return r
}

// digest returns the RunningDigest of the cell's running attempts.
func (w *WorkerCore) digest(cell model.CellID) string {
	return external.RunningDigest(func(yield func(external.AttemptRef, string) bool) {
		for ref, e := range w.running {
			if e.cell == cell && !yield(ref, e.checkpoint) {
				return
			}
		}
	})
}

func (w *WorkerCore) usageLag() time.Duration {
	if lag := w.cfg.Faults.Worker(string(w.cfg.ID)).UsageLag; lag > 0 {
		return lag
	}
	return w.cfg.UsageLag
}

// Slowdown returns the current slowdown factor of a service on the worker.
func (w *WorkerCore) Slowdown(service model.ServiceName) float64 {
	factor := 1.0
	for _, e := range w.running {
		factor += w.cfg.Interference[service][e.start.Class] * float64(e.percent) / 100
	}
	return factor
}

// Live returns the running attempts, sorted.
func (w *WorkerCore) Live() []external.AttemptRef { return sortedRefs(w.running) }

func sortedRefs[V any](m map[external.AttemptRef]V) []external.AttemptRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b external.AttemptRef) int {
		if c := strings.Compare(string(a.Task), string(b.Task)); c != 0 {
			return c
		}
		return int(a.Attempt) - int(b.Attempt)
	})
}
