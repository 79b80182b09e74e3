package losses

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/report"
)

// Window is the length of the windows of the plots.
const Window = 2 * time.Second

// Report compares days. The first one is the baseline.
func Report(names []string, days []*Day) *report.Report {
	r := &report.Report{Title: "Lost value of jobs", Configs: names,
		Summary: "The value of a job is 1; a job that ends late loses a part of it. Amounts are in jobs."}
	add := func(name, unit string, better report.Better, value func(*Day) float64) {
		m := report.Metric{Name: name, Unit: unit, Better: better}
		for _, d := range days {
			m.Values = append(m.Values, report.Value(value(d)))
		}
		r.Metrics = append(r.Metrics, m)
	}
	for _, kind := range keys(days, func(d *Day) []string { return slices.Collect(maps.Keys(d.Jobs)) }) {
		name := kind
		if kind == "" {
			name = "never accepted"
		}
		add("jobs: "+name, "jobs", report.BetterNeither, func(d *Day) float64 { return float64(d.Jobs[kind]) })
		for _, cause := range Causes() {
			of := func(l Loss) bool { return l.Kind == kind && l.Cause == cause }
			if slices.ContainsFunc(days, func(d *Day) bool { return d.sum(of) > 0 }) {
				add(fmt.Sprintf("lost: %s, %s", name, cause), "jobs", report.BetterLower, func(d *Day) float64 { return d.sum(of) })
			}
		}
	}
	for _, dc := range keys(days, func(d *Day) []string {
		var dcs []string
		for _, l := range d.Losses {
			dcs = append(dcs, l.DC)
		}
		return dcs
	}) {
		add("lost: callers of "+dc, "jobs", report.BetterLower, func(d *Day) float64 { return d.sum(func(l Loss) bool { return l.DC == dc }) })
	}
	add("lost: all", "jobs", report.BetterLower, func(d *Day) float64 { return d.sum(func(Loss) bool { return true }) })
	add("services not at work", "task s", report.BetterLower, func(d *Day) float64 { return d.total(func(l Load) int { return l.ServiceTasks - l.AtWork }) })
	add("services over their target", "task s", report.BetterLower, func(d *Day) float64 { return d.total(func(l Load) int { return l.OverTarget }) })
	add("fillers slowed or paused", "task s", report.BetterLower, func(d *Day) float64 { return d.total(func(l Load) int { return l.Slow }) })
	for i, d := range days {
		r.Plots = append(r.Plots, d.lossPlot(names[i]), d.loadPlot(names[i]))
	}
	return r
}

// keys returns the different keys of all days, sorted.
func keys(days []*Day, of func(*Day) []string) []string {
	var all []string
	for _, d := range days {
		all = append(all, of(d)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// sum adds up the losses that match.
func (d *Day) sum(match func(Loss) bool) float64 {
	sum := 0.0
	for _, l := range d.Losses {
		if match(l) {
			sum += l.Amount
		}
	}
	return sum
}

// total adds up a number of tasks over time.
func (d *Day) total(of func(Load) int) float64 {
	sum := 0.0
	for i, l := range d.Loads {
		if i > 0 {
			// A new leader begins its lines anew, so two may be closer or farther apart.
			sum += float64(of(l)) * min(l.At-d.Loads[i-1].At, Window).Seconds()
		}
	}
	return sum
}

// lossPlot shows the losses by the window in which the jobs were submitted.
func (d *Day) lossPlot(name string) report.Plot {
	p := report.Plot{Title: name + ": lost value by time of submission", XLabel: "seconds", YLabel: "jobs"}
	windows := int(d.Length/Window) + 1
	for _, cause := range Causes() {
		s, lost := report.Series{Name: string(cause)}, false
		for w := range windows {
			sum := d.sum(func(l Loss) bool { return l.Cause == cause && int(l.At/Window) == w })
			lost = lost || sum > 0
			s.Points = append(s.Points, report.Point{X: report.Value(time.Duration(w) * Window / time.Second), Y: report.Value(sum)})
		}
		if lost {
			p.Series = append(p.Series, s)
		}
	}
	return p
}

// loadPlot shows what the processors were used for.
func (d *Day) loadPlot(name string) report.Plot {
	p := report.Plot{Title: name + ": processors", XLabel: "seconds", YLabel: "cores"}
	for _, s := range []struct {
		name string
		of   func(Load) int64
	}{
		{"usable", func(l Load) int64 { return l.Capacity }}, {"reserved by services", func(l Load) int64 { return l.Services }},
		{"short work", func(l Load) int64 { return l.Short }}, {"demand of fillers", func(l Load) int64 { return l.Filler }},
		{"free", func(l Load) int64 { return l.Free }}, {"held for short work", func(l Load) int64 { return l.Held }},
	} {
		series := report.Series{Name: s.name}
		for _, l := range d.Loads {
			series.Points = append(series.Points, report.Point{X: report.Value(l.At.Seconds()), Y: report.Value(float64(s.of(l)) / 1000)})
		}
		p.Series = append(p.Series, series)
	}
	return p
}
