package request

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
	"github.com/vanillapier/vanillapier/internal/share"
)

// This file is a queue model in virtual time around the real decision code:
// admission, queue, budget, routing.Pool and the division of slots. Service times
// are drawn from a log-normal distribution. It gives the same figures in each run.

const (
	modelRunners = 48
	modelSlots   = 8
	modelMean    = 50 * time.Millisecond
	modelSigma   = 0.5
)

// modelConfig is one experiment.
type modelConfig struct {
	nodes, runners int
	balancer       func() routing.Balancer
	plain          bool // without back-off, as the textbook baselines
	hedge          bool
	inTurn         bool    // round robin that waits for the runner whose turn it is
	sigma          float64 // of the service times; 0 takes modelSigma
	load           float64 // offered load as a part of all slots
	timeout        time.Duration
	length         time.Duration
	// speed returns the factor on the service time of a runner at a time.
	speed func(runner int, at time.Duration) float64
	// leaveAt is when the first third of the runners leaves; 0 means never.
	leaveAt time.Duration
	seed    uint64
}

// modelNode is a node: its admission state and the waiters in its queue.
type modelNode struct {
	admission
	waiting []*modelRequest
	used    map[model.RunnerID]int
	limits  map[model.RunnerID]int
	// turn and lines serve round robin in turn.
	turn  int
	lines map[int][]*modelRequest
}

func (n *modelNode) Limit(_ model.ServiceName, r model.RunnerID) int { return n.limits[r] }
func (n *modelNode) Acquire(_ model.ServiceName, r model.RunnerID) bool {
	if n.used[r] >= n.limits[r] {
		return false
	}
	n.used[r]++
	return true
}
func (n *modelNode) Release(_ model.ServiceName, r model.RunnerID) { n.used[r]-- }

// modelRequest is one request and its exchanges.
type modelRequest struct {
	node    *modelNode
	arrived time.Duration
	w       *waiter
	runs    []modelRun
	done    bool
}

