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

// This file is a discrete-event simulation of queueing in virtual time. It uses the real
// decision code: admission, queue, budget, routing.Pool and the division of slots. Service
// times have a log-normal distribution. Each run gives the same results.

const (
	simRunners         = 48
	simSlots           = 8
	simMeanServiceTime = 50 * time.Millisecond
	simSigma           = 0.5
)

// simConfig is the configuration of one simulation.
type simConfig struct {
	nodes, runners int
	balancer       func() routing.Balancer
	noBackoff      bool // disables backoff, for the baseline balancers
	hedge          bool
	strictTurn     bool    // round robin that waits for the runner whose turn it is, even without a free slot
	sigma          float64 // of the service times; 0 means simSigma
	load           float64 // offered load as a fraction of all slots
	timeout        time.Duration
	length         time.Duration
	// speed returns the factor applied to the service time of a runner at a time.
	speed func(runner int, at time.Duration) float64
	// leaveAt is when the first third of the runners leaves; 0 means never.
	leaveAt time.Duration
	seed    uint64
}

// simNode is a node: its admission state and the requests in its queue.
type simNode struct {
	admission
	waiting []*simRequest
	used    map[model.RunnerID]int
	limits  map[model.RunnerID]int
	// nextTurn and turnQueues implement strict round robin, with a queue for each runner.
	nextTurn   int
	turnQueues map[int][]*simRequest
}

func (n *simNode) Limit(_ model.ServiceName, r model.RunnerID) int { return n.limits[r] }
func (n *simNode) Acquire(_ model.ServiceName, r model.RunnerID) bool {
	if n.used[r] >= n.limits[r] {
		return false
	}
	n.used[r]++
	return true
}
func (n *simNode) Release(_ model.ServiceName, r model.RunnerID) { n.used[r]-- }

// simRequest is one request and its attempts.
type simRequest struct {
	node     *simNode
	arrived  time.Duration
	w        *waiter
	attempts []simAttempt
	done     bool
}

// simAttempt is one attempt.
type simAttempt struct {
	runner  *routing.Runner
	started time.Duration
	ended   bool
}

// simEvent is an action at a virtual time.
type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *simEvents) Push(x any) {
	if e, ok := x.(simEvent); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event.
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is one run.
type simulation struct {
	simConfig
	now       time.Duration
	events    simEvents
	rand      *rand.Rand
	nodes     []*simNode
	inFlight  map[model.RunnerID]int
	latency   *hdrhistogram.Histogram
	completed int
	offered   int
	refused   int
	timedOut  int // ended by the deadline; the latency is recorded as the timeout
	hedges    int
}

// newSimulation prepares a run. The first tenth is warm-up and does not count.
func newSimulation(cfg simConfig) *simulation {
	if cfg.runners == 0 {
		cfg.runners = simRunners
	}
	m := &simulation{
		simConfig: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 3)),
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

// newNode returns a node with its share of each runner's slots.
func (m *simulation) newNode(i int, id model.NodeID, members []model.NodeID) *simNode {
	n := &simNode{used: map[model.RunnerID]int{}, limits: map[model.RunnerID]int{}, turnQueues: map[int][]*simRequest{}}
	outlier := routing.OutlierConfig{}
	if m.noBackoff {
		outlier = routing.OutlierConfig{Failures: math.MaxInt, SlowFactor: math.Inf(1)}
	}
	n.admission = admission{
		service: "desk", router: routing.NewPool(m.balancer(), outlier, m.seed+uint64(i)),
		queue: newQueue(), budget: routing.NewBudget(defaultRetryPercent), shares: n,
		queueLimit: defaultQueueLimit, callerSharePercent: 50,
	}
	n.router.Update(m.targets(false))
	for r := range m.runners {
		for s, owner := range share.Order(runnerName(r), members) {
			for k := s; k < simSlots; k += len(members) {
				if owner == id {
					n.limits[runnerName(r)]++
				}
			}
		}
	}
	n.router.SetLimits(func(r model.RunnerID) int { return n.limits[r] })
	return n
}

func runnerName(i int) model.RunnerID { return model.RunnerID(fmt.Sprintf("r%02d", i)) }

// targets returns the runners; when left is true, the first third is leaving.
func (m *simulation) targets(left bool) []routing.Target {
	var list []routing.Target
	for i := range m.runners {
		list = append(list, routing.Target{ID: runnerName(i), Addr: fmt.Sprint(i), Leaving: left && i < m.runners/3})
	}
	return list
}

func (m *simulation) clock() time.Time { return time.Unix(0, int64(m.now)) }

func (m *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&m.events, simEvent{m.now + d, do})
}

// run processes all events and returns the simulation.
func (m *simulation) run() *simulation {
	m.schedule(0, m.arrive)
	m.schedule(time.Second, m.gossip)
	if m.leaveAt > 0 {
		m.schedule(m.leaveAt, func() {
			for _, n := range m.nodes {
				n.router.Update(m.targets(true))
				n.dispatchQueue(m.clock())
				m.startGranted(n)
			}
		})
	}
	for len(m.events) > 0 {
		e, ok := heap.Pop(&m.events).(simEvent)
		if !ok {
			break
		}
		m.now = e.at
		e.do()
	}
	return m
}

// gossip sends each node's slow runners to the others, with a delay of half a second.
func (m *simulation) gossip() {
	if m.now > m.length {
		return
	}
	for i, n := range m.nodes {
		var slow []routing.PeerReport
		for _, r := range n.router.Runners() {
			if mean, _ := r.Latency(); r.BackedOff() && len(slow) < maxSlowReports {
				slow = append(slow, routing.PeerReport{Runner: r.ID, InFlight: r.InFlight(), Mean: mean, BackedOff: true})
			}
		}
		for j, o := range m.nodes {
			if i != j && len(slow) > 0 {
				o.router.Report(model.NodeID(fmt.Sprintf("n%d", i)), m.clock(), time.Second/2, slow)
			}
		}
	}
	m.schedule(time.Second, m.gossip)
}

