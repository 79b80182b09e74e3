// Package logtrace converts the decision logs of running nodes to a trace for package replay.
// It takes the accepted jobs, the run times of their tasks, cancellations and data centre
// changes from the log, and the hardware, teams and classes from the declaration. Options sets
// what neither contains.
package logtrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Options holds the values that the log does not contain.
type Options struct {
	// Name is the name of the trace. Required.
	Name string
	// Slope is the slowdown of a service at load 1 by a class that uses a whole worker. The
	// default is 0.05.
	Slope float64
	// P50Share and P99Share are the latencies of a service without batch work, as shares of
	// its target. The defaults are 0.25 and 0.7.
	P50Share, P99Share float64
	// Settle is the time after the last line in which running work may end. The default is 1h.
	Settle time.Duration
}

func (o *Options) setDefaults() {
	for _, f := range []struct {
		value *float64
		def   float64
	}{{&o.Slope, 0.05}, {&o.P50Share, 0.25}, {&o.P99Share, 0.7}} {
		if *f.value == 0 {
			*f.value = f.def
		}
	}
	if o.Settle == 0 {
		o.Settle = time.Hour
	}
}

// line holds the fields of a decision log line that a trace needs.
type line struct {
	Time     time.Time `json:"time"`
	Decision string    `json:"decision"`
	Subject  string    `json:"subject"`
	Choice   string    `json:"choice"`
	Reason   string    `json:"reason"`

	Team       model.TeamName  `json:"team"`
	Class      model.ClassName `json:"class"`
	Tasks      int             `json:"tasks"`
	Gang       bool            `json:"gang"`
	MilliCPU   int64           `json:"milli_cpu"`
	MemoryMB   int64           `json:"memory_mb"`
	DeclaredMS int64           `json:"declared_ms"`
}

// maxLine is the largest length of a log line, in bytes.
const maxLine = 1 << 20

// Convert reads the log lines of one or several nodes, in any order, and returns the trace.
// Lines that are not decisions are skipped. KindInvalid means that the log contains no
// accepted job.
func Convert(r io.Reader, d *declaration.Declaration, o Options) (*replay.Trace, error) {
	o.setDefaults()
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	c := converter{tasks: map[model.TaskID]*taskRun{}, dataCentresOut: map[string]bool{}, acceptedJobs: map[string]bool{}}
	for _, l := range lines {
		c.add(l)
	}
	if len(c.orders) == 0 {
		return nil, model.Errorf(model.KindInvalid, "pass the logs of all nodes at level info or below", "the log holds no accepted order")
	}
	t := &replay.Trace{Header: newHeader(d, o), Events: c.events()}
	first, last := lines[0].Time, lines[len(lines)-1].Time
	t.Header.Horizon = replay.Seconds(last.Sub(first).Seconds())
	t.Header.Settle = replay.Seconds(o.Settle.Seconds())
	return t, nil
}

