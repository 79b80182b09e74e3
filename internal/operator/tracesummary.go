package operator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1_000_000

// decisionLine is the part of a decision log line that the summary uses; see
// telemetry.LogrusDecisions.
type decisionLine struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Node       string    `json:"node"`
	Decision   string    `json:"decision"`
	Candidates int       `json:"candidates"`
	Choice     string    `json:"choice"`
	Reason     string    `json:"reason"`
}

// traceSummaryResult is the JSON output of vpier trace-summary.
type traceSummaryResult struct {
	First     time.Time `json:"first"`
	Last      time.Time `json:"last"`
	Decisions int       `json:"decisions"`
	// OtherLines counts log lines that are not decisions, BadLines those that are not JSON.
	OtherLines int           `json:"other_lines"`
	BadLines   int           `json:"bad_lines"`
	Nodes      int           `json:"nodes"`
	Groups     []reasonGroup `json:"groups"`
}

// reasonGroup counts the decisions of one kind and reason.
type reasonGroup struct {
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Count    int    `json:"count"`
	// NoChoice counts the decisions without a choice.
	NoChoice int `json:"no_choice"`
	// MeanCandidates is the mean number of candidates.
	MeanCandidates float64 `json:"mean_candidates"`
}

// traceSummary runs vpier trace-summary.
func (p *Program) traceSummary(a *traceSummaryArgs) error {
	in, err := p.openInput(a.File)
	if err != nil {
		return err
	}
	defer in.Close()
	result, err := summarize(in)
	if err != nil {
		return err
	}
	if result.Decisions == 0 {
		return model.Errorf(model.KindInvalid, "pass the log of vpierd at level info or below", "%s holds no decision lines", a.File)
	}
	return p.print(result, func(w io.Writer) { writeSummary(w, result) })
}

// summarize reads a log and counts its decisions.
func summarize(in io.Reader) (traceSummaryResult, error) {
	var result traceSummaryResult
	groups := map[[2]string]*reasonGroup{}
	nodes := map[string]bool{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line decisionLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			result.BadLines++
			continue
		}
		if line.Message != "decision" || line.Decision == "" {
			result.OtherLines++
			continue
		}
		nodes[line.Node] = true
		result.add(line, groups)
	}
	if err := scanner.Err(); err != nil {
		return result, model.Wrap(model.KindInvalid, err, "pass a log with one JSON object on each line", "the log cannot be read")
	}
	result.Nodes = len(nodes)
	result.Groups = sortGroups(groups)
	return result, nil
}

// add counts one decision.
func (r *traceSummaryResult) add(line decisionLine, groups map[[2]string]*reasonGroup) {
	r.Decisions++
	if r.First.IsZero() || line.Time.Before(r.First) {
		r.First = line.Time
	}
	if line.Time.After(r.Last) {
		r.Last = line.Time
	}
	key := [2]string{line.Decision, line.Reason}
	group := groups[key]
	if group == nil {
		group = &reasonGroup{Decision: line.Decision, Reason: line.Reason}
		groups[key] = group
	}
	group.Count++
	group.MeanCandidates += (float64(line.Candidates) - group.MeanCandidates) / float64(group.Count)
	if line.Choice == "" {
		group.NoChoice++
	}
}

// sortGroups returns the groups in descending order of their count.
func sortGroups(groups map[[2]string]*reasonGroup) []reasonGroup {
	var out []reasonGroup
	for _, group := range groups {
		out = append(out, *group)
	}
	slices.SortFunc(out, func(a, b reasonGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Decision, b.Decision), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// writeSummary writes a summary as text.
func writeSummary(w io.Writer, r traceSummaryResult) {
	fmt.Fprintf(w, "%s on %s in %s, from %s\n", plural(r.Decisions, "decision"), plural(r.Nodes, "node"),
		r.Last.Sub(r.First), r.First.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "%s of another kind, %s that are not JSON\n\n", plural(r.OtherLines, "line"), plural(r.BadLines, "line"))
	rows := [][]string{{"DECISION", "REASON", "COUNT", "SHARE", "NO CHOICE", "MEAN CANDIDATES"}}
	for _, g := range r.Groups {
		rows = append(rows, []string{
			g.Decision, g.Reason, strconv.Itoa(g.Count), fmt.Sprintf("%.1f%%", 100*float64(g.Count)/float64(r.Decisions)),
			strconv.Itoa(g.NoChoice), fmt.Sprintf("%.1f", g.MeanCandidates),
		})
	}
	table(w, rows)
}
