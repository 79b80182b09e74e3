package dev

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Row is one line of the result: a requirement, the observed value, and whether the
// requirement holds.
type Row struct {
	ID          string `json:"id"`
	Requirement string `json:"what"`
	Observed    string `json:"observed"`
	Holds       bool   `json:"holds"`
	// Informational is true for measurements without a requirement.
	Informational bool `json:"measure,omitempty"`
}

// Result is the outcome of a run.
type Result struct {
	Trace string `json:"trace"`
	Seed  uint64 `json:"seed"`
	Nodes int    `json:"nodes"`
	Rows  []Row  `json:"rows"`
}

// Failed counts the rows that do not hold.
func (r *Result) Failed() int {
	n := 0
	for _, row := range r.Rows {
		if !row.Holds {
			n++
		}
	}
	return n
}

// WriteText writes the result as a table.
func (r *Result) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "\nid\trequirement\tobserved\tholds\n") // Flush reports errors
	for _, row := range r.Rows {
		holds := "yes"
		switch {
		case row.Informational:
			holds = "-"
		case !row.Holds:
			holds = "NO"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", row.ID, row.Requirement, row.Observed, holds)
	}
	_, _ = fmt.Fprintf(tw, "\ntrace %s, seed %d, %d nodes: %d of %d rows do not hold\n", r.Trace, r.Seed, r.Nodes, r.Failed(), len(r.Rows))
	return tw.Flush()
}

// outBound is the time limit of R4, leaveBound that of R8.
const (
	outBound   = 4 * time.Second
	leaveBound = 2 * time.Second
)

// result derives the rows from the records of the simulated platform and the callers.
func (s *scenario) result() []Row {
	rows := s.batchRows()
	rows = append(rows, s.requestRows()...)
	rows = append(rows, s.operatorRows()...)
	return append(rows, s.outcomeRows()...)
}

func (s *scenario) batchRows() []Row {
	ledger := s.cluster.platform.Ledger()
	starts := ledger.Starts()
	late, worst := s.startsWhileOut(starts)
	resumed, doneTwice := s.resumes(ledger)
	return []Row{
		count("R1", "no worker committed beyond its capacity", ledger.Count(standin.RuleCapacity), fmt.Sprintf("%d starts", len(starts))),
		count("R2", "no task runs in two places at once", ledger.Count(standin.RuleOneAttempt), fmt.Sprintf("%d starts", len(starts))),
		count("R3", "evicted work resumes exactly once", doneTwice+ledger.Count(standin.RuleResumeOnce), fmt.Sprintf("%d resumed from a checkpoint", resumed)),
		count("R4", "no start in a data centre 4 s after it was taken out", late, fmt.Sprintf("last start %.1f s after", worst.Seconds())),
	}
}

// count returns a row that holds when the number of violations is zero.
func count(id, what string, violations int, detail string) Row {
	return Row{ID: id, Requirement: what, Observed: fmt.Sprintf("%d violations, %s", violations, detail), Holds: violations == 0}
}

// startsWhileOut counts the starts in a data centre later than outBound after it was taken
// out of service. worst is the longest time from taking a data centre out to a start in it.
func (s *scenario) startsWhileOut(starts []standin.StartRecord) (late int, worst time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outages {
		for _, start := range starts {
			if start.DataCentre != o.dc || start.At.Before(o.from) || (!o.to.IsZero() && start.At.After(o.to)) {
				continue
			}
			after := start.At.Sub(o.from)
			worst = max(worst, after)
			if after > outBound {
				late++
			}
		}
	}
	return late, worst
}

// resumes counts executions that resumed from a checkpoint, and tasks that were completed
// more than once.
func (s *scenario) resumes(ledger *standin.Ledger) (resumed, doneTwice int) {
	done := map[model.TaskID]int{}
	for _, e := range ledger.Ends() {
		if e.Outcome == model.OutcomeDone {
			done[e.Task]++
		}
	}
	for _, n := range done {
		if n > 1 {
			doneTwice++
		}
	}
	for _, start := range ledger.Starts() {
		if start.Checkpoint != "" {
			resumed++
		}
	}
	return resumed, doneTwice
}

