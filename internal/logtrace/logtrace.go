// Package logtrace turns the decision log lines of running nodes into a trace that
// package replay reads. It takes the orders, their tasks' run times, cancellations
// and data centre changes from the log, and the equipment, teams and classes from
// the declaration. What no log line tells is set by Options.
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

// Options holds what the log does not tell.
type Options struct {
	// Name is the trace's name. Required.
	Name string
	// Slope is the slowdown of a service at load 1 by a class that uses a whole
	// worker. Default 0.05.
	Slope float64
	// P50Share and P99Share give a service's latency without batch work as shares
	// of its target. Defaults 0.25 and 0.7.
	P50Share, P99Share float64
	// Settle is how long after the last line running work may take to end.
	// Default 1h.
	Settle time.Duration
}

func (o *Options) provision() {
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

// line is the part of a decision log line that a trace needs.
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

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Convert reads log lines, of one or of several nodes in any order, and returns the
// trace. Lines that are no decisions are skipped. KindInvalid means that the log
// holds no order.
func Convert(r io.Reader, d *declaration.Declaration, o Options) (*replay.Trace, error) {
	o.provision()
	lines, err := read(r)
	if err != nil {
		return nil, err
	}
	c := converter{tasks: map[model.TaskID]*execution{}, out: map[string]bool{}, seen: map[string]bool{}}
	for _, l := range lines {
		c.add(l)
	}
	if len(c.orders) == 0 {
		return nil, model.Errorf(model.KindInvalid, "pass the logs of all nodes at level info or below", "the log holds no accepted order")
	}
	t := &replay.Trace{Header: header(d, o), Events: c.events()}
	first, last := lines[0].Time, lines[len(lines)-1].Time
	t.Header.Horizon = replay.Seconds(last.Sub(first).Seconds())
	t.Header.Settle = replay.Seconds(o.Settle.Seconds())
	return t, nil
}

// read returns the decision lines in order of time.
func read(r io.Reader) ([]line, error) {
	var lines []line
	err := eachLine(r, func(text []byte) {
		var l line
		if json.Unmarshal(text, &l) == nil && l.Decision != "" {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	return lines, err
}

// eachLine calls f with each line of a log.
func eachLine(r io.Reader, f func(text []byte)) error {
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

// header describes the deployment as the declaration states it.
func header(d *declaration.Declaration, o Options) replay.Header {
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
		h.Classes = append(h.Classes, replay.Class{Name: c.Name, Slope: o.Slope, Urgency: c.Urgency, Retries: retries, Checkpoint: 30, Evict: 0.5})
	}
	for _, t := range d.Teams {
		h.Teams = append(h.Teams, replay.Team{Name: t.Name, Cores: t.Quota.Cores, MemoryGB: t.Quota.MemoryGB})
	}
	return h
}

// execution is what the log tells of one task.
type execution struct {
	placed time.Time
	ran    time.Duration
}

// converter collects events from lines in order of time.
type converter struct {
	start  time.Time
	orders []line
	tasks  map[model.TaskID]*execution
	// seen holds the jobs that were accepted; every node may log an order again
	// when it is repeated.
	seen map[string]bool
	// out holds the data centres that are out. Every node logs a change.
	out   map[string]bool
	other []replay.Event
}

func (c *converter) add(l line) {
	if c.start.IsZero() {
		c.start = l.Time
	}
	switch l.Decision {
	case telemetry.KindOrder:
		if l.Tasks > 0 && !c.seen[l.Subject] {
			c.seen[l.Subject] = true
			c.orders = append(c.orders, l)
		}
	case telemetry.KindCancel:
		c.other = append(c.other, replay.Event{At: c.at(l), Cancel: &replay.Cancel{Jobs: []model.JobID{model.JobID(l.Subject)}}})
	case telemetry.KindPlace:
		c.task(l.Subject).placed = l.Time
	case telemetry.KindEnd:
		c.end(l)
	case telemetry.KindDataCentre:
		c.dataCentre(l)
	}
}

func (c *converter) at(l line) replay.Seconds { return replay.Seconds(l.Time.Sub(c.start).Seconds()) }

func (c *converter) task(subject string) *execution {
	id := model.TaskID(subject)
	if c.tasks[id] == nil {
		c.tasks[id] = &execution{}
	}
	return c.tasks[id]
}

// end adds the time of an attempt. The work of attempts that failed or were lost
// does not count towards the task's run time.
func (c *converter) end(l line) {
	e := c.task(l.Subject)
	counts := l.Reason == string(model.OutcomeDone) || l.Reason == string(model.OutcomeEvicted)
	if counts && !e.placed.IsZero() {
		e.ran += l.Time.Sub(e.placed)
	}
	e.placed = time.Time{}
}

func (c *converter) dataCentre(l line) {
	out := l.Choice == telemetry.ChoiceOut
	if c.out[l.Subject] == out {
		return
	}
	c.out[l.Subject] = out
	c.other = append(c.other, replay.Event{At: c.at(l), Operate: operation(model.DataCentre(l.Subject), out)})
}

// operation takes a data centre out of service, or returns it.
func operation(dc model.DataCentre, out bool) *replay.Operate {
	op := &replay.Operate{Actor: "log", Saw: -1}
	if out {
		op.Out = dc
	} else {
		op.In = dc
	}
	return op
}

// events returns the submissions with the run times that the whole log tells, and
// the other events, in order of time.
func (c *converter) events() []replay.Event {
	ran := map[string][]time.Duration{}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		if e := c.tasks[id]; e.ran > 0 {
			job := jobOf(id)
			ran[job] = append(ran[job], e.ran)
		}
	}
	events := c.other
	for _, l := range c.orders {
		events = append(events, replay.Event{At: c.at(l), Submit: submission(l, ran[l.Subject])})
	}
	slices.SortStableFunc(events, func(a, b replay.Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// minRun is the shortest run time in a trace, in seconds.
const minRun = 0.1

// submission describes an order. Tasks that did not end within the log get the
// mean of those that did, or else the declared run time.
func submission(l line, ran []time.Duration) *replay.Submit {
	declared := replay.Seconds(float64(l.DeclaredMS) / 1000)
	s := &replay.Submit{
		Job: model.JobID(l.Subject), Team: l.Team, Class: l.Class, Tasks: l.Tasks, Gang: l.Gang,
		Cores: float64(l.MilliCPU) / 1000, MemoryGB: float64(l.MemoryMB) / 1000,
		Declared: max(declared, minRun),
	}
	if len(ran) == 0 {
		s.Run = []replay.Seconds{s.Declared}
		return s
	}
	var sum time.Duration
	for _, d := range ran[:min(len(ran), l.Tasks)] {
		sum += d
		s.Run = append(s.Run, max(replay.Seconds(d.Seconds()), minRun))
	}
	mean := max(replay.Seconds(sum.Seconds()/float64(len(s.Run))), minRun)
	for len(s.Run) < l.Tasks {
		s.Run = append(s.Run, mean)
	}
	return s
}

// jobOf returns the job part of a task id, JOB/NUMBER.
func jobOf(id model.TaskID) string {
	if at := strings.LastIndexByte(string(id), '/'); at >= 0 {
		return string(id[:at])
	}
	return string(id)
}
