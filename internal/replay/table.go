package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes one line for each outcome, with the four main metrics, the counts and the
// number of violations. A metric that was not measured is "-".
func WriteTable(w io.Writer, outcomes []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "trace\tpolicy\tseed\ttail ratio\tof offline\twork while out\tevictions\tof best fit\tdone\tfailed\tcancelled\tunrunnable\turgent worst\tviolations")
	for _, o := range outcomes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d ms\t%d\n",
			o.Trace, o.Policy, o.Seed, o.TailRatio, measureText(o.OfflineShare), measureText(o.OutShare),
			o.ChosenEvictions(), evictionText(o), o.Done, o.Failed, o.Cancelled, o.Unrunnable, o.UrgentWorstMs, o.ViolationCount)
	}
	return t.Flush()
}

func measureText(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", v)
}

func evictionText(o Outcome) string {
	if o.BestFitEvictions == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", o.ChosenEvictions(), o.BestFitEvictions)
}
