package soak

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed report.html.tmpl
var page string

// WriteText writes the outcome of runs, one line each and one for each broken
// promise; a broken run also lists its faults.
func WriteText(w io.Writer, results []Result) error {
	broken := 0
	for _, r := range results {
		verdict := "ok"
		if len(r.Broken) > 0 {
			verdict = "BROKEN"
			broken++
		}
		if _, err := fmt.Fprintf(w, "seed %d: %s, %d faults, %d jobs, %d accepted, %d refused, %d starts, %.0f s\n",
			r.Seed, verdict, len(r.Faults), r.Jobs, r.Accepted, r.Refused, r.Starts, r.Took.Seconds()); err != nil {
			return err
		}
		if len(r.Broken) == 0 {
			continue
		}
		for _, b := range r.Broken {
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
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

// bar is a fault or a breach on the timeline; positions are shares of the width.
type bar struct {
	Label       string
	Left, Width float64
	Breach      bool
}

// timeline is one run on the page.
type timeline struct {
	Result
	Bars []bar
}

// percent scales positions on the page.
const percent = 100

// minWidth keeps short faults visible, in percent.
const minWidth = 0.4

func (r Result) timeline() timeline {
	end := r.Length
	for _, f := range r.Faults {
		end = max(end, f.At+f.Lasts)
	}
	for _, b := range r.Broken {
		end = max(end, b.At)
	}
	place := func(at, lasts time.Duration) (left, width float64) {
		return percent * at.Seconds() / end.Seconds(), max(minWidth, percent*lasts.Seconds()/end.Seconds())
	}
	t := timeline{Result: r}
	for _, f := range r.Faults {
		left, width := place(f.At, f.Lasts)
		t.Bars = append(t.Bars, bar{Label: f.String(), Left: left, Width: width})
	}
	for _, b := range r.Broken {
		left, width := place(b.At, 0)
		t.Bars = append(t.Bars, bar{Label: fmt.Sprintf("%6.2f s  %s", b.At.Seconds(), b.Text), Left: left, Width: width, Breach: true})
	}
	return t
}

// WriteHTML writes one page with a timeline of faults and broken promises for each
// run.
func WriteHTML(w io.Writer, results []Result) error {
	t, err := template.New("soak").Parse(page)
	if err != nil {
		return err
	}
	var lines []timeline
	for _, r := range results {
		lines = append(lines, r.timeline())
	}
	return t.Execute(w, lines)
}
