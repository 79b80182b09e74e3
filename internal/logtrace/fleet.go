package logtrace

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// Defaults of a trace from a log that names no classes.
const (
	// fleetCheckpoint is the interval of checkpoints that tasks take themselves.
	fleetCheckpoint = 1
	// fleetEvict is the time that a checkpoint and stop take, in seconds.
	fleetEvict = 0.3
	// fleetRetries is a budget that no task of a recorded log uses up.
	fleetRetries = 20
)

// fleetLine is the part of a decision line of package fleet that a trace needs.
type fleetLine struct {
	Time     time.Time        `json:"time"`
	Decision string           `json:"decision"`
	Choice   string           `json:"choice"`
	Job      string           `json:"job"`
	Queue    string           `json:"queue"`
	AgeMS    int64            `json:"age_ms"`
	Task     string           `json:"task"`
	Attempt  int              `json:"attempt"`
	Worker   string           `json:"worker"`
	DC       model.DataCentre `json:"dc"`
	FreeCPU  int64            `json:"free_cpu"`
	Out      bool             `json:"out"`
	MilliCPU int64            `json:"milli_cpu"`
	MemoryMB int64            `json:"memory_mb"`
	Shape    []stepShape      `json:"shape"`
}

// stepShape describes a step in an order line.
type stepShape struct {
	Count    int   `json:"count"`
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after"`
	Gang     bool  `json:"gang"`
	Lasting  bool  `json:"lasting"`
}

// fleetJob is what the log tells of a job.
type fleetJob struct {
	queue   string
	arrived time.Time
	shape   []stepShape
	// steps holds the executions by occurrence and step.
	steps map[[2]int]*fleetStep
}

// fleetStep is one step of one occurrence.
type fleetStep struct {
	ran      map[int]time.Duration // by task
	started  time.Time
	lastDone time.Time
	done     int
}

// fleetWorker is a worker of the log.
type fleetWorker struct {
	dc         model.DataCentre
	cpu, memMB int64
}

type fleetConverter struct {
	first, last time.Time
	jobs        map[string]*fleetJob
	workers     map[string]*fleetWorker
	placed      map[string]time.Time // runs, by task and attempt
	out         map[model.DataCentre]bool
	events      []replay.Event
	cancelled   map[string]bool
}

// ConvertFleet reads the log lines of nodes on the platform, in any order, and
// returns a trace. The trace format has no steps: each step is a job of its own that
// arrives when the steps before it were done; lasting steps run until the log ends.
// KindInvalid means that the log holds no order with its shape.
func ConvertFleet(r io.Reader, o Options) (*replay.Trace, error) {
	o.provision()
	lines, err := readFleet(r)
	if err != nil {
		return nil, err
	}
	c := fleetConverter{jobs: map[string]*fleetJob{}, workers: map[string]*fleetWorker{}, placed: map[string]time.Time{},
		out: map[model.DataCentre]bool{}, cancelled: map[string]bool{}}
	for _, l := range lines {
		c.add(l)
	}
	c.dropUnknownPlaces()
	if len(c.jobs) == 0 || len(c.workers) == 0 {
		return nil, model.Errorf(model.KindInvalid, "pass the logs of all nodes at level info or below", "the log holds no order with the shape of its steps, or no start")
	}
	c.submissions()
	slices.SortStableFunc(c.events, func(a, b replay.Event) int { return cmp.Compare(a.At, b.At) })
	t := &replay.Trace{Header: c.header(o), Events: c.events}
	return t, nil
}

