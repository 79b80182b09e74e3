package soak

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"
)

//go:embed report.html.tmpl
var htmlTemplate string

// WriteText writes a line for each run and for each violation. The faults of a run are
// listed only if it has violations.
func WriteText(w io.Writer, results []Result) error {
	broken := 0
	for _, r := range results {
		verdict := "ok"
		if len(r.Violations) > 0 {
			verdict = "BROKEN"
			broken++
		}
		if _, err := fmt.Fprintf(w, "seed %d: %s, %d faults, %d jobs, %d accepted, %d refused, %d starts, %.0f s\n",
			r.Seed, verdict, len(r.Faults), r.Jobs, r.Accepted, r.Refused, r.Starts, r.Took.Seconds()); err != nil {
			return err
		}
		if l := r.Lasting; l.Tasks > 0 {
			if _, err := fmt.Fprintf(w, "  %d lasting tasks, longest time without a run %.2f s, %.2f s of it calm; margin %.2f s\n",
				l.Tasks, l.Longest.Seconds(), l.Calm.Seconds(), l.Margin.Seconds()); err != nil {
				return err
			}
		}
		if r.Lead != nil {
			if _, err := fmt.Fprintf(w, "  %s\n", r.Lead); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s\n", r.Late); err != nil {
			return err
		}
		for _, reason := range slices.Sorted(maps.Keys(r.Terms)) {
			if _, err := fmt.Fprintf(w, "  %d terms ended: %s\n", r.Terms[reason], reason); err != nil {
				return err
			}
		}
		if len(r.Violations) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "  logs and schedule: %s\n", r.Logs); err != nil {
			return err
		}
		for _, b := range r.Violations {
			if _, err := fmt.Fprintf(w, "  %6.2f s  %s\n", b.At.Seconds(), b.Text); err != nil {
				return err
			}
		}
		for i, f := range r.Faults {
			if _, err := fmt.Fprintf(w, "  fault %2d  %s\n", i+1, f); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d of %d seeds with a broken promise\n", broken, len(results))
	return err
}

// WriteJSON writes the results as one JSON array.
func WriteJSON(w io.Writer, results []Result) error { return writeJSON(w, results) }

func writeJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// bar is a fault or a violation on the timeline. Positions are in percent of the width.
type bar struct {
	Label       string
	Left, Width float64
	Violation   bool
}

// timeline is the data of one run for the HTML template.
type timeline struct {
	Result
	Bars []bar
}

// percent converts fractions to percent.
const percent = 100

// minBarWidth is the least width of a bar in percent, so that short faults stay visible.
const minBarWidth = 0.4

func (r Result) timeline() timeline {
	end := r.Length
	for _, f := range r.Faults {
		end = max(end, f.At+f.Duration)
	}
	for _, b := range r.Violations {
		end = max(end, b.At)
	}
	place := func(at, duration time.Duration) (left, width float64) {
		return percent * at.Seconds() / end.Seconds(), max(minBarWidth, percent*duration.Seconds()/end.Seconds())
	}
	t := timeline{Result: r}
	for _, f := range r.Faults {
		left, width := place(f.At, f.Duration)
		t.Bars = append(t.Bars, bar{Label: f.String(), Left: left, Width: width})
	}
	for _, b := range r.Violations {
		left, width := place(b.At, 0)
		t.Bars = append(t.Bars, bar{Label: fmt.Sprintf("%6.2f s  %s", b.At.Seconds(), b.Text), Left: left, Width: width, Violation: true})
	}
	return t
}

// WriteHTML writes one page with a timeline of faults and violations for each run.
func WriteHTML(w io.Writer, results []Result) error {
	t, err := template.New("soak").Parse(htmlTemplate)
	if err != nil {
		return err
	}
	var timelines []timeline
	for _, r := range results {
		timelines = append(timelines, r.timeline())
	}
	return t.Execute(w, timelines)
}
