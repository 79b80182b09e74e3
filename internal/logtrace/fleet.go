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

// Values for the trace of a log that contains no classes.
const (
	// fleetCheckpointInterval is the interval between the periodic checkpoints of a task, in
	// seconds.
	fleetCheckpointInterval = 1
	// fleetEvictTime is the time that a checkpoint and stop take, in seconds.
	fleetEvictTime = 0.3
	// fleetRetries is a retry limit that no task of a recorded log reaches.
	fleetRetries = 20
)

// fleetLine holds the fields of a decision line of package fleet that a trace needs.
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

// stepShape describes a step in a line with the decision "order".
type stepShape struct {
	Count    int   `json:"count"`
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after"`
	Gang     bool  `json:"gang"`
	Lasting  bool  `json:"lasting"`
}

// fleetJob is a job as recorded in the log.
type fleetJob struct {
	queue     string
	arrivedAt time.Time
	shape     []stepShape
	// steps holds the executed steps by occurrence and step.
	steps map[[2]int]*fleetStep
}

// fleetStep is one step of one occurrence.
type fleetStep struct {
	runTimes   map[int]time.Duration // by task
	startedAt  time.Time
	lastDoneAt time.Time
	done       int
}

// fleetWorker is a worker as recorded in the log.
type fleetWorker struct {
	dc         model.DataCentre
	cpu, memMB int64
}

type fleetConverter struct {
	first, last    time.Time
	jobs           map[string]*fleetJob
	workers        map[string]*fleetWorker
	placedAt       map[string]time.Time // start of running attempts, by task and attempt
	dataCentresOut map[model.DataCentre]bool
	events         []replay.Event
	cancelled      map[string]bool
}

// ConvertFleet reads the log lines of nodes on the platform, in any order, and returns a
// trace. The trace format has no steps: each step becomes a job of its own that arrives when
// the preceding steps are done. Lasting steps run until the end of the log. KindInvalid means
// that the log contains no order with its shape, or no start.
func ConvertFleet(r io.Reader, o Options) (*replay.Trace, error) {
	o.setDefaults()
	lines, err := readFleet(r)
	if err != nil {
		return nil, err
	}
	c := fleetConverter{jobs: map[string]*fleetJob{}, workers: map[string]*fleetWorker{}, placedAt: map[string]time.Time{},
		dataCentresOut: map[model.DataCentre]bool{}, cancelled: map[string]bool{}}
	for _, l := range lines {
		c.add(l)
	}
	c.dropUnknownDataCentres()
	if len(c.jobs) == 0 || len(c.workers) == 0 {
		return nil, model.Errorf(model.KindInvalid, "pass the logs of all nodes at level info or below", "the log holds no order with the shape of its steps, or no start")
	}
	c.addSubmissions()
	slices.SortStableFunc(c.events, func(a, b replay.Event) int { return cmp.Compare(a.At, b.At) })
	t := &replay.Trace{Header: c.header(o), Events: c.events}
	return t, nil
}