// arrive sends one request to a random node and schedules the next arrival.
func (m *simulation) arrive() {
	if m.now > m.length {
		return
	}
	rate := m.load * float64(m.runners*simSlots) / simMeanServiceTime.Seconds()
	m.schedule(time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	q := &simRequest{node: n, arrived: m.now}
	q.w = &waiter{index: -1, deadline: m.clock().Add(m.timeout), caller: fmt.Sprint(m.rand.IntN(20)), probe: true, result: make(chan admissionResult, 1)}
	if m.pastWarmUp(q) {
		m.offered++
	}
	if m.strictTurn {
		n.nextTurn = (n.nextTurn + 1) % m.runners
		n.turnQueues[n.nextTurn] = append(n.turnQueues[n.nextTurn], q)
		m.serveTurnQueue(n, n.nextTurn)
		m.schedule(m.timeout, func() { m.expire(q) })
		return
	}
	n.admission.admitOrQueue(m.clock(), q.w)
	n.waiting = append(n.waiting, q)
	m.startGranted(n)
	m.schedule(m.timeout, func() { m.expire(q) })
}

// serveTurnQueue starts the requests that wait for runner i in strict round robin.
func (m *simulation) serveTurnQueue(n *simNode, i int) {
	r := n.router.Runner(runnerName(i))
	for len(n.turnQueues[i]) > 0 && n.used[r.ID] < n.limits[r.ID] {
		q := n.turnQueues[i][0]
		n.turnQueues[i] = n.turnQueues[i][1:]
		if !q.done {
			n.Acquire("", r.ID)
			n.router.Start(r)
			m.start(q, r)
		}
	}
}

// pastWarmUp reports whether q arrived after the warm-up.
func (m *simulation) pastWarmUp(q *simRequest) bool { return q.arrived > m.length/10 }

// startGranted starts the requests that were granted a slot.
func (m *simulation) startGranted(n *simNode) {
	n.waiting = slices.DeleteFunc(n.waiting, func(q *simRequest) bool {
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

func (m *simulation) refuse(q *simRequest) {
	q.done = true
	if m.pastWarmUp(q) {
		m.refused++
	}
}

// expire ends a request at its deadline.
func (m *simulation) expire(q *simRequest) {
	if q.done {
		return
	}
	if m.pastWarmUp(q) {
		m.timedOut++
		_ = m.latency.RecordValue(int64(m.timeout / time.Microsecond))
	}
	q.done = true
	if q.w.index >= 0 {
		q.node.cancel(q.w)
	}
	m.endOtherAttempts(q, routing.Failure)
}

// start begins an attempt.
func (m *simulation) start(q *simRequest, r *routing.Runner) {
	i := len(q.attempts)
	q.attempts = append(q.attempts, simAttempt{runner: r, started: m.now})
	m.inFlight[r.ID]++
	var runner int
	_, _ = fmt.Sscan(r.Addr, &runner)
	sigma := m.sigma
	if sigma == 0 {
		sigma = simSigma
	}
	mean := float64(simMeanServiceTime) * m.speedOf(runner)
	took := time.Duration(mean * math.Exp(sigma*m.rand.NormFloat64()-sigma*sigma/2))
	m.schedule(took, func() { m.complete(q, i) })
	if i == 0 {
		q.node.budget.Earn()
	}
	if i == 0 && m.hedge {
		m.schedule(q.node.router.HedgeDelay(r, 20*time.Millisecond), func() { m.sendHedge(q) })
	}
}

func (m *simulation) speedOf(runner int) float64 {
	if m.speed == nil {
		return 1
	}
	return m.speed(runner, m.now)
}

// sendHedge starts a second attempt if the budget and a free slot allow it.
func (m *simulation) sendHedge(q *simRequest) {
	if q.done || !q.node.budget.Spend() {
		return
	}
	c := q.node.admission.tryAcquireExtra(m.clock(), q.attempts[0].runner.ID)
	if c.Runner == nil {
		q.node.budget.Refund()
		return
	}
	m.hedges++
	m.start(q, c.Runner)
}

// complete ends an attempt; the first one to complete provides the response.
func (m *simulation) complete(q *simRequest, i int) {
	if q.attempts[i].ended {
		return
	}
	if !q.done {
		q.done = true
		if m.pastWarmUp(q) {
			m.completed++
			_ = m.latency.RecordValue(int64((m.now - q.arrived) / time.Microsecond))
		}
	}
	m.endAttempt(q, i, routing.Success)
	m.endOtherAttempts(q, routing.Neutral)
}

// endOtherAttempts ends the attempts that are still running.
func (m *simulation) endOtherAttempts(q *simRequest, result routing.Result) {
	for i := range q.attempts {
		if !q.attempts[i].ended {
			m.endAttempt(q, i, result)
		}
	}
}

func (m *simulation) endAttempt(q *simRequest, i int, result routing.Result) {
	r := &q.attempts[i]
	r.ended = true
	m.inFlight[r.runner.ID]--
	q.node.finish(m.clock(), r.runner, m.now-r.started, result)
	if m.strictTurn {
		var runner int
		_, _ = fmt.Sscan(r.runner.Addr, &runner)
		m.serveTurnQueue(q.node, runner)
		return
	}
	m.startGranted(q.node)
}

// quantile returns a latency quantile in milliseconds.
func (m *simulation) quantile(q float64) float64 {
	return float64(m.latency.ValueAtQuantile(q)) / 1000
}
