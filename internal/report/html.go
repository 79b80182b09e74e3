package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"strings"
)

//go:embed report.html.tmpl
var pageTemplateText string

// pageTemplate is the template of the HTML report. Plots are drawn as inline SVG, because the
// available chart library loads its script from the network and the page must work offline.
var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"format":  format,
	"verdict": func(v Verdict) string { return strings.ReplaceAll(string(v), " ", "-") },
}).Parse(pageTemplateText))

// pageData is the data of the template.
type pageData struct {
	*Report
	Conclusion string
	Failed     bool
	Rows       []metricRow
	Drawings   []drawing
}

// metricRow is a metric in the form that the template needs.
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

// WriteHTML writes the report as one HTML page that loads no other resources.
func (r *Report) WriteHTML(w io.Writer) error {
	if err := r.Validate(); err != nil {
		return err
	}
	data := pageData{Report: r, Conclusion: r.conclusion(), Failed: r.Failures() > 0}
	for _, m := range r.Metrics {
		data.Rows = append(data.Rows, newMetricRow(m))
	}
	for _, p := range r.Plots {
		data.Drawings = append(data.Drawings, draw(p))
	}
	// The page is built in memory first, so that no partial page is written on an error.
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, data); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}

// newMetricRow returns the row of a metric, with each value compared to the baseline.
func newMetricRow(m Metric) metricRow {
	row := metricRow{Metric: m}
	for i, v := range m.Values {
		cell := metricCell{Value: v}
		if i > 0 {
			cell.Change, cell.Verdict = percentChange(m.Values[0], v), m.compareToBaseline(v)
		}
		row.Cells = append(row.Cells, cell)
	}
	return row
}
