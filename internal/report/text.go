package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as tables for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	if err := r.Validate(); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%s\n", r.Title, r.conclusion())
	if r.Summary != "" {
		fmt.Fprintln(&b, r.Summary)
	}
	for _, f := range r.Facts {
		fmt.Fprintf(&b, "%s: %s\n", f.Name, f.Value)
	}
	r.requirementTable(&b)
	r.metricTable(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

// requirementTable writes the verdicts with their notes.
func (r *Report) requirementTable(b *strings.Builder) {
	if len(r.Requirements) == 0 {
		return
	}
	rows := [][]string{append([]string{"\nREQUIREMENT", ""}, r.Configs...)}
	for _, q := range r.Requirements {
		row := []string{q.ID, q.Text}
		for _, result := range q.Results {
			cell := strings.ToUpper(string(result.Verdict))
			if result.Note != "" {
				cell += " (" + result.Note + ")"
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	writeTable(b, rows)
}

// metricTable writes the values and their change from the baseline.
func (r *Report) metricTable(b *strings.Builder) {
	if len(r.Metrics) == 0 {
		return
	}
	rows := [][]string{append([]string{"\nMETRIC", "UNIT", "BETTER"}, r.Configs...)}
	for _, m := range r.Metrics {
		row := []string{m.Name, m.Unit, string(m.Better)}
		for i, v := range m.Values {
			cell := format(v)
			if difference := percentChange(m.Values[0], v); i > 0 && difference != "" {
				cell += " (" + strings.TrimSpace(difference+" "+m.compareToBaseline(v)) + ")"
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	writeTable(b, rows)
}

// writeTable writes rows in aligned columns. It replaces tabs and line breaks inside a cell by
// spaces, because they would break the alignment. Only a leading line break of a row is kept.
func writeTable(b *strings.Builder, rows [][]string) {
	clean := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ")
	tw := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if rest, ok := strings.CutPrefix(cell, "\n"); ok && i == 0 {
				fmt.Fprintln(tw)
				cell = rest
			}
			row[i] = clean.Replace(cell)
		}
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	tw.Flush()
}
