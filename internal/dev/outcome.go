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

// Row is one line of the result: a requirement or stated outcome, what was
// observed, and whether it holds.
type Row struct {
	ID       string `json:"id"`
	What     string `json:"what"`
	Observed string `json:"observed"`
	Holds    bool   `json:"holds"`
	// Measure is true for figures that nothing bounds.
	Measure bool `json:"measure,omitempty"`
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
		case row.Measure:
			holds = "-"
		case !row.Holds:
			holds = "NO"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", row.ID, row.What, row.Observed, holds)
	}
	_, _ = fmt.Fprintf(tw, "\ntrace %s, seed %d, %d nodes: %d of %d rows do not hold\n", r.Trace, r.Seed, r.Nodes, r.Failed(), len(r.Rows))
	return tw.Flush()
}

// outBound is the bound of R4, leaveBound that of R8.
const (
	outBound   = 4 * time.Second
	leaveBound = 2 * time.Second
)

// result derives the rows from what the stand-ins and callers recorded.
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
	resumed, doubled := s.resumes(ledger)
	return []Row{
		count("R1", "no worker committed beyond its capacity", ledger.Count(standin.RuleCapacity), fmt.Sprintf("%d starts", len(starts))),
		count("R2", "no task runs in two places at once", ledger.Count(standin.RuleOneAttempt), fmt.Sprintf("%d starts", len(starts))),
		count("R3", "evicted work resumes exactly once", doubled+ledger.Count(standin.RuleResumeOnce), fmt.Sprintf("%d resumed from a checkpoint", resumed)),
		count("R4", "no start in a data centre 4 s after it was taken out", late, fmt.Sprintf("last start %.1f s after", worst.Seconds())),
	}
}

// count returns a row that holds when there is no violation.
func count(id, what string, violations int, detail string) Row {
	return Row{ID: id, What: what, Observed: fmt.Sprintf("%d violations, %s", violations, detail), Holds: violations == 0}
}

