package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

func sampleReport() *Report {
	points := func(scale float64) []Point {
		var out []Point
		for i := range 40 {
			out = append(out, Point{Value(i), Value(scale * (2 + math.Sin(float64(i)/4)))})
		}
		out[20].Y = Missing
		return out
	}
	return &Report{
		Title: "Round robin <and> least completion", Summary: "One trace, two balancers.",
		Facts:   []Fact{{"trace", "storm.trace"}, {"seed", "7"}},
		Configs: []string{"round-robin", "least-completion"},
		Requirements: []Requirement{
			{"R4", "No start in a data centre that is out", []Result{{Pass, "latest 1.9 s"}, {Fail, "start after 4.2 s"}}},
			{"R7", "At most once", []Result{{Pass, ""}, {NotRun, ""}}},
		},
		Metrics: []Metric{
			{"p99 latency", "ms", BetterLower, []Value{420, 315.25}},
			{"tasks done", "tasks", BetterHigher, []Value{1234567, 1200000}},
			{"evictions", "count", BetterLower, []Value{0, Missing}},
		},
		Plots: []Plot{{"Latency", "time in s", "p99 in ms", []Series{{"round-robin", points(100)}, {"least-completion", points(70)}}}},
	}
}

// Guards against a table that is misaligned, marks the wrong value as better or hides a failed
// requirement.
func TestText(t *testing.T) {
	var b strings.Builder
	require.NoError(t, sampleReport().WriteText(&b))
	assert.Equal(t, `Round robin <and> least completion
Of 2 requirements, 1 failed and 1 were not run in at least one configuration.
One trace, two balancers.
trace: storm.trace
seed: 7

REQUIREMENT                                         round-robin          least-completion
R4           No start in a data centre that is out  PASS (latest 1.9 s)  FAIL (start after 4.2 s)
R7           At most once                           PASS                 NOT RUN

METRIC       UNIT   BETTER  round-robin  least-completion
p99 latency  ms     lower   420          315.2 (-24.9% better)
tasks done   tasks  higher  1 234 567    1 200 000 (-2.8% worse)
evictions    count  lower   0            -
`, b.String())
	assert.Equal(t, 1, sampleReport().Failures())
}

// Guards against a missing value that makes the JSON invalid or is decoded as a number.
func TestJSON(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, sampleReport().WriteJSON(&b))
	var back Report
	require.NoError(t, json.Unmarshal(b.Bytes(), &back))
	assert.True(t, back.Metrics[2].Values[1].IsMissing())
	assert.Equal(t, sampleReport().Requirements, back.Requirements)
}

// Guards against a page that loads other resources, does not escape text or lacks a row. The
// environment variable REPORT_HTML names a file to write the page to.
func TestHTML(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, sampleReport().WriteHTML(&b))
	text := b.String()
	for _, forbidden := range []string{"http:", "https:", "src=", "<script", "@import", "url(", "ZgotmplZ", "<and>", "NaN"} {
		assert.NotContains(t, text, forbidden)
	}
	for _, wanted := range []string{"&lt;and&gt;", "start after 4.2 s", "315.2", "-24.9%", "<polyline", `class="fail"`, `class="not-run"`} {
		assert.Contains(t, text, wanted)
	}
	assert.Equal(t, 4, strings.Count(text, "<polyline"), "a missing value interrupts each line")
	if path := os.Getenv("REPORT_HTML"); path != "" {
		require.NoError(t, os.WriteFile(path, b.Bytes(), 0o644))
	}
}

// Guards against rows of the wrong length, whose values would appear under the wrong
// configuration.
func TestValidate(t *testing.T) {
	r := sampleReport()
	r.Metrics[1].Values = r.Metrics[1].Values[:1]
	assert.Equal(t, model.KindInvalid, model.KindOf(r.WriteHTML(&bytes.Buffer{})))
	r = sampleReport()
	r.Requirements[0].Results = nil
	assert.ErrorContains(t, r.WriteText(&bytes.Buffer{}), "requirement R4 has 0 values for 2 configurations")
	assert.Error(t, (&Report{}).WriteJSON(&bytes.Buffer{}))
}

// Guards against points outside the plot, an unbounded number of ticks and lost extremes, for
// any series.
func TestDrawProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{0, 1, 2, 50, 1200, 1201, 3000}).Draw(t, "count")
		values := rapid.SliceOfN(rapid.OneOf(rapid.Float64Range(-1e6, 1e9), rapid.Just(math.NaN())), count, count).Draw(t, "values")
		if count > 0 { // the generator repeats its bounds, so set a unique lowest and highest point
			values[rapid.IntRange(0, count-1).Draw(t, "lowest")] = -2e6
			values[rapid.IntRange(0, count-1).Draw(t, "highest")] = 2e9
		}
		var points []Point
		peak, trough := math.Inf(-1), math.Inf(1)
		for i, v := range values {
			points = append(points, Point{Value(i), Value(v)})
			if !math.IsNaN(v) {
				peak, trough = max(peak, v), min(trough, v)
			}
		}
		p := Plot{Series: []Series{{"s", points}}}
		d := draw(p)
		if len(d.YTicks) > 3*tickCount || len(d.YTicks) < 2 {
			t.Fatalf("%d ticks", len(d.YTicks))
		}
		high, low := math.Inf(-1), math.Inf(1)
		for _, p := range downsample(points) {
			if !p.Y.IsMissing() {
				high, low = max(high, float64(p.Y)), min(low, float64(p.Y))
			}
		}
		if high != peak || low != trough {
			t.Fatalf("range %v to %v became %v to %v", trough, peak, low, high)
		}
		for _, part := range d.Lines[0].Parts {
			for _, pair := range strings.Fields(part) {
				var x, y float64
				if err := json.Unmarshal([]byte("["+pair+"]"), &[]any{&x, &y}); err != nil {
					t.Fatal(err)
				}
				if x < d.Left || x > d.Right || y < d.Top-0.1 || y > d.Bottom+0.1 {
					t.Fatalf("point %s outside the plot", pair)
				}
			}
		}
	})
}

// Guards against SVG that is not well-formed XML.
func TestSVGIsWellFormed(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, sampleReport().WriteHTML(&b))
	text := b.String()
	start := strings.LastIndex(text, "<svg")
	end := strings.LastIndex(text, "</svg>") + len("</svg>")
	var v struct {
		Lines []struct{} `xml:"polyline"`
	}
	require.NoError(t, xml.Unmarshal([]byte(text[start:end]), &v))
	assert.Len(t, v.Lines, 4)
}