func (s *scenario) requestRows() []Row {
	t := s.callers.stats
	t.mu.Lock()
	defer t.mu.Unlock()
	ledger := s.cluster.platform.Ledger()
	ranNotRun, repeated := 0, len(ledger.RepeatedRequests())
	notRun, unknown := 0, 0
	for key, p := range t.nonIdempotent {
		notRun += p.notRun
		unknown += p.unknown
		// A key for which every response was "not-run" must not have been executed.
		if p.notRun == p.sent && ledger.RequestExecutions(key) > 0 {
			ranNotRun++
		}
	}
	return []Row{
		count("R5", "each caller gets the whole answer to its own request", t.wrong, fmt.Sprintf("%d proofs answered", t.answered)),
		count("R6", "refused with not-run means not executed", ranNotRun, fmt.Sprintf("%d not-run answers", notRun)),
		count("R7", "non-idempotent requests are executed at most once", repeated, fmt.Sprintf("%d keys, %d unknown answers", len(t.nonIdempotent), unknown)),
		s.leavingRow(),
		count("slots", "no runner gets more than its slots and connections", ledger.Count(standin.RuleSlots)+ledger.Count(standin.RuleConnections), s.peaks()),
	}
}

func (s *scenario) peaks() string {
	slots, connections := 0, 0
	for _, r := range s.cluster.platform.Runners() {
		stats := r.Stats()
		slots, connections = max(slots, stats.MaxInFlight), max(connections, stats.MaxConnections)
	}
	return fmt.Sprintf("at most %d requests and %d connections at a runner", slots, connections)
}

func (s *scenario) leavingRow() Row {
	var last time.Duration
	refused := 0
	for _, r := range s.cluster.platform.Runners() {
		stats := r.Stats()
		last = max(last, stats.LastWhileLeaving)
		refused += stats.LeavingRefusals
	}
	return Row{
		ID: "R8", Requirement: "a leaving upstream gets nothing new after 2 s",
		Observed: fmt.Sprintf("last request %.2f s after the first refusal, %d in all", last.Seconds(), refused),
		Holds:    last <= leaveBound,
	}
}

func (s *scenario) operatorRows() []Row {
	slowest, applied, waiting, reverted := s.monitor.result()
	bound := time.Duration(s.trace.Header.Expect.MaxConfigMS) * time.Millisecond
	s.mu.Lock()
	failures := strings.Join(s.failures, "; ")
	s.mu.Unlock()
	broken, killed := s.brokenRequests()
	rows := []Row{
		count("R9", "a graceful stop cuts off no request", broken, fmt.Sprintf("%d more cut by the killed node", killed)),
		{
			ID: "R10", Requirement: "accepted configuration is in force everywhere in time and never reverts",
			Observed: fmt.Sprintf("%d records, slowest %.2f s, %d outstanding, %d reverted", applied, slowest.Seconds(), waiting, reverted),
			Holds:    slowest <= bound && waiting == 0 && reverted == 0 && applied > 0,
		},
	}
	if failures == "" {
		failures = "none"
	}
	return append(rows, Row{ID: "commands", Requirement: "operators' commands and node stops succeed", Observed: "faults: " + failures, Holds: failures == "none"})
}

// brokenRequests counts the requests whose connection broke, separately for nodes that
// were not killed and nodes that were killed.
func (s *scenario) brokenRequests() (broken, killed int) {
	t := s.callers.stats
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, addr := range t.brokenNodes {
		if s.cluster.wasKilled(addr) {
			killed++
		} else {
			broken++
		}
	}
	return broken, killed
}

