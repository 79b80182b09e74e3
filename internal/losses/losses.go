// Package losses says from the logs of a fleet's nodes which jobs missed their objectives and
// what their time went to.
package losses

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/logtrace"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Cause is what the time of a job that missed its objective went to.
type Cause string

// Causes, in the order of a job's life.
const (
	// NotAccepted jobs were refused or got no answer in all attempts.
	NotAccepted Cause = "not accepted"
	// FirstWait is the time until the first start.
	FirstWait Cause = "waiting for the first start"
	// NextWait is the time without a run in later steps.
	NextWait Cause = "waiting between steps"
	// Slowed is the time lost to slower paces beside services.
	Slowed Cause = "slowed beside services"
	// Repeated is the time of runs that were lost, stopped or failed.
	Repeated Cause = "runs lost or repeated"
	// RunTime is run time beyond the estimates.
	RunTime Cause = "longer run time"
	// Unfinished jobs had not ended at the end of the log, after their objective.
	Unfinished Cause = "not finished"
)

// Causes returns all causes in order.
func Causes() []Cause {
	return []Cause{NotAccepted, FirstWait, NextWait, Slowed, Repeated, RunTime, Unfinished}
}

// Loss is a part of a job's value that was lost. The value of a job is 1.
type Loss struct {
	Kind   string // of the job: short, filler or lasting
	DC     string // data centre of the node that accepted it
	At     time.Duration
	Cause  Cause
	Amount float64
}

// Load is the load of a cell at one moment, in thousandths of a core and numbers of tasks.
type Load struct {
	At                                                                  time.Duration
	Capacity, Free, Services, Short, Filler, Held                       int64
	WaitingShort, WaitingFiller, ServiceTasks, AtWork, OverTarget, Slow int
}

// Day is what a log says of the jobs of its time span.
type Day struct {
	Length time.Duration
	// Jobs counts the submitted jobs by kind. Jobs that were never accepted have no kind; those
	// whose line with the kind is missing from the log have unknownKind.
	Jobs   map[string]int
	Losses []Loss
	Loads  []Load
}

const unknownKind = "unknown"

// Options of an evaluation.
type Options struct {
	// LateShare is the share of its value that a job keeps if it ends late, but before it
	// expires.
	LateShare float64
}

// line holds the fields of the log lines that matter here.
type line struct {
	Time        time.Time `json:"time"`
	Decision    string    `json:"decision"`
	Event       string    `json:"event"`
	Choice      string    `json:"choice"`
	Node        string    `json:"node"`
	DC          string    `json:"dc"`
	Job         string    `json:"job"`
	Kind        string    `json:"kind"`
	Verdict     string    `json:"verdict"`
	AgeMS       int64     `json:"age_ms"`
	TookMS      float64   `json:"took_ms"`
	ObjectiveMS float64   `json:"objective_ms"`
	FirstWaitMS float64   `json:"first_wait_ms"`
	NextWaitMS  float64   `json:"next_wait_ms"`
	SlowedMS    float64   `json:"slowed_ms"`
	RepeatedMS  float64   `json:"repeated_ms"`

	Capacity      int64 `json:"capacity_cpu"`
	Free          int64 `json:"free_cpu"`
	Services      int64 `json:"services_cpu"`
	Short         int64 `json:"short_cpu"`
	Filler        int64 `json:"filler_cpu"`
	Held          int64 `json:"held_cpu"`
	WaitingShort  int   `json:"waiting_short"`
	WaitingFiller int   `json:"waiting_filler"`
	ServiceTasks  int   `json:"services"`
	AtWork        int   `json:"services_at_work"`
	OverTarget    int   `json:"services_over_target"`
	Slow          int   `json:"fillers_slowed"`
}

// jobState is what the log says of one job.
type jobState struct {
	firstSent time.Time
	node      string
	accepted  bool
	kind      string
	objective time.Duration
	end       *line
}