func readFleet(r io.Reader) ([]fleetLine, error) {
	var lines []fleetLine
	err := eachLine(r, func(text []byte) {
		if at := bytes.IndexByte(text, '{'); at > 0 {
			text = text[at:] // a prefix by which the platform marks lines
		}
		var l fleetLine
		if json.Unmarshal(text, &l) == nil && l.Decision != "" && !l.Time.IsZero() {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b fleetLine) int { return a.Time.Compare(b.Time) })
	return lines, err
}

func (c *fleetConverter) add(l fleetLine) {
	if c.first.IsZero() {
		c.first = l.Time
	}
	c.last = l.Time
	switch l.Decision {
	case "order":
		if c.jobs[l.Job] == nil && len(l.Shape) > 0 {
			arrived := l.Time.Add(-time.Duration(l.AgeMS) * time.Millisecond)
			if arrived.Before(c.first) {
				arrived = c.first
			}
			c.jobs[l.Job] = &fleetJob{queue: l.Queue, arrived: arrived, shape: l.Shape, steps: map[[2]int]*fleetStep{}}
		}
	case "worker":
		if l.MilliCPU > 0 {
			c.workers[l.Worker] = &fleetWorker{l.DC, l.MilliCPU, l.MemoryMB}
		}
	case "place":
		c.place(l)
	case "end":
		c.end(l)
	case "cancel":
		if j := c.jobs[l.Job]; j != nil && !c.cancelled[l.Job] {
			c.cancelled[l.Job] = true
			c.cancel(l, j)
		}
	case "data-centre":
		c.dataCentre(l)
	}
}

// parse returns the step of a task, named JOB.OCCURRENCE.STEP.TASK.
func (c *fleetConverter) parse(task string) (*fleetStep, int) {
	var occurrence, step, index int
	id, rest, _ := strings.Cut(task, ".")
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil || c.jobs[id] == nil || step >= len(c.jobs[id].shape) {
		return nil, 0
	}
	j, key := c.jobs[id], [2]int{occurrence, step}
	if j.steps[key] == nil {
		j.steps[key] = &fleetStep{ran: map[int]time.Duration{}}
	}
	return j.steps[key], index
}

func runKey(l fleetLine) string { return fmt.Sprintf("%s#%d", l.Task, l.Attempt) }

func (c *fleetConverter) place(l fleetLine) {
	c.placed[runKey(l)] = l.Time
	w := c.workers[l.Worker]
	if w == nil {
		w = &fleetWorker{dc: l.DC}
		c.workers[l.Worker] = w
	}
	w.cpu = max(w.cpu, l.FreeCPU)
	if s, _ := c.parse(l.Task); s != nil && s.started.IsZero() {
		s.started = l.Time
	}
}

// end adds the time of an attempt; what failed or was lost saved nothing.
func (c *fleetConverter) end(l fleetLine) {
	s, index := c.parse(l.Task)
	placed, known := c.placed[runKey(l)]
	if s == nil || !known {
		return
	}
	delete(c.placed, runKey(l))
	switch l.Choice {
	case "done":
		s.done++
		s.lastDone = l.Time
		s.ran[index] += l.Time.Sub(placed)
	case "stopped":
		s.ran[index] += l.Time.Sub(placed)
	}
}

func (c *fleetConverter) at(t time.Time) replay.Seconds {
	return replay.Seconds(t.Sub(c.first).Seconds())
}

// stepJob names the job of a trace that stands for one step.
func stepJob(id string, key [2]int) model.JobID {
	return model.JobID(fmt.Sprintf("%s.%d.%d", id, key[0], key[1]))
}

func (c *fleetConverter) cancel(l fleetLine, j *fleetJob) {
	var jobs []model.JobID
	for key, s := range j.steps {
		if !s.started.IsZero() {
			jobs = append(jobs, stepJob(l.Job, key))
		}
	}
	if len(jobs) > 0 {
		slices.Sort(jobs)
		c.events = append(c.events, replay.Event{At: c.at(l.Time), Cancel: &replay.Cancel{Jobs: jobs}})
	}
}

func (c *fleetConverter) dataCentre(l fleetLine) {
	if c.out[l.DC] == l.Out || l.DC == "" {
		return
	}
	c.out[l.DC] = l.Out
	c.events = append(c.events, replay.Event{At: c.at(l.Time), Operate: operation(l.DC, l.Out)})
}

// dropUnknownPlaces removes operations on data centres without a worker in the log.
func (c *fleetConverter) dropUnknownPlaces() {
	known := map[model.DataCentre]bool{"": true}
	for _, w := range c.workers {
		known[w.dc] = true
	}
	c.events = slices.DeleteFunc(c.events, func(e replay.Event) bool {
		return e.Operate != nil && !(known[e.Operate.Out] && known[e.Operate.In])
	})
}

// submissions adds a job for each step of which a task has started.
func (c *fleetConverter) submissions() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		for key, s := range j.steps {
			if s.started.IsZero() {
				continue
			}
			c.events = append(c.events, replay.Event{At: c.at(j.ready(key, s)), Submit: c.submission(id, j, key, s)})
		}
	}
	// Equal times keep a fixed order.
	slices.SortFunc(c.events, func(a, b replay.Event) int { return cmp.Compare(eventName(a), eventName(b)) })
}