// modelRun is one exchange.
type modelRun struct {
	runner  *routing.Runner
	started time.Duration
	ended   bool
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at time.Duration
	do func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int           { return len(h) }
func (h modelEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h modelEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *modelEvents) Push(x any) {
	if e, ok := x.(modelEvent); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event.
func (h *modelEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// queueModel is one run.
type queueModel struct {
	modelConfig
	now      time.Duration
	events   modelEvents
	rand     *rand.Rand
	nodes    []*modelNode
	inFlight map[model.RunnerID]int
	latency  *hdrhistogram.Histogram
	good     int
	offered  int
	refused  int
	late     int // ended by the deadline; their latency counts as the timeout
	extra    int
}

// newQueueModel prepares a run; results count after the first tenth.
func newQueueModel(cfg modelConfig) *queueModel {
	if cfg.runners == 0 {
		cfg.runners = modelRunners
	}
	m := &queueModel{
		modelConfig: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 3)),
		inFlight: map[model.RunnerID]int{}, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	var members []model.NodeID
	for i := range cfg.nodes {
		members = append(members, model.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i, id := range members {
		m.nodes = append(m.nodes, m.newNode(i, id, members))
	}
	return m
}

// newNode builds a node with its share of each runner.
func (m *queueModel) newNode(i int, id model.NodeID, members []model.NodeID) *modelNode {
	n := &modelNode{used: map[model.RunnerID]int{}, limits: map[model.RunnerID]int{}, lines: map[int][]*modelRequest{}}
	outlier := routing.OutlierConfig{}
	if m.plain {
		outlier = routing.OutlierConfig{Failures: math.MaxInt, SlowFactor: math.Inf(1)}
	}
	n.admission = admission{
		service: "desk", route: routing.NewPool(m.balancer(), outlier, m.seed+uint64(i)),
		queue: newQueue(), budget: routing.NewBudget(defaultRetryPercent), shares: n,
		queueLimit: defaultQueueLimit, callerShare: 50,
	}
	n.route.Update(m.targets(false))
	for r := range m.runners {
		for s, owner := range share.Order(runnerName(r), members) {
			for k := s; k < modelSlots; k += len(members) {
				if owner == id {
					n.limits[runnerName(r)]++
				}
			}
		}
	}
	n.route.SetLimits(func(r model.RunnerID) int { return n.limits[r] })
	return n
}

func runnerName(i int) model.RunnerID { return model.RunnerID(fmt.Sprintf("r%02d", i)) }

// targets lists the runners.
func (m *queueModel) targets(left bool) []routing.Target {
	var list []routing.Target
	for i := range m.runners {
		list = append(list, routing.Target{ID: runnerName(i), Addr: fmt.Sprint(i), Leaving: left && i < m.runners/3})
	}
	return list
}

func (m *queueModel) clock() time.Time { return time.Unix(0, int64(m.now)) }

func (m *queueModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

// run processes all events and returns the model for its results.
func (m *queueModel) run() *queueModel {
	m.after(0, m.arrive)
	m.after(time.Second, m.gossip)
	if m.leaveAt > 0 {
		m.after(m.leaveAt, func() {
			for _, n := range m.nodes {
				n.route.Update(m.targets(true))
				n.pump(m.clock())
				m.collect(n)
			}
		})
	}
	for len(m.events) > 0 {
		e, ok := heap.Pop(&m.events).(modelEvent)
		if !ok {
			break
		}
		m.now = e.at
		e.do()
	}
	return m
}

// gossip carries slow runners between the nodes, half a second old.
func (m *queueModel) gossip() {
	if m.now > m.length {
		return
	}
	for i, n := range m.nodes {
		var slow []routing.PeerReport
		for _, r := range n.route.Runners() {
			if mean, _ := r.Latency(); r.BackedOff() && len(slow) < maxSlowReports {
				slow = append(slow, routing.PeerReport{Runner: r.ID, InFlight: r.InFlight(), Mean: mean, BackedOff: true})
			}
		}
		for j, o := range m.nodes {
			if i != j && len(slow) > 0 {
				o.route.Report(model.NodeID(fmt.Sprintf("n%d", i)), m.clock(), time.Second/2, slow)
			}
		}
	}
	m.after(time.Second, m.gossip)
}

// arrive offers one request to a random node and schedules the next.
func (m *queueModel) arrive() {
	if m.now > m.length {
		return
	}
	rate := m.load * float64(m.runners*modelSlots) / modelMean.Seconds()
	m.after(time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	q := &modelRequest{node: n, arrived: m.now}
	q.w = &waiter{index: -1, deadline: m.clock().Add(m.timeout), caller: fmt.Sprint(m.rand.IntN(20)), probe: true, result: make(chan grantResult, 1)}
	if m.counts(q) {
		m.offered++
	}
	if m.inTurn {
		n.turn = (n.turn + 1) % m.runners
		n.lines[n.turn] = append(n.lines[n.turn], q)
		m.serveTurn(n, n.turn)
		m.after(m.timeout, func() { m.expire(q) })
		return
	}
	n.admission.arrive(m.clock(), q.w)
	n.waiting = append(n.waiting, q)
	m.collect(n)
	m.after(m.timeout, func() { m.expire(q) })
}

// serveTurn starts the requests that wait for a runner in turn.
func (m *queueModel) serveTurn(n *modelNode, i int) {
	r := n.route.Runner(runnerName(i))
	for len(n.lines[i]) > 0 && n.used[r.ID] < n.limits[r.ID] {
		q := n.lines[i][0]
		n.lines[i] = n.lines[i][1:]
		if !q.done {
			n.Acquire("", r.ID)
			n.route.Start(r)
			m.start(q, r)
		}
	}
}

// counts leaves out the warm-up.
func (m *queueModel) counts(q *modelRequest) bool { return q.arrived > m.length/10 }

// collect starts the requests whose waiters have a result.
func (m *queueModel) collect(n *modelNode) {
	n.waiting = slices.DeleteFunc(n.waiting, func(q *modelRequest) bool {
		select {
		case r := <-q.w.result:
			if r.refusal != nil {
				m.refuse(q)
			} else {
				m.start(q, r.choice.Runner)
			}
			return true
		default:
			return q.done
		}
	})
}

func (m *queueModel) refuse(q *modelRequest) {
	q.done = true
	if m.counts(q) {
		m.refused++
	}
}

// expire ends a request at its deadline.
func (m *queueModel) expire(q *modelRequest) {
	if q.done {
		return
	}
	if m.counts(q) {
		m.late++
		_ = m.latency.RecordValue(int64(m.timeout / time.Microsecond))
	}
	q.done = true
	if q.w.index >= 0 {
		q.node.cancel(q.w)
	}
	m.endOthers(q, routing.Failure)
}

// start begins one exchange.
func (m *queueModel) start(q *modelRequest, r *routing.Runner) {
	i := len(q.runs)
	q.runs = append(q.runs, modelRun{runner: r, started: m.now})
	m.inFlight[r.ID]++
	var runner int
	_, _ = fmt.Sscan(r.Addr, &runner)
	sigma := m.sigma
	if sigma == 0 {
		sigma = modelSigma
	}
	mean := float64(modelMean) * m.speedOf(runner)
	took := time.Duration(mean * math.Exp(sigma*m.rand.NormFloat64()-sigma*sigma/2))
	m.after(took, func() { m.complete(q, i) })
	if i == 0 {
		q.node.budget.Earn()
	}
	if i == 0 && m.hedge {
		m.after(q.node.route.HedgeDelay(r, 20*time.Millisecond), func() { m.hedgeNow(q) })
	}
}

func (m *queueModel) speedOf(runner int) float64 {
	if m.speed == nil {
		return 1
	}
	return m.speed(runner, m.now)
}

// hedgeNow sends a second exchange if budget and slots allow it.
func (m *queueModel) hedgeNow(q *modelRequest) {
	if q.done || !q.node.budget.Spend() {
		return
	}
	c := q.node.admission.extra(m.clock(), q.runs[0].runner.ID)
	if c.Runner == nil {
		q.node.budget.Refund()
		return
	}
	m.extra++
	m.start(q, c.Runner)
}

// complete ends an exchange; the first one answers the request.
func (m *queueModel) complete(q *modelRequest, i int) {
	if q.runs[i].ended {
		return
	}
	if !q.done {
		q.done = true
		if m.counts(q) {
			m.good++
			_ = m.latency.RecordValue(int64((m.now - q.arrived) / time.Microsecond))
		}
	}
	m.end(q, i, routing.Success)
	m.endOthers(q, routing.Neutral)
}

// endOthers cancels the exchanges that are still running.
func (m *queueModel) endOthers(q *modelRequest, result routing.Result) {
	for i := range q.runs {
		if !q.runs[i].ended {
			m.end(q, i, result)
		}
	}
}

func (m *queueModel) end(q *modelRequest, i int, result routing.Result) {
	r := &q.runs[i]
	r.ended = true
	m.inFlight[r.runner.ID]--
	q.node.finish(m.clock(), r.runner, m.now-r.started, result)
	if m.inTurn {
		var runner int
		_, _ = fmt.Sscan(r.runner.Addr, &runner)
		m.serveTurn(q.node, runner)
		return
	}
	m.collect(q.node)
}

// quantile returns a latency quantile in milliseconds.
func (m *queueModel) quantile(q float64) float64 {
	return float64(m.latency.ValueAtQuantile(q)) / 1000
}
