package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the runners, as in the site file.
const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopTime  = 50 * time.Millisecond // stop_ms is 400
	maxWait   = 2 * time.Second
	// maxListed is how many ends a report lists at a time.
	maxListed = 500
)

// event is what a runner saw. It writes each as a line of JSON to its standard output.
type event struct {
	At      int64  `json:"at"` // Unix nanoseconds
	Kind    string `json:"kind"`
	Worker  string `json:"worker"`
	Born    int64  `json:"born"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	How     string `json:"how,omitempty"`
	Number  uint64 `json:"number,omitempty"`
	Fence   uint64 `json:"fence,omitempty"`
}

type runRef struct {
	task    string
	attempt int
}

type runState struct {
	ref       runRef
	cpu, mem  int64
	startedAt time.Time
	work      time.Duration
	timer     *time.Timer
	stopping  bool
}

type endState struct {
	number uint64
	ref    runRef
	how    string
}

// worker is one life of a runner.
type worker struct {
	id, addr, zone, rack string
	listed               string // the address in its entry
	store                string
	cpu, mem             int64
	firstBeat            time.Duration
	draining             atomic.Bool
	started              time.Time
	born                 int64

	mu      sync.Mutex
	fence   uint64
	lease   time.Duration
	runs    map[runRef]*runState
	ends    []endState
	lastEnd uint64
	acked   uint64
	highest map[string]int
	wake    chan struct{}
	timer   *time.Timer
	out     *json.Encoder
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{started: time.Now(), born: time.Now().UnixMilli(), runs: map[runRef]*runState{}, highest: map[string]int{}, wake: make(chan struct{}), out: json.NewEncoder(os.Stdout)}
	f.StringVar(&w.id, "id", "", "id of the runner")
	f.StringVar(&w.addr, "addr", "", "IP address and port")
	f.StringVar(&w.listed, "listed", "", "address in the runner's entry")
	f.StringVar(&w.zone, "zone", "", "zone")
	f.StringVar(&w.rack, "rack", "", "rack")
	f.StringVar(&w.store, "store", "", "address of the store")
	f.Int64Var(&w.cpu, "cpu", 0, "capacity in thousandths of a core")
	f.Int64Var(&w.mem, "mem", 0, "memory in MB")
	f.DurationVar(&w.firstBeat, "first-beat", 0, "time from the start to the first entry in the store")
	if err := f.Parse(args); err != nil {
		os.Exit(exitNotRun)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.start))
	mux.HandleFunc("POST /run-stop", w.order(w.stop))
	mux.HandleFunc("POST /pace", w.order(func(o order) (int, any) { return http.StatusOK, w.clock("") }))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.emit(event{Kind: "up"})
	go w.beat()
	_ = (&http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}).Serve(ln)
}

// emit writes an event.
func (w *worker) emit(e event) {
	e.At, e.Worker, e.Born = time.Now().UnixNano(), w.id, w.born
	_ = w.out.Encode(e) // the case sees a missing line
}

// beat writes the runner's entry into the store at each heartbeat.
func (w *worker) beat() {
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	time.Sleep(w.firstBeat)
	for seq := 1; ; seq++ {
		fields := map[string]any{"service": "desk", "address": w.listed, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": w.born, "machine": "m-" + w.id, "labels": []string{"a", w.rack},
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}}
		if w.draining.Load() {
			fields["state"], fields["remaining_ms"] = "draining", 2000
		}
		entry, _ := json.Marshal(fields)
		if resp, err := http.Post("http://"+w.store+"/beat/"+w.id, "application/json", bytes.NewReader(entry)); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-drain:
			w.draining.Store(true) // and it says so at once
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) clockNow() time.Duration { return time.Since(w.started) + time.Millisecond }

// clock is the body of an answer without lists.
func (w *worker) clock(reason string) map[string]any {
	m := map[string]any{"clock_ms": w.clockNow().Milliseconds(), "born": w.born}
	if reason != "" {
		m["reason"] = reason
	}
	return m
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	gone       <-chan struct{}
}

// order wraps a handler: it checks for whom the order is, and its fence.
func (w *worker) order(h func(order) (int, any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Vanillapier-Target-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o.gone = r.Context().Done()
		w.mu.Lock()
		if o.Fence < w.fence {
			w.mu.Unlock()
			reply(rw, http.StatusConflict, w.clock("fence"))
			return
		}
		w.fence = o.Fence
		status, body := h(o)
		w.mu.Unlock()
		reply(rw, status, body)
	}
}

// extend takes a lease. The lock is held.
func (w *worker) extend(deadlineMS int64) {
	d := min(time.Duration(deadlineMS)*time.Millisecond, w.clockNow()+holdMax)
	if d <= w.lease {
		return
	}
	w.lease = d
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(w.lease-w.clockNow(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clockNow() >= w.lease {
			w.emit(event{Kind: "lapse"})
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
	})
}

// start carries out a start. The lock is held.
func (w *worker) start(o order) (int, any) {
	ref := runRef{o.Task, o.Attempt}
	var cpu, mem int64
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	b := behaviourOf(o.Spec, o.Task, o.Attempt)
	switch {
	case w.runs[ref] != nil:
		return http.StatusOK, w.clock("")
	case o.Attempt <= w.highest[o.Task]:
		w.extend(o.DeadlineMS)
		return http.StatusConflict, w.clock("old")
	case time.Duration(o.DeadlineMS)*time.Millisecond <= w.clockNow():
		return http.StatusConflict, w.clock("late")
	case cpu+b.cpu > w.cpu || mem+b.mem > w.mem:
		w.extend(o.DeadlineMS)
		return http.StatusConflict, w.clock("room")
	}
	w.extend(o.DeadlineMS)
	r := &runState{ref: ref, cpu: b.cpu, mem: b.mem, startedAt: time.Now(), work: b.work}
	w.runs[ref] = r
	how := "done"
	if b.fails {
		how = "failed"
	}
	r.timer = time.AfterFunc(b.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, how)
	})
	w.emit(event{Kind: "start", Task: o.Task, Attempt: o.Attempt, Fence: o.Fence})
	return http.StatusOK, w.clock("")
}

// end ends a run. The lock is held.
func (w *worker) end(r *runState, how string) {
	if w.runs[r.ref] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.ref)
	w.highest[r.ref.task] = max(w.highest[r.ref.task], r.ref.attempt)
	w.lastEnd++
	w.ends = append(w.ends, endState{w.lastEnd, r.ref, how})
	w.emit(event{Kind: "end", Task: r.ref.task, Attempt: r.ref.attempt, How: how, Number: w.lastEnd})
	close(w.wake)
	w.wake = make(chan struct{})
}

// stop carries out a stop. The lock is held.
func (w *worker) stop(o order) (int, any) {
	if r := w.runs[runRef{o.Task, o.Attempt}]; r != nil {
		if !r.stopping {
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(r, "stopped")
			})
		}
		return http.StatusOK, w.clock("")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	return http.StatusOK, w.clock("")
}

// hold extends the lease, forgets acknowledged ends and reports. The lock is held, but not while
// it waits for an end.
func (w *worker) hold(o order) (int, any) {
	w.extend(o.DeadlineMS)
	if o.AckCursor > w.acked {
		w.acked = o.AckCursor
		i := sort.Search(len(w.ends), func(i int) bool { return w.ends[i].number > o.AckCursor })
		w.ends = w.ends[i:]
		w.emit(event{Kind: "ack", Number: o.AckCursor})
	}
	if len(w.ends) == 0 && o.WaitMS > 0 {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-o.gone:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)):
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for ref, r := range w.runs {
		percent := min(int(100*time.Since(r.startedAt)/max(r.work, 1)), 99)
		running = append(running, []any{ref.task, ref.attempt, "", percent, r.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.ref.task, e.ref.attempt, e.how, ""})
	}
	body := w.clock("")
	body["running"], body["finished"] = running, finished
	return http.StatusOK, body
}

// behaviour is how a run of a task goes.
type behaviour struct {
	cpu, mem int64
	work     time.Duration
	fails    bool
}

// behaviourOf reads the behaviour from the text of a submission: cpu, mem, work_ms, spread_ms,
// fails (all runs fail) and fails_once (the task whose first attempt fails).
func behaviourOf(spec, task string, attempt int) behaviour {
	v := map[string]string{}
	for _, word := range strings.Fields(spec) {
		if name, value, ok := strings.Cut(word, "="); ok {
			v[name] = value
		}
	}
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(v[name], 10, 64)
		return n
	}
	b := behaviour{cpu: number("cpu"), mem: number("mem"), work: time.Duration(number("work_ms")) * time.Millisecond}
	if spread := number("spread_ms"); spread > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		b.work += time.Duration(int64(h.Sum32())%spread) * time.Millisecond
	}
	_, rest, _ := strings.Cut(task, ".")
	b.fails = v["fails"] == "all" || (v["fails_once"] == rest && attempt == 1)
	if b.fails && number("fail_ms") > 0 {
		b.work = time.Duration(number("fail_ms")) * time.Millisecond
	}
	return b
}
