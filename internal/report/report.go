// Package report writes the results of replayed or measured runs side by side: as a text
// table, as JSON, and as one self-contained HTML page with plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Better is the direction in which a metric improves.
type Better string

const (
	// BetterLower is for latencies, evictions and other costs.
	BetterLower Better = "lower"
	// BetterHigher is for throughput and other benefits.
	BetterHigher Better = "higher"
	// BetterNeither is for metrics that only describe the run.
	BetterNeither Better = ""
)

// Verdict is the result of checking a requirement under one configuration.
type Verdict string

const (
	// Pass means that the requirement was met.
	Pass Verdict = "pass"
	// Fail means that the requirement was not met.
	Fail Verdict = "fail"
	// NotRun means that the run does not show whether the requirement was met.
	NotRun Verdict = "not run"
)

// Value is a number that may be missing.
type Value float64

// Missing is the value of a metric that was not measured.
var Missing = Value(math.NaN())

// IsMissing reports whether v was not measured.
func (v Value) IsMissing() bool { return math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) }

// MarshalJSON encodes a missing value as null.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.IsMissing() {
		return []byte("null"), nil
	}
	return json.Marshal(float64(v))
}

// UnmarshalJSON decodes a number, or null as a missing value.
func (v *Value) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*v = Missing
		return nil
	}
	return json.Unmarshal(data, (*float64)(v))
}

// Fact is a property of the runs, such as the trace or the seed.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Metric is a measured quantity.
type Metric struct {
	Name   string `json:"name"`
	Unit   string `json:"unit"`
	Better Better `json:"better"`
	// Values holds one value for each configuration.
	Values []Value `json:"values"`
}

// Requirement is a row of the report for a requirement or an expected outcome.
type Requirement struct {
	// ID is the short name, such as R4.
	ID   string `json:"id"`
	Text string `json:"text"`
	// Results holds one result for each configuration.
	Results []Result `json:"results"`
}

// Result is the verdict under one configuration and the observation behind it.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Note    string  `json:"note,omitempty"`
}

// Plot is a diagram of one or more series.
type Plot struct {
	Title  string   `json:"title"`
	XLabel string   `json:"x_label"`
	YLabel string   `json:"y_label"`
	Series []Series `json:"series"`
}

// Series is one line of a plot, ordered by X.
type Series struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is one point of a series. A missing Y interrupts the line.
type Point struct {
	X Value `json:"x"`
	Y Value `json:"y"`
}

// Report is a comparison of configurations. The first configuration is the baseline.
type Report struct {
	Title string `json:"title"`
	// Summary states in one or two sentences what was compared and the result.
	Summary string `json:"summary,omitempty"`
	// Facts contain what is needed to repeat the runs.
	Facts        []Fact        `json:"facts,omitempty"`
	Configs      []string      `json:"configs"`
	Requirements []Requirement `json:"requirements"`
	Metrics      []Metric      `json:"metrics"`
	Plots        []Plot        `json:"plots,omitempty"`
}

// Validate checks that each row has one entry for each configuration.
func (r *Report) Validate() error {
	if len(r.Configs) == 0 {
		return model.Errorf(model.KindInvalid, "name at least one configuration", "the report has no configuration")
	}
	for _, m := range r.Metrics {
		if len(m.Values) != len(r.Configs) {
			return r.mismatchError("metric "+m.Name, len(m.Values))
		}
	}
	for _, q := range r.Requirements {
		if len(q.Results) != len(r.Configs) {
			return r.mismatchError("requirement "+q.ID, len(q.Results))
		}
	}
	return nil
}

func (r *Report) mismatchError(row string, got int) error {
	return model.Errorf(model.KindInvalid, "give one value for each configuration", "%s has %d values for %d configurations", row, got, len(r.Configs))
}

// Failures returns the number of requirements that failed under at least one configuration.
func (r *Report) Failures() int { return r.countRequirements(Fail) }

// countRequirements returns the number of requirements with the verdict under at least one
// configuration.
func (r *Report) countRequirements(verdict Verdict) int {
	n := 0
	for _, q := range r.Requirements {
		for _, result := range q.Results {
			if result.Verdict == verdict {
				n++
				break
			}
		}
	}
	return n
}

// conclusion states how many requirements were met.
func (r *Report) conclusion() string {
	total, failed, open := len(r.Requirements), r.countRequirements(Fail), r.countRequirements(NotRun)
	if total == 0 {
		return "No requirement was checked."
	}
	if failed == 0 && open == 0 {
		return fmt.Sprintf("All %d requirements passed.", total)
	}
	return fmt.Sprintf("Of %d requirements, %d failed and %d were not run in at least one configuration.", total, failed, open)
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	if err := r.Validate(); err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// significantDigits is the number of significant digits of a formatted value.
const significantDigits = 4

// format formats a value for display, with a thousands separator.
func format(v Value) string {
	if v.IsMissing() {
		return "-"
	}
	x := float64(v)
	if math.Abs(x) >= math.Pow10(significantDigits) || x == math.Trunc(x) {
		return groupDigits(strconv.FormatFloat(x, 'f', 0, 64))
	}
	return strconv.FormatFloat(x, 'g', significantDigits, 64)
}

// groupDigits separates groups of three digits of an integer by spaces.
func groupDigits(digits string) string {
	sign := ""
	if digits[0] == '-' {
		sign, digits = "-", digits[1:]
	}
	out := ""
	for len(digits) > 3 {
		out = " " + digits[len(digits)-3:] + out
		digits = digits[:len(digits)-3]
	}
	return sign + digits + out
}

// percentChange returns the change of a value from the baseline in percent, or the empty
// string when it cannot be computed.
func percentChange(base, v Value) string {
	if base.IsMissing() || v.IsMissing() || base == 0 {
		return ""
	}
	return fmt.Sprintf("%+.1f%%", 100*float64(v-base)/math.Abs(float64(base)))
}

// compareToBaseline returns "better" or "worse", or the empty string when v does not differ or
// cannot be compared.
func (m Metric) compareToBaseline(v Value) string {
	base := m.Values[0]
	if m.Better == BetterNeither || base.IsMissing() || v.IsMissing() || v == base {
		return ""
	}
	if (v < base) == (m.Better == BetterLower) {
		return "better"
	}
	return "worse"
}