func readFleet(r io.Reader) ([]fleetLine, error) {
	var lines []fleetLine
	err := EachLine(r, func(text []byte) {
		if at := bytes.IndexByte(text, '{'); at > 0 {
			text = text[at:] // remove the line prefix added by the platform
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
			c.jobs[l.Job] = &fleetJob{queue: l.Queue, arrivedAt: arrived, shape: l.Shape, steps: map[[2]int]*fleetStep{}}
		}
	case "worker":
		if l.MilliCPU > 0 {
			c.workers[l.Worker] = &fleetWorker{l.DC, l.MilliCPU, l.MemoryMB}
		}
	case "place":
		c.addPlacement(l)
	case "end":
		c.addEnd(l)
	case "cancel":
		if j := c.jobs[l.Job]; j != nil && !c.cancelled[l.Job] {
			c.cancelled[l.Job] = true
			c.addCancel(l, j)
		}
	case "data-centre":
		c.addDataCentre(l)
	}
}

// parseTask returns the step and the index of a task. The task is named
// JOB.OCCURRENCE.STEP.TASK.
func (c *fleetConverter) parseTask(task string) (*fleetStep, int) {
	var occurrence, step, index int
	id, rest, _ := strings.Cut(task, ".")
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil || c.jobs[id] == nil || step >= len(c.jobs[id].shape) {
		return nil, 0
	}
	j, key := c.jobs[id], [2]int{occurrence, step}
	if j.steps[key] == nil {
		j.steps[key] = &fleetStep{runTimes: map[int]time.Duration{}}
	}
	return j.steps[key], index
}

func attemptKey(l fleetLine) string { return fmt.Sprintf("%s#%d", l.Task, l.Attempt) }

func (c *fleetConverter) addPlacement(l fleetLine) {
	c.placedAt[attemptKey(l)] = l.Time
	w := c.workers[l.Worker]
	if w == nil {
		w = &fleetWorker{dc: l.DC}
		c.workers[l.Worker] = w
	}
	w.cpu = max(w.cpu, l.FreeCPU)
	if s, _ := c.parseTask(l.Task); s != nil && s.startedAt.IsZero() {
		s.startedAt = l.Time
	}
}

// addEnd adds the run time of an attempt. The work of attempts that failed or were lost does
// not count.
func (c *fleetConverter) addEnd(l fleetLine) {
	s, index := c.parseTask(l.Task)
	placed, known := c.placedAt[attemptKey(l)]
	if s == nil || !known {
		return
	}
	delete(c.placedAt, attemptKey(l))
	switch l.Choice {
	case "done":
		s.done++
		s.lastDoneAt = l.Time
		s.runTimes[index] += l.Time.Sub(placed)
	case "stopped":
		s.runTimes[index] += l.Time.Sub(placed)
	}
}

func (c *fleetConverter) at(t time.Time) replay.Seconds {
	return replay.Seconds(t.Sub(c.first).Seconds())
}

// stepJobID returns the ID of the trace job that represents one step.
func stepJobID(id string, key [2]int) model.JobID {
	return model.JobID(fmt.Sprintf("%s.%d.%d", id, key[0], key[1]))
}

func (c *fleetConverter) addCancel(l fleetLine, j *fleetJob) {
	var jobs []model.JobID
	for key, s := range j.steps {
		if !s.startedAt.IsZero() {
			jobs = append(jobs, stepJobID(l.Job, key))
		}
	}
	if len(jobs) > 0 {
		slices.Sort(jobs)
		c.events = append(c.events, replay.Event{At: c.at(l.Time), Cancel: &replay.Cancel{Jobs: jobs}})
	}
}

func (c *fleetConverter) addDataCentre(l fleetLine) {
	if c.dataCentresOut[l.DC] == l.Out || l.DC == "" {
		return
	}
	c.dataCentresOut[l.DC] = l.Out
	c.events = append(c.events, replay.Event{At: c.at(l.Time), Operate: dataCentreCommand(l.DC, l.Out)})
}

// dropUnknownDataCentres removes commands for data centres without a worker in the log.
func (c *fleetConverter) dropUnknownDataCentres() {
	dataCentres := map[model.DataCentre]bool{"": true}
	for _, w := range c.workers {
		dataCentres[w.dc] = true
	}
	c.events = slices.DeleteFunc(c.events, func(e replay.Event) bool {
		return e.Operate != nil && !(dataCentres[e.Operate.Out] && dataCentres[e.Operate.In])
	})
}

// addSubmissions adds a job for each step with at least one started task.
func (c *fleetConverter) addSubmissions() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		for key, s := range j.steps {
			if s.startedAt.IsZero() {
				continue
			}
			c.events = append(c.events, replay.Event{At: c.at(j.readyAt(key, s)), Submit: c.submission(id, j, key, s)})
		}
	}
	// Events with the same time keep a fixed order.
	slices.SortFunc(c.events, func(a, b replay.Event) int { return cmp.Compare(eventSortKey(a), eventSortKey(b)) })
}