func eventName(e replay.Event) string {
	if e.Submit != nil {
		return string(e.Submit.Job)
	}
	return "~" // after submissions of the same time
}

// ready is when the steps before were done: the arrival for the first ones.
func (j *fleetJob) ready(key [2]int, s *fleetStep) time.Time {
	ready := j.arrived
	for _, a := range j.shape[key[1]].After {
		if before := j.steps[[2]int{key[0], a}]; before != nil && before.lastDone.After(ready) {
			ready = before.lastDone
		}
	}
	if key[0] > 0 && len(j.shape[key[1]].After) == 0 {
		ready = s.started // later occurrences begin at times of day
	}
	if ready.After(s.started) {
		return s.started
	}
	return ready
}

func (c *fleetConverter) submission(id string, j *fleetJob, key [2]int, s *fleetStep) *replay.Submit {
	shape := j.shape[key[1]]
	sub := &replay.Submit{
		Job: stepJob(id, key), Class: model.ClassName(j.queue), Tasks: shape.Count, Gang: shape.Gang,
		Cores: max(float64(shape.MilliCPU)/1000, 0.001), MemoryGB: float64(shape.MemoryMB) / 1000,
		Declared: max(replay.Seconds(float64(shape.Estimate)/1000), minRun),
	}
	if shape.Lasting {
		sub.Run = []replay.Seconds{max(replay.Seconds(c.last.Sub(s.started).Seconds()), minRun)}
		return sub
	}
	if len(s.ran) == 0 {
		sub.Run = []replay.Seconds{sub.Declared}
		return sub
	}
	var sum time.Duration
	for _, d := range s.ran {
		sum += d
	}
	mean := sum / time.Duration(len(s.ran))
	for i := range shape.Count {
		d, known := s.ran[i]
		if !known {
			d = mean
		}
		sub.Run = append(sub.Run, max(replay.Seconds(d.Seconds()), minRun))
	}
	return sub
}

// header describes the workers that the log names and a class for each queue.
func (c *fleetConverter) header(o Options) replay.Header {
	h := replay.Header{Format: replay.Format, Name: o.Name, Seed: 1, Horizon: max(c.at(c.last), 1), Settle: replay.Seconds(o.Settle.Seconds())}
	type sum struct{ workers, cpu, memory int64 }
	places := map[model.DataCentre]*sum{}
	for _, w := range c.workers {
		if places[w.dc] == nil {
			places[w.dc] = &sum{}
		}
		p := places[w.dc]
		p.workers, p.cpu, p.memory = p.workers+1, p.cpu+w.cpu, p.memory+w.memMB
	}
	for _, dc := range slices.Sorted(maps.Keys(places)) {
		p := places[dc]
		h.DataCentres = append(h.DataCentres, replay.DataCentre{Name: dc, Region: "log", Racks: 1, WorkersPerRack: int(p.workers),
			Cores: max(float64(p.cpu)/float64(p.workers)/1000, 1), MemoryGB: max(float64(p.memory)/float64(p.workers)/1000, 1)})
	}
	queues := map[string]bool{}
	for _, j := range c.jobs {
		queues[j.queue] = true
	}
	for _, q := range slices.Sorted(maps.Keys(queues)) {
		h.Classes = append(h.Classes, replay.Class{Name: model.ClassName(q), Slope: o.Slope, Urgency: "normal", Retries: fleetRetries,
			Checkpoint: fleetCheckpoint, Evict: fleetEvict})
	}
	return h
}