// readLines returns the decision lines, ordered by time.
func readLines(r io.Reader) ([]line, error) {
	var lines []line
	err := EachLine(r, func(text []byte) {
		var l line
		if json.Unmarshal(text, &l) == nil && l.Decision != "" {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	return lines, err
}

// EachLine calls f with each line of a log. KindInvalid means that a line is too long.
func EachLine(r io.Reader, f func(text []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		f(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return model.Wrap(model.KindInvalid, err, "pass a log with lines below 1 MiB", "log")
	}
	return nil
}

// newHeader returns the trace header for the deployment in the declaration.
func newHeader(d *declaration.Declaration, o Options) replay.Header {
	h := replay.Header{Format: replay.Format, Name: o.Name, Seed: 1}
	for _, dc := range d.DataCentres {
		h.DataCentres = append(h.DataCentres, replay.DataCentre{
			Name: dc.Name, Region: dc.Region, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack,
			Cores: dc.Worker.Cores, MemoryGB: dc.Worker.MemoryGB,
		})
	}
	for _, s := range d.Services {
		target := float64(s.TargetP99.D().Milliseconds())
		h.Services = append(h.Services, replay.Service{Name: s.Name, P50: target * o.P50Share, P99: target * o.P99Share, Target: target})
	}
	for _, c := range d.BatchClasses {
		retries := 0
		if c.MaxRetries != nil {
			retries = *c.MaxRetries
		}
		h.Classes = append(h.Classes, replay.Class{Name: c.Name, Slope: o.Slope, Urgency: c.Urgency, Retries: retries, CheckpointInterval: 30, EvictTime: 0.5})
	}
	for _, t := range d.Teams {
		h.Teams = append(h.Teams, replay.Team{Name: t.Name, Cores: t.Quota.Cores, MemoryGB: t.Quota.MemoryGB})
	}
	return h
}

// taskRun is the execution of one task as recorded in the log.
type taskRun struct {
	placedAt time.Time
	runTime  time.Duration
}

// converter collects events from lines that are ordered by time.
type converter struct {
	start  time.Time
	orders []line
	tasks  map[model.TaskID]*taskRun
	// acceptedJobs holds the accepted jobs. A retried submission may be logged again, by any
	// node.
	acceptedJobs map[string]bool
	// dataCentresOut holds the data centres that are out of service. Every node logs a change.
	dataCentresOut map[string]bool
	otherEvents    []replay.Event
}

func (c *converter) add(l line) {
	if c.start.IsZero() {
		c.start = l.Time
	}
	switch l.Decision {
	case telemetry.KindOrder:
		if l.Tasks > 0 && !c.acceptedJobs[l.Subject] {
			c.acceptedJobs[l.Subject] = true
			c.orders = append(c.orders, l)
		}
	case telemetry.KindCancel:
		c.otherEvents = append(c.otherEvents, replay.Event{At: c.at(l), Cancel: &replay.Cancel{Jobs: []model.JobID{model.JobID(l.Subject)}}})
	case telemetry.KindPlace:
		c.task(l.Subject).placedAt = l.Time
	case telemetry.KindEnd:
		c.addEnd(l)
	case telemetry.KindDataCentre:
		c.addDataCentre(l)
	}
}

func (c *converter) at(l line) replay.Seconds { return replay.Seconds(l.Time.Sub(c.start).Seconds()) }

func (c *converter) task(subject string) *taskRun {
	id := model.TaskID(subject)
	if c.tasks[id] == nil {
		c.tasks[id] = &taskRun{}
	}
	return c.tasks[id]
}

// addEnd adds the run time of an attempt. The work of attempts that failed or were lost does
// not count towards the run time of the task.
func (c *converter) addEnd(l line) {
	e := c.task(l.Subject)
	counts := l.Reason == string(model.OutcomeDone) || l.Reason == string(model.OutcomeEvicted)
	if counts && !e.placedAt.IsZero() {
		e.runTime += l.Time.Sub(e.placedAt)
	}
	e.placedAt = time.Time{}
}

func (c *converter) addDataCentre(l line) {
	out := l.Choice == telemetry.ChoiceOut
	if c.dataCentresOut[l.Subject] == out {
		return
	}
	c.dataCentresOut[l.Subject] = out
	c.otherEvents = append(c.otherEvents, replay.Event{At: c.at(l), Operate: dataCentreCommand(model.DataCentre(l.Subject), out)})
}

// dataCentreCommand returns the command that takes a data centre out of service or returns it.
func dataCentreCommand(dc model.DataCentre, out bool) *replay.Operate {
	op := &replay.Operate{Actor: "log", ExpectedSequence: -1}
	if out {
		op.Out = dc
	} else {
		op.In = dc
	}
	return op
}

// events returns the submissions, with the run times from the whole log, and the other events,
// ordered by time.
func (c *converter) events() []replay.Event {
	runTimes := map[string][]time.Duration{}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		if e := c.tasks[id]; e.runTime > 0 {
			job := jobOf(id)
			runTimes[job] = append(runTimes[job], e.runTime)
		}
	}
	events := c.otherEvents
	for _, l := range c.orders {
		events = append(events, replay.Event{At: c.at(l), Submit: submission(l, runTimes[l.Subject])})
	}
	slices.SortStableFunc(events, func(a, b replay.Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// minRunTime is the shortest run time in a trace, in seconds.
const minRunTime = 0.1

// submission returns the submission of an accepted job. Tasks that did not end within the log
// get the mean run time of those that did, or else the declared run time.
func submission(l line, runTimes []time.Duration) *replay.Submit {
	declared := replay.Seconds(float64(l.DeclaredMS) / 1000)
	s := &replay.Submit{
		Job: model.JobID(l.Subject), Team: l.Team, Class: l.Class, Tasks: l.Tasks, Gang: l.Gang,
		Cores: float64(l.MilliCPU) / 1000, MemoryGB: float64(l.MemoryMB) / 1000,
		DeclaredRun: max(declared, minRunTime),
	}
	if len(runTimes) == 0 {
		s.RunTimes = []replay.Seconds{s.DeclaredRun}
		return s
	}
	var sum time.Duration
	for _, d := range runTimes[:min(len(runTimes), l.Tasks)] {
		sum += d
		s.RunTimes = append(s.RunTimes, max(replay.Seconds(d.Seconds()), minRunTime))
	}
	mean := max(replay.Seconds(sum.Seconds()/float64(len(s.RunTimes))), minRunTime)
	for len(s.RunTimes) < l.Tasks {
		s.RunTimes = append(s.RunTimes, mean)
	}
	return s
}

// jobOf returns the job ID in a task ID of the form JOB/NUMBER.
func jobOf(id model.TaskID) string {
	if at := strings.LastIndexByte(string(id), '/'); at >= 0 {
		return string(id[:at])
	}
	return string(id)
}