// Read evaluates the log lines of all nodes, in any order. KindInvalid means that the log
// holds no submission.
func Read(r io.Reader, o Options) (*Day, error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	jobs, dcs := map[string]*jobState{}, map[string]string{}
	d := &Day{Jobs: map[string]int{}}
	for i := range lines {
		l := &lines[i]
		at := l.Time.Sub(lines[0].Time)
		d.Length = at
		switch {
		case l.Event == "start":
			dcs[l.Node] = l.DC
		case l.Decision == "load":
			d.Loads = append(d.Loads, Load{at, l.Capacity, l.Free, l.Services, l.Short, l.Filler, l.Held,
				l.WaitingShort, l.WaitingFiller, l.ServiceTasks, l.AtWork, l.OverTarget, l.Slow})
		case l.Job != "":
			j := jobs[l.Job]
			if j == nil {
				j = &jobState{}
				jobs[l.Job] = j
			}
			j.add(l)
		}
	}
	if len(jobs) == 0 {
		return nil, model.Errorf(model.KindInvalid, "pass the logs of all nodes at level info or below", "the log holds no submission")
	}
	for _, j := range jobs {
		if j.firstSent.IsZero() {
			continue
		}
		if j.accepted && j.kind == "" {
			j.kind = unknownKind
		}
		d.Jobs[j.kind]++
		for _, loss := range j.losses(lines[len(lines)-1].Time, o) {
			loss.Kind, loss.DC, loss.At = j.kind, dcs[j.node], j.firstSent.Sub(lines[0].Time)
			d.Losses = append(d.Losses, loss)
		}
	}
	slices.SortFunc(d.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.DC, b.DC), cmp.Compare(a.Amount, b.Amount))
	})
	return d, nil
}

// readLines returns the decision lines of a log, ordered by time.
func readLines(r io.Reader) ([]line, error) {
	var lines []line
	err := logtrace.EachLine(r, func(text []byte) {
		if at := bytes.IndexByte(text, '{'); at > 0 {
			text = text[at:] // a prefix added by what collected the log
		}
		var l line
		if json.Unmarshal(text, &l) == nil && !l.Time.IsZero() && (l.Decision != "" || l.Event != "") {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	return lines, err
}

// add adds a line about the job.
func (j *jobState) add(l *line) {
	switch l.Decision {
	case "submit":
		if sent := l.Time.Add(-ms(l.TookMS)); j.firstSent.IsZero() || sent.Before(j.firstSent) {
			j.firstSent, j.node = sent, l.Node
		}
		j.accepted = j.accepted || l.Choice == "ok"
	case "order":
		j.accepted, j.kind, j.objective = true, l.Kind, ms(l.ObjectiveMS)
	case "cancel":
		j.end = l // nothing is owed
	case "job":
		j.kind, j.end = l.Kind, l
	}
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// losses returns what the job lost by the end of the log.
func (j *jobState) losses(end time.Time, o Options) []Loss {
	switch {
	case !j.accepted:
		return []Loss{{Cause: NotAccepted, Amount: 1}}
	case j.end == nil && j.objective > 0 && end.Sub(j.firstSent) > j.objective:
		return []Loss{{Cause: Unfinished, Amount: 1}}
	case j.end == nil, j.end.Decision == "cancel", j.end.Choice != "completed":
		return nil
	case j.end.Verdict == "late":
		return j.end.split(1 - o.LateShare)
	case j.end.Verdict == "expired":
		return j.end.split(1)
	}
	return nil
}

// split divides the loss of a late job among the causes. Run time bears what the other causes
// together do not explain.
func (l *line) split(amount float64) []Loss {
	parts := []Loss{{Cause: FirstWait, Amount: l.FirstWaitMS}, {Cause: NextWait, Amount: l.NextWaitMS}, {Cause: Slowed, Amount: l.SlowedMS}, {Cause: Repeated, Amount: l.RepeatedMS}}
	sum := 0.0
	for _, p := range parts {
		sum += p.Amount
	}
	excess := max(l.TookMS-l.ObjectiveMS, 1)
	if rest := excess - sum; rest > 0 {
		parts, sum = append(parts, Loss{Cause: RunTime, Amount: rest}), excess
	}
	for i := range parts {
		parts[i].Amount *= amount / sum
	}
	return slices.DeleteFunc(parts, func(p Loss) bool { return p.Amount == 0 })
}
