package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// print writes v as JSON, or calls text when the output format is text.
func (p *Program) print(v any, text func(w io.Writer)) error {
	if p.args.Output == outputJSON {
		enc := json.NewEncoder(p.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	var b strings.Builder
	text(&b)
	_, err := io.WriteString(p.Stdout, b.String())
	return err
}

// table writes rows in aligned columns.
func table(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	tw.Flush()
}

// progress writes a line about the progress of a wait to standard error.
func (p *Program) progress(format string, args ...any) {
	fmt.Fprintf(p.Stderr, format+"\n", args...)
}

// plural formats a count and its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
