package compare

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/replay"
	"github.com/vanillapier/vanillapier/internal/report"
)

// requirements lists the requirements that a replay checks, with their texts.
var requirements = []struct{ id, text string }{
	{"R1", "no host is committed beyond its capacity"},
	{"R2", "no task runs in two places at once"},
	{"R3", "evicted work resumes exactly once"},
	{"R4", "no task starts in a data centre that is out"},
	{"R10", "accepted configuration is in force and never reverts"},
}

// buildReport builds the report that shows the outcomes side by side.
func buildReport(t *replay.Trace, configs []Config, outcomes []replay.Outcome) *report.Report {
	r := &report.Report{
		Title:   "Replay of " + t.Header.Name,
		Summary: fmt.Sprintf("One recorded trace under %d configurations, replayed through the placement code in virtual time.", len(configs)),
		Facts: []report.Fact{
			{Name: "trace", Value: t.Header.Name},
			{Name: "seed", Value: fmt.Sprint(outcomes[0].Seed)},
			{Name: "horizon", Value: t.Header.Horizon.D().String()},
			{Name: "events", Value: fmt.Sprint(len(t.Events))},
		},
	}
	for _, c := range configs {
		r.Configs = append(r.Configs, c.Name)
	}
	r.Metrics = buildMetrics(outcomes)
	r.Requirements = buildRequirements(t, outcomes)
	r.Plots = buildPlots(outcomes)
	return r
}

// buildMetrics returns the four main metrics first, then the metrics that explain them.
func buildMetrics(outcomes []replay.Outcome) []report.Metric {
	row := func(name, unit string, better report.Better, value func(replay.Outcome) report.Value) report.Metric {
		m := report.Metric{Name: name, Unit: unit, Better: better}
		for _, o := range outcomes {
			m.Values = append(m.Values, value(o))
		}
		return m
	}
	number := func(n int) report.Value { return report.Value(n) }
	return []report.Metric{
		row("tail latency with batch to without", "ratio", report.BetterLower, func(o replay.Outcome) report.Value { return report.Value(o.TailRatio) }),
		row("batch work done", "core-seconds", report.BetterHigher, func(o replay.Outcome) report.Value { return report.Value(o.CoreSeconds) }),
		row("evictions", "count", report.BetterLower, func(o replay.Outcome) report.Value { return number(sumCounts(o.Evictions)) }),
		row("work while a data centre is out", "share", report.BetterHigher, func(o replay.Outcome) report.Value { return shareOrMissing(o.OutShare) }),
		row("batch work against offline packing", "share", report.BetterHigher, func(o replay.Outcome) report.Value { return shareOrMissing(o.OfflineShare) }),
		row("urgent work, slowest start", "ms", report.BetterLower, func(o replay.Outcome) report.Value { return number(int(o.UrgentWorstMs)) }),
		row("work repeated", "core-seconds", report.BetterLower, func(o replay.Outcome) report.Value { return report.Value(o.LostCoreSeconds) }),
		row("tasks done", "count", report.BetterHigher, func(o replay.Outcome) report.Value { return number(o.Done) }),
		row("tasks failed", "count", report.BetterLower, func(o replay.Outcome) report.Value { return number(o.Failed) }),
		row("tasks unfinished", "count", report.BetterLower, func(o replay.Outcome) report.Value { return number(o.Unfinished) }),
		row("starts", "count", report.BetterNeither, func(o replay.Outcome) report.Value { return number(o.Starts) }),
		row("throttle changes", "count", report.BetterNeither, func(o replay.Outcome) report.Value { return number(o.Throttles) }),
	}
}

func shareOrMissing(share float64) report.Value {
	if share == 0 {
		return report.Missing
	}
	return report.Value(share)
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// buildRequirements returns each requirement, and the expected outcomes that were missed.
func buildRequirements(t *replay.Trace, outcomes []replay.Outcome) []report.Requirement {
	missed := make([]map[string][]replay.Violation, len(outcomes))
	stated := map[string]bool{}
	for i, o := range outcomes {
		missed[i] = map[string][]replay.Violation{}
		for _, v := range o.Check(t.Header.Expect) {
			missed[i][v.Requirement] = append(missed[i][v.Requirement], v)
			stated[v.Requirement] = true
		}
	}
	var out []report.Requirement
	for _, q := range requirements {
		out = append(out, newRequirement(q.id, q.text, missed))
		delete(stated, q.id)
	}
	for _, id := range slices.Sorted(maps.Keys(stated)) {
		out = append(out, newRequirement(id, "stated outcome of the trace", missed))
	}
	return out
}

// maxNotedViolations limits the violations shown in the note of a verdict.
const maxNotedViolations = 2

func newRequirement(id, text string, missed []map[string][]replay.Violation) report.Requirement {
	q := report.Requirement{ID: id, Text: text}
	for _, m := range missed {
		violations := m[id]
		if len(violations) == 0 {
			q.Results = append(q.Results, report.Result{Verdict: report.Pass})
			continue
		}
		var notes []string
		for _, v := range violations[:min(maxNotedViolations, len(violations))] {
			notes = append(notes, v.String())
		}
		if more := len(violations) - len(notes); more > 0 {
			notes = append(notes, fmt.Sprintf("and %d more", more))
		}
		q.Results = append(q.Results, report.Result{Verdict: report.Fail, Note: strings.Join(notes, "; ")})
	}
	return q
}

// buildPlots returns a plot of the evictions by reason.
func buildPlots(outcomes []replay.Outcome) []report.Plot {
	reasons := map[string]bool{}
	for _, o := range outcomes {
		for reason := range o.Evictions {
			reasons[reason] = true
		}
	}
	p := report.Plot{Title: "Evictions by reason", XLabel: "configuration, in the order of the table", YLabel: "evictions"}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		s := report.Series{Name: reason}
		for i, o := range outcomes {
			s.Points = append(s.Points, report.Point{X: report.Value(i + 1), Y: report.Value(o.Evictions[reason])})
		}
		p.Series = append(p.Series, s)
	}
	if len(p.Series) == 0 {
		return nil
	}
	return []report.Plot{p}
}
