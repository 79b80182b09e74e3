package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"strings"
)

//go:embed report.html.tmpl
var pageSource string

// page is the template of the HTML report. Plots are drawn as inline SVG: the
// chart library at hand loads its script from the network, and the page must
// work offline.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"format":  format,
	"verdict": func(v Verdict) string { return strings.ReplaceAll(string(v), " ", "-") },
}).Parse(pageSource))

// pageData is what the template shows.
type pageData struct {
	*Report
	Conclusion string
	Failed     bool
	Rows       []metricRow
	Drawings   []drawing
}

// metricRow is a metric ready for the template.
type metricRow struct {
	Metric
	Cells []metricCell
}

// metricCell is one value of a metric.
type metricCell struct {
	Value   Value
	Change  string
	Verdict string
}

// WriteHTML writes the report as one HTML page that loads nothing.
func (r *Report) WriteHTML(w io.Writer) error {
	if err := r.Validate(); err != nil {
		return err
	}
	data := pageData{Report: r, Conclusion: r.conclusion(), Failed: r.Failures() > 0}
	for _, m := range r.Metrics {
		data.Rows = append(data.Rows, rowOf(m))
	}
	for _, p := range r.Plots {
		data.Drawings = append(data.Drawings, draw(p))
	}
	// The page is built in memory first, so that no half page is written.
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}

// rowOf compares the values of a metric with the baseline.
func rowOf(m Metric) metricRow {
	row := metricRow{Metric: m}
	for i, v := range m.Values {
		cell := metricCell{Value: v}
		if i > 0 {
			cell.Change, cell.Verdict = change(m.Values[0], v), m.verdictOf(v)
		}
		row.Cells = append(row.Cells, cell)
	}
	return row
}
