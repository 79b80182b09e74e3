package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxFleetViewBytes bounds a node's response, in bytes. It is enough for about 2,000
// workers.
const maxFleetViewBytes = 4 << 20

// fleet runs vpier fleet. It queries the nodes in turn until a leader responds.
func (p *Program) fleet(ctx context.Context, a *fleetArgs) error {
	for _, addr := range a.Metrics {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return model.Wrap(model.KindInvalid, err, "write an address and a port such as 10.0.0.5:7661", "--metrics %q", addr)
		}
	}
	var best *fleet.NodeView
	var last error
	for _, addr := range a.Metrics {
		v, err := p.fetchFleetView(ctx, addr, a.Job)
		if err != nil {
			last = err
			continue
		}
		if best == nil || best.Fleet == nil || v.Fleet != nil {
			best = &v
		}
		if v.Fleet != nil && (a.Job == "" || v.Fleet.Job != nil) {
			break
		}
	}
	switch {
	case best == nil:
		return last
	case best.Fleet == nil:
		return model.Errorf(model.KindUnavailable, fmt.Sprintf("add the metrics address of %s, or ask again", leaderName(best.Leader)),
			"node %s does not lead; it knows of term %d", best.Node, best.Term)
	case a.Job != "" && best.Fleet.Job == nil:
		return model.Errorf(model.KindNotFound, "check the id, and name the leaders of all cells", "the leader %s knows no job %s", best.Node, a.Job)
	}
	return p.print(best, func(w io.Writer) { writeFleet(w, best) })
}

func leaderName(n model.NodeID) string {
	if n == "" {
		return "the leader"
	}
	return string(n)
}

func (p *Program) fetchFleetView(ctx context.Context, addr, job string) (v fleet.NodeView, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.args.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet?job="+url.QueryEscape(job), nil)
	if err != nil {
		return v, model.Wrap(model.KindInvalid, err, "check the address", "--metrics %q", addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, model.Wrap(model.KindUnavailable, err, "check the address, or name another node", "node at %s did not answer", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFleetViewBytes)).Decode(&v); err != nil || resp.StatusCode != http.StatusOK {
		return v, model.Errorf(model.KindUnavailable, "give the metrics address of a vpierd on the platform", "answer of %s (status %d) is no view of a node", addr, resp.StatusCode)
	}
	return v, nil
}

func writeFleet(out io.Writer, v *fleet.NodeView) {
	fmt.Fprintf(out, "leader %s in %s, term %d, configuration %d\n", v.Node, v.DataCentre, v.Term, v.Configuration)
	if u := v.Use; u != nil {
		fmt.Fprintf(out, "host: processor %.0f%%, memory %.0f%%, link %.0f%% of its limits\n", 100*u.CPU, 100*u.Memory, 100*u.Link)
	}
	if len(v.Cells) > 1 {
		writeCells(out, v.Cells)
	}
	shown := false
	for _, c := range v.Cells {
		if c.Fleet != nil && len(v.Cells) > 1 {
			fmt.Fprintf(out, "\ncell %d, led by this node:\n", c.Cell)
			writeCell(out, c.Fleet)
			shown = true
		}
	}
	if !shown {
		writeCell(out, v.Fleet)
	}
}

// writeCells lists the cells in the node's view.
func writeCells(out io.Writer, cells []fleet.CellView) {
	fmt.Fprintf(out, "%d cells:\n", len(cells))
	var rows [][]string
	for _, c := range cells {
		rows = append(rows, []string{fmt.Sprintf("  cell %d", c.Cell), leaderName(c.Leader), fmt.Sprintf("term %d", c.Term),
			fmt.Sprintf("renewed %d ms ago", c.RenewedMS), fmt.Sprintf("reserved %.0f%%", 100*c.Reserved), plural(c.Pending, "job") + " not begun"})
	}
	table(out, rows)
}

// writeCell writes the workers and jobs of a cell.
func writeCell(out io.Writer, f *fleet.FleetView) {
	states := map[string]int{}
	for _, w := range f.Workers {
		states[w.State]++
	}
	for _, s := range slices.Sorted(maps.Keys(states)) {
		fmt.Fprintf(out, "workers %s: %d\n", s, states[s])
	}
	for _, s := range []fleet.State{fleet.StateQueued, fleet.StateRunning, fleet.StateCompleted, fleet.StateFailed, fleet.StateCancelled} {
		if n := f.Jobs[s]; n > 0 {
			fmt.Fprintf(out, "jobs %s: %d\n", s, n)
		}
	}
	if l := f.Loop; l.EventsPerSecond > 0 {
		fmt.Fprintf(out, "loop: busy %.0f%%, %.0f events a second, oldest state %d ms, order %d ms, question %d ms\n",
			100*l.BusyShare, l.EventsPerSecond, l.OldestMS["state"], l.OldestMS["order"], l.OldestMS["question"])
	}
	if !f.AllRunsKnown {
		fmt.Fprintln(out, "runs of former leaders are not all known yet: older work waits")
	}
	for _, dc := range f.DataCentresOut {
		fmt.Fprintf(out, "data centre %s is out of service\n", dc)
	}
	if len(f.Waits) > 0 {
		writeWaits(out, f.Waits)
	}
	if f.Job != nil {
		writeJob(out, f.Job)
	}
	if f.WaitingSteps > 0 {
		writeWaiting(out, f)
	}
}

func writeJob(out io.Writer, j *fleet.JobView) {
	fmt.Fprintf(out, "\njob %s of queue %s: %s, %d ms old", j.Job, j.Queue, j.State, j.AgeMS)
	if j.Reason != "" {
		fmt.Fprintf(out, "; %s", j.Reason)
	}
	fmt.Fprintln(out)
	var rows [][]string
	for _, r := range j.Runs {
		rows = append(rows, []string{"  " + string(r.Task), fmt.Sprintf("attempt %d", r.Attempt), string(r.Worker), r.State,
			fmt.Sprintf("%d%%", r.Percent), fmt.Sprintf("%d ms", r.AgeMS)})
	}
	table(out, rows)
}

// writeWaits sums up what tasks wait for.
func writeWaits(out io.Writer, waits []fleet.WaitView) {
	fmt.Fprintln(out, "\ntasks that wait, by reason:")
	var rows [][]string
	for _, w := range waits {
		rows = append(rows, []string{"  " + w.Reason, plural(w.Tasks, "task"), plural(w.IdleJobs, "job") + " without a run",
			fmt.Sprintf("longest %d ms, of job %s", w.LongestMS, w.Job)})
	}
	table(out, rows)
}

func writeWaiting(out io.Writer, f *fleet.FleetView) {
	fmt.Fprintf(out, "\n%s waiting", plural(f.WaitingSteps, "step"))
	if f.WaitingSteps > len(f.Waiting) {
		fmt.Fprintf(out, ", the first %d", len(f.Waiting))
	}
	fmt.Fprintln(out, ":")
	var rows [][]string
	for _, w := range f.Waiting {
		rows = append(rows, []string{"  " + w.Job, fmt.Sprintf("step %d", w.Step), plural(w.Tasks, "task"),
			fmt.Sprintf("waited %d ms", w.Waited), fmt.Sprintf("slack %d ms", w.Slack), w.Reason})
	}
	table(out, rows)
}