func (s *scenario) outcomeRows() []Row {
	expect := s.trace.Header.Expect
	t := s.callers.stats
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	share := float64(t.answered) / float64(max(1, t.idempotent))
	asExpected, total, examples := s.orderEnds()
	urgent := s.slowestUrgentStart()
	return []Row{
		{ID: "latency", Requirement: fmt.Sprintf("p99 of proofs at most %.0f ms", expect.MaxP99MS),
			Observed: fmt.Sprintf("p50 %.1f, p99 %.1f, p99.9 %.1f ms", ms(50), ms(99), ms(99.9)), Holds: ms(99) <= expect.MaxP99MS},
		{ID: "answered", Requirement: fmt.Sprintf("at least %.1f%% of proofs are answered", 100*expect.MinAnswered),
			Observed: fmt.Sprintf("%d of %d; %s", t.answered, t.idempotent, reasons(t.reasons)), Holds: share >= expect.MinAnswered},
		{ID: "orders", Requirement: "every order reaches its proper end",
			Observed: fmt.Sprintf("%d of %d%s", asExpected, total, examples), Holds: float64(asExpected) >= expect.MinDone*float64(total)},
		{ID: "urgent", Requirement: fmt.Sprintf("urgent work starts within %.0f ms", expect.MaxUrgentMS),
			Observed: fmt.Sprintf("slowest %.0f ms", float64(urgent.Milliseconds())), Holds: float64(urgent.Milliseconds()) <= expect.MaxUrgentMS},
		{ID: "throughput", Requirement: "batch tasks done per second", Observed: s.throughput(), Holds: true, Informational: true},
		{ID: "evictions", Requirement: "evictions", Observed: s.evictions(), Holds: true, Informational: true},
	}
}

func reasons(counts map[string]int) string {
	if len(counts) == 0 {
		return "no refusals"
	}
	var parts []string
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%d× %s", n, reason))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// orderEnds counts the orders that ended as expected and lists a few of the others.
func (s *scenario) orderEnds() (asExpected, total int, examples string) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	var others []string
	for _, e := range s.tracker.orders {
		total++
		if e.endedAsExpected() {
			asExpected++
			continue
		}
		if len(others) < 4 {
			others = append(others, fmt.Sprintf("%s is %q (%d of %d) %s", e.key, e.status.State, e.status.Done, e.spec.Tasks, e.status.Reason))
		}
	}
	if len(others) > 0 {
		examples = "; " + strings.Join(others, ", ")
	}
	return asExpected, total, examples
}

func (s *scenario) slowestUrgentStart() time.Duration {
	first := map[model.TaskID]time.Time{}
	for _, start := range s.cluster.platform.Ledger().Starts() {
		if _, seen := first[start.Task]; !seen {
			first[start.Task] = start.At
		}
	}
	s.mu.Lock()
	storeOutages := s.storeOutages
	s.mu.Unlock()
	var worst time.Duration
	for _, d := range urgentDelays(s.tracker, first, storeOutages) {
		worst = max(worst, d)
	}
	return worst
}

// throughput reports tasks completed per second over the run, and while a data centre was
// out of service.
func (s *scenario) throughput() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	done, whileOut, outFor := 0, 0, 0.0
	for _, e := range s.cluster.platform.Ledger().Ends() {
		if e.Outcome != model.OutcomeDone {
			continue
		}
		done++
		for _, o := range s.outages {
			if e.At.After(o.from) && e.At.Before(o.to) {
				whileOut++
			}
		}
	}
	for _, o := range s.outages {
		outFor += o.to.Sub(o.from).Seconds()
	}
	seconds := float64(s.trace.Header.DurationMS) / 1000
	text := fmt.Sprintf("%.1f over the run (%d tasks)", float64(done)/seconds, done)
	if outFor > 0 {
		text += fmt.Sprintf(", %.1f while a data centre was out", float64(whileOut)/outFor)
	}
	return text
}

func (s *scenario) evictions() string {
	n := 0
	for _, e := range s.cluster.platform.Ledger().Ends() {
		if e.Outcome == model.OutcomeEvicted {
			n++
		}
	}
	return fmt.Sprintf("%d", n)
}