// startsWhileOut counts starts beyond the bound, and returns the latest start.
func (s *scenario) startsWhileOut(starts []standin.StartRecord) (late int, worst time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outs {
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

// resumes counts executions from a checkpoint, and tasks that were done twice.
func (s *scenario) resumes(ledger *standin.Ledger) (resumed, doubled int) {
	done := map[model.TaskID]int{}
	for _, e := range ledger.Ends() {
		if e.Outcome == model.OutcomeDone {
			done[e.Task]++
		}
	}
	for _, n := range done {
		if n > 1 {
			doubled++
		}
	}
	for _, start := range ledger.Starts() {
		if start.Checkpoint != "" {
			resumed++
		}
	}
	return resumed, doubled
}

func (s *scenario) requestRows() []Row {
	t := s.callers.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	ledger := s.cluster.platform.Ledger()
	ranNotRun, repeated := 0, len(ledger.RepeatedRequests())
	notRun, unknown := 0, 0
	for key, p := range t.prints {
		notRun += p.notRun
		unknown += p.unknown
		// A caller that was told "not-run" only, by every answer, has proof.
		if p.notRun == p.sent && ledger.RequestExecutions(key) > 0 {
			ranNotRun++
		}
	}
	return []Row{
		count("R5", "each caller gets the whole answer to its own request", t.wrong, fmt.Sprintf("%d proofs answered", t.answered)),
		count("R6", "refused with not-run means not executed", ranNotRun, fmt.Sprintf("%d not-run answers", notRun)),
		count("R7", "non-idempotent requests are executed at most once", repeated, fmt.Sprintf("%d keys, %d unknown answers", len(t.prints), unknown)),
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
		ID: "R8", What: "a leaving upstream gets nothing new after 2 s",
		Observed: fmt.Sprintf("last request %.2f s after the first refusal, %d in all", last.Seconds(), refused),
		Holds:    last <= leaveBound,
	}
}

func (s *scenario) operatorRows() []Row {
	slowest, inForce, waiting, reverted := s.watch.result()
	bound := time.Duration(s.trace.Header.Expect.MaxConfigMS) * time.Millisecond
	s.mu.Lock()
	faults := strings.Join(s.faults, "; ")
	s.mu.Unlock()
	cut, killed := s.cuts()
	rows := []Row{
		count("R9", "a graceful stop cuts off no request", cut, fmt.Sprintf("%d more cut by the killed node", killed)),
		{
			ID: "R10", What: "accepted configuration is in force everywhere in time and never reverts",
			Observed: fmt.Sprintf("%d records, slowest %.2f s, %d outstanding, %d reverted", inForce, slowest.Seconds(), waiting, reverted),
			Holds:    slowest <= bound && waiting == 0 && reverted == 0 && inForce > 0,
		},
	}
	if faults == "" {
		faults = "none"
	}
	return append(rows, Row{ID: "commands", What: "operators' commands and node stops succeed", Observed: "faults: " + faults, Holds: faults == "none"})
}

// cuts counts the requests that were cut by nodes which were not killed, and by
// those which were.
func (s *scenario) cuts() (cut, killed int) {
	t := s.callers.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, addr := range t.cuts {
		if s.cluster.wasKilled(addr) {
			killed++
		} else {
			cut++
		}
	}
	return cut, killed
}

func (s *scenario) outcomeRows() []Row {
	expect := s.trace.Header.Expect
	t := s.callers.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	share := float64(t.answered) / float64(max(1, t.proofs))
	proper, total, open := s.orderEnds()
	urgent := s.urgentWorst()
	return []Row{
		{ID: "latency", What: fmt.Sprintf("p99 of proofs at most %.0f ms", expect.MaxP99MS),
			Observed: fmt.Sprintf("p50 %.1f, p99 %.1f, p99.9 %.1f ms", ms(50), ms(99), ms(99.9)), Holds: ms(99) <= expect.MaxP99MS},
		{ID: "answered", What: fmt.Sprintf("at least %.1f%% of proofs are answered", 100*expect.MinAnswered),
			Observed: fmt.Sprintf("%d of %d; %s", t.answered, t.proofs, reasons(t.reasons)), Holds: share >= expect.MinAnswered},
		{ID: "orders", What: "every order reaches its proper end",
			Observed: fmt.Sprintf("%d of %d%s", proper, total, open), Holds: float64(proper) >= expect.MinDone*float64(total)},
		{ID: "urgent", What: fmt.Sprintf("urgent work starts within %.0f ms", expect.MaxUrgentMS),
			Observed: fmt.Sprintf("slowest %.0f ms", float64(urgent.Milliseconds())), Holds: float64(urgent.Milliseconds()) <= expect.MaxUrgentMS},
		{ID: "throughput", What: "batch tasks done per second", Observed: s.throughput(), Holds: true, Measure: true},
		{ID: "evictions", What: "evictions", Observed: s.evictions(), Holds: true, Measure: true},
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

// orderEnds counts the orders with a proper end and names a few others.
func (s *scenario) orderEnds() (proper, total int, open string) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	var others []string
	for _, e := range s.book.orders {
		total++
		if e.proper() {
			proper++
			continue
		}
		if len(others) < 4 {
			others = append(others, fmt.Sprintf("%s is %q (%d of %d) %s", e.key, e.status.State, e.status.Done, e.spec.Tasks, e.status.Reason))
		}
	}
	if len(others) > 0 {
		open = "; " + strings.Join(others, ", ")
	}
	return proper, total, open
}

func (s *scenario) urgentWorst() time.Duration {
	first := map[model.TaskID]time.Time{}
	for _, start := range s.cluster.platform.Ledger().Starts() {
		if _, seen := first[start.Task]; !seen {
			first[start.Task] = start.At
		}
	}
	s.mu.Lock()
	storeOuts := s.storeOuts
	s.mu.Unlock()
	var worst time.Duration
	for _, d := range urgentDelays(s.book, first, storeOuts) {
		worst = max(worst, d)
	}
	return worst
}

// throughput reports tasks done per second over the run, and while a data centre
// was out.
func (s *scenario) throughput() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	done, whileOut, outFor := 0, 0, 0.0
	for _, e := range s.cluster.platform.Ledger().Ends() {
		if e.Outcome != model.OutcomeDone {
			continue
		}
		done++
		for _, o := range s.outs {
			if e.At.After(o.from) && e.At.Before(o.to) {
				whileOut++
			}
		}
	}
	for _, o := range s.outs {
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