func eventSortKey(e replay.Event) string {
	if e.Submit != nil {
		return string(e.Submit.Job)
	}
	return "~" // sorts after submissions of the same time
}

// readyAt returns when the preceding steps were done, or the arrival of the job for a first
// step.
func (j *fleetJob) readyAt(key [2]int, s *fleetStep) time.Time {
	ready := j.arrivedAt
	for _, a := range j.shape[key[1]].After {
		if before := j.steps[[2]int{key[0], a}]; before != nil && before.lastDoneAt.After(ready) {
			ready = before.lastDoneAt
		}
	}
	if key[0] > 0 && len(j.shape[key[1]].After) == 0 {
		ready = s.startedAt // later occurrences start at set times of day
	}
	if ready.After(s.startedAt) {
		return s.startedAt
	}
	return ready
}

func (c *fleetConverter) submission(id string, j *fleetJob, key [2]int, s *fleetStep) *replay.Submit {
	shape := j.shape[key[1]]
	sub := &replay.Submit{
		Job: stepJobID(id, key), Class: model.ClassName(j.queue), Tasks: shape.Count, Gang: shape.Gang,
		Cores: max(float64(shape.MilliCPU)/1000, 0.001), MemoryGB: float64(shape.MemoryMB) / 1000,
		DeclaredRun: max(replay.Seconds(float64(shape.Estimate)/1000), minRunTime),
	}
	if shape.Lasting {
		sub.RunTimes = []replay.Seconds{max(replay.Seconds(c.last.Sub(s.startedAt).Seconds()), minRunTime)}
		return sub
	}
	if len(s.runTimes) == 0 {
		sub.RunTimes = []replay.Seconds{sub.DeclaredRun}
		return sub
	}
	var sum time.Duration
	for _, d := range s.runTimes {
		sum += d
	}
	mean := sum / time.Duration(len(s.runTimes))
	for i := range shape.Count {
		d, known := s.runTimes[i]
		if !known {
			d = mean
		}
		sub.RunTimes = append(sub.RunTimes, max(replay.Seconds(d.Seconds()), minRunTime))
	}
	return sub
}

// header describes the workers recorded in the log and a class for each queue.
func (c *fleetConverter) header(o Options) replay.Header {
	h := replay.Header{Format: replay.Format, Name: o.Name, Seed: 1, Horizon: max(c.at(c.last), 1), Settle: replay.Seconds(o.Settle.Seconds())}
	type capacity struct{ workers, cpu, memory int64 }
	capacities := map[model.DataCentre]*capacity{}
	for _, w := range c.workers {
		if capacities[w.dc] == nil {
			capacities[w.dc] = &capacity{}
		}
		p := capacities[w.dc]
		p.workers, p.cpu, p.memory = p.workers+1, p.cpu+w.cpu, p.memory+w.memMB
	}
	for _, dc := range slices.Sorted(maps.Keys(capacities)) {
		p := capacities[dc]
		h.DataCentres = append(h.DataCentres, replay.DataCentre{Name: dc, Region: "log", Racks: 1, WorkersPerRack: int(p.workers),
			Cores: max(float64(p.cpu)/float64(p.workers)/1000, 1), MemoryGB: max(float64(p.memory)/float64(p.workers)/1000, 1)})
	}
	queues := map[string]bool{}
	for _, j := range c.jobs {
		queues[j.queue] = true
	}
	for _, q := range slices.Sorted(maps.Keys(queues)) {
		h.Classes = append(h.Classes, replay.Class{Name: model.ClassName(q), Slope: o.Slope, Urgency: "normal", Retries: fleetRetries,
			CheckpointInterval: fleetCheckpointInterval, EvictTime: fleetEvictTime})
	}
	return h
}
