// Package dev runs a complete deployment in one process, for local development and for
// end-to-end checks of the requirements: a simulated platform with workers and upstream
// runners, several nodes, and callers that replay a recorded trace.
package dev

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// TraceFormat is the trace format that this build reads and writes.
const TraceFormat = 1

// maxTraceLine bounds one line of a trace, in bytes.
const maxTraceLine = 1 << 20

// Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Seed is the default seed of the simulated platform.
	Seed uint64 `json:"seed"`
	// DurationMS is the time of the last event.
	DurationMS int64 `json:"duration_ms"`
	// ServiceMedianMS and ServiceSigma are the parameters of the runners' service times, a
	// log-normal distribution.
	ServiceMedianMS float64 `json:"service_median_ms"`
	ServiceSigma    float64 `json:"service_sigma"`
	// Slowdown is the interference of one batch task at full speed with a
	// service on the same host, by batch class.
	Slowdown map[model.ClassName]float64 `json:"slowdown,omitempty"`
	Expect   Expectations                `json:"expect"`
}

// Expectations are the expected outcomes of a trace.
type Expectations struct {
	// MaxP99MS is the maximum 99th percentile latency of idempotent requests, in
	// milliseconds.
	MaxP99MS float64 `json:"max_p99_ms"`
	// MinAnswered is the minimum share of successful idempotent requests.
	MinAnswered float64 `json:"min_answered"`
	// MinDone is the minimum share of orders that end as expected.
	MinDone float64 `json:"min_done"`
	// MaxUrgentMS is the maximum time from an urgent order to the start of its task.
	MaxUrgentMS float64 `json:"max_urgent_ms"`
	// MaxConfigMS is the maximum time until all nodes have applied a new declaration.
	MaxConfigMS float64 `json:"max_config_ms"`
}

// Event is one line after the header. Exactly one request, order or action is set.
type Event struct {
	// At is the time since the start, in milliseconds.
	At int64 `json:"at"`
	// Idempotent is an idempotent interactive request.
	Idempotent *IdempotentRequest `json:"proof,omitempty"`
	// NonIdempotent is a request that must be executed at most once.
	NonIdempotent *NonIdempotentRequest `json:"print,omitempty"`
	// Order is a batch job.
	Order *Order `json:"order,omitempty"`
	// Out and In take a data centre out of service and return it.
	Out model.DataCentre `json:"out,omitempty"`
	In  model.DataCentre `json:"in,omitempty"`
	// StopNode stops a node gracefully, KillNode stops it abruptly, and StartNode starts a
	// replacement. Nodes are numbered from 1.
	StopNode  int `json:"stop_node,omitempty"`
	KillNode  int `json:"kill_node,omitempty"`
	StartNode int `json:"start_node,omitempty"`
	// StoreDownMS makes the store unavailable for this time.
	StoreDownMS int64 `json:"store_down_ms,omitempty"`
	// RunnerLeaves is the runner that leaves service, RunnerSlow the runner that becomes
	// slow. Runners are numbered from 1.
	RunnerLeaves int `json:"runner_leaves,omitempty"`
	RunnerSlow   int `json:"runner_slow,omitempty"`
	// Accept proposes and accepts a changed declaration.
	Accept bool `json:"accept,omitempty"`
}

// IdempotentRequest is an interactive request with a body of Bytes bytes.
type IdempotentRequest struct {
	Service   model.ServiceName `json:"service"`
	Bytes     int               `json:"bytes"`
	TimeoutMS int64             `json:"timeout_ms,omitempty"`
}

// NonIdempotentRequest is a non-idempotent request. Twice sends two requests with the same
// key concurrently through two nodes.
type NonIdempotentRequest struct {
	Service model.ServiceName `json:"service"`
	Bytes   int               `json:"bytes"`
	Twice   bool              `json:"twice,omitempty"`
}

// Order is a batch job of equal tasks.
type Order struct {
	Team    model.TeamName  `json:"team"`
	Class   model.ClassName `json:"class"`
	Urgency string          `json:"urgency,omitempty"`
	Tasks   int             `json:"tasks"`
	Cores   float64         `json:"cores"`
	Memory  float64         `json:"memory_gb"`
	RunMS   int64           `json:"run_ms"`
	// DeclaredMS is the run time that the order declares; it may differ much from RunMS.
	DeclaredMS int64 `json:"declared_ms"`
	// Unschedulable is true when a task does not fit on any worker.
	Unschedulable bool `json:"never,omitempty"`
	// CancelAfterMS cancels the order when it is above zero.
	CancelAfterMS int64 `json:"cancel_after_ms,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	Header Header
	Events []Event
}

// Time returns the time of an event since the start.
func (e Event) Time() time.Duration { return time.Duration(e.At) * time.Millisecond }

// LoadTrace reads a trace. Errors contain the line number.
func LoadTrace(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxTraceLine)
	t := &Trace{}
	line := 0
	for scanner.Scan() {
		line++
		if err := t.addLine(line, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "give a trace with lines below 1 MiB", "line %d of the trace", line+1)
	}
	if line == 0 {
		return nil, model.Errorf(model.KindInvalid, "give a trace that vpier dev wrote", "the trace is empty")
	}
	return t, nil
}

func (t *Trace) addLine(line int, text []byte) error {
	if line == 1 {
		if err := json.Unmarshal(text, &t.Header); err != nil {
			return traceError(line, err, "start the trace with its header")
		}
		if t.Header.Format != TraceFormat {
			return traceError(line, fmt.Errorf("format %d", t.Header.Format), fmt.Sprintf("use a trace of format %d", TraceFormat))
		}
		return nil
	}
	var e Event
	if err := json.Unmarshal(text, &e); err != nil {
		return traceError(line, err, "write one event in JSON on each line")
	}
	if n := len(t.Events); n > 0 && t.Events[n-1].At > e.At {
		return traceError(line, fmt.Errorf("time %d ms is before the line above", e.At), "sort the events by time")
	}
	t.Events = append(t.Events, e)
	return nil
}

func traceError(line int, err error, remedy string) error {
	return model.Wrap(model.KindInvalid, err, remedy, "line %d of the trace", line)
}

// truncate removes the events after d.
func (t *Trace) truncate(d time.Duration) {
	limit := d.Milliseconds()
	end := len(t.Events)
	for end > 0 && t.Events[end-1].At > limit {
		end--
	}
	t.Events = t.Events[:end]
	t.Header.DurationMS = min(t.Header.DurationMS, limit)
}

// Write writes a trace in the format that LoadTrace reads.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return err
	}
	for _, e := range t.Events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
