package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/platform/platformtest"
)

const (
	// meanJobInterval is the mean time between two jobs for a fleet of fewWorkers or less; it is
	// shorter with more workers, down to minJobInterval.
	meanJobInterval = 120 * time.Millisecond
	minJobInterval  = 40 * time.Millisecond
	fewWorkers      = 6
	// maxSubmitAttempts bounds the attempts to submit a job, each at a random node.
	maxSubmitAttempts = 4
	// callTimeout bounds one attempt; the route's limit is 3 s.
	callTimeout = 3500 * time.Millisecond
	// visibilityDelay is the contract's time until every node knows an accepted job.
	visibilityDelay = 3 * time.Second
	// jobsPerCancel is the mean number of accepted jobs for each one that is cancelled: half of
	// them at once, the others within maxCancelDelay, while their tasks run.
	jobsPerCancel  = 4
	maxCancelDelay = 2 * time.Second
	// maxCancelAttempts bounds the attempts to cancel a job.
	maxCancelAttempts = 8
	// stopTime is the contract's bound on the time that a stop takes (stop_ms).
	stopTime = 400 * time.Millisecond

	taskCPU, taskMemory     = 1000, 100
	workerCPU, workerMemory = 8000, 4000
)

// jobRecord is what the callers know about a job.
type jobRecord struct {
	ID    string
	Tasks int
	// Lasting means that the tasks run until the job is cancelled at the end of the run.
	Lasting bool
	// AcceptedAt is the time at which a node accepted the job; zero before.
	AcceptedAt time.Time
	// Refused means that every attempt was answered with 503 or 429.
	Refused bool
	// CancelledAt is the time at which a cancellation was acknowledged; zero before.
	CancelledAt time.Time
	FinalState  fleet.State
}

// callers submits jobs, cancels some, queries job states and records violations.
type callers struct {
	cluster   *cluster
	client    *http.Client
	startTime time.Time
	// interval is the mean time between two jobs, maxTasks the largest number of tasks of a step, text
	// that of a job.
	interval time.Duration
	maxTasks int
	text     string

	history    *fleettest.History
	mu         sync.Mutex
	random     *rand.Rand
	jobs       []*jobRecord
	violations []Violation
	calmSince  time.Duration // since the start of the run
	calls      sync.WaitGroup
}

func newCallers(c *cluster, o Options, startTime time.Time) *callers {
	dialer := &net.Dialer{Timeout: time.Second}
	interval, maxTasks := max(minJobInterval, min(meanJobInterval, meanJobInterval*fewWorkers/time.Duration(o.Workers))), 4
	if o.Aim {
		interval, maxTasks = aimedJobInterval/time.Duration(o.Workers), aimedMaxTasks
	}
	text := "s"
	if o.Small > 0 {
		text = strings.Repeat(text, longText)
	}
	return &callers{cluster: c, startTime: startTime, interval: interval, maxTasks: maxTasks, text: text,
		history: fleettest.NewHistory(startTime), random: rand.New(rand.NewPCG(o.Seed, 12)),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}}}
}

// addViolation records a violation of a guarantee.
func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{At: time.Since(c.startTime), Text: fmt.Sprintf(format, args...)})
}

// run submits jobs and queries their states until ctx ends, then waits for its calls.
func (c *callers) run(ctx context.Context) {
	c.startLasting(ctx)
	for i := 0; ctx.Err() == nil; i++ {
		j, body := c.newJob(i)
		c.calls.Go(func() { c.submit(j, body) })
		c.calls.Go(c.checkRandomJob)
		c.mu.Lock()
		pause := time.Duration((0.2 + 1.6*c.random.Float64()) * float64(c.interval))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	c.calls.Wait()
}

// newJob draws a job of one or two steps.
func (c *callers) newJob(i int) (*jobRecord, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := &jobRecord{ID: fmt.Sprintf("%016x", i+1)}
	var steps []platformtest.JobStep
	for k := range 1 + c.random.IntN(2) {
		st := platformtest.JobStep{Count: 1 + c.random.IntN(c.maxTasks), MilliCPU: taskCPU, MemoryMB: taskMemory, Estimate: 500 * time.Millisecond, SavesProgress: true}
		if k > 0 {
			st.After = []int{0}
		}
		j.Tasks += st.Count
		steps = append(steps, st)
	}
	c.jobs = append(c.jobs, j)
	body, err := platformtest.JobBody(c.text, steps)
	if err != nil {
		panic(err) // these values can always be encoded
	}
	return j, body
}

// startLasting submits the lasting jobs, each until it is accepted or ctx ends.
func (c *callers) startLasting(ctx context.Context) {
	body, err := platformtest.JobBody("s", []platformtest.JobStep{{Count: tasksPerLastingJob, MilliCPU: taskCPU, MemoryMB: taskMemory, Lasting: true}})
	if err != nil {
		panic(err) // these values can always be encoded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range (len(c.cluster.workers) + workersPerLastingJob - 1) / workersPerLastingJob {
		j := &jobRecord{ID: fmt.Sprintf("%s%015x", lastingPrefix, i+1), Tasks: tasksPerLastingJob, Lasting: true}
		c.jobs = append(c.jobs, j)
		c.calls.Go(func() { c.submitLasting(ctx, j, body) })
	}
}

func (c *callers) submitLasting(ctx context.Context, j *jobRecord, body []byte) {
	for ctx.Err() == nil {
		if status, _ := c.call(c.randomNode(), http.MethodPost, j.ID, body); status == http.StatusOK {
			c.mu.Lock()
			j.AcceptedAt = time.Now()
			c.mu.Unlock()
			return
		}
		sleepUntil(ctx, time.Now().Add(pollInterval))
	}
}

// jobsThatLast returns the lasting jobs, or all others.
func (c *callers) jobsThatLast(lasting bool) []*jobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobs []*jobRecord
	for _, j := range c.jobs {
		if j.Lasting == lasting {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// randomNode draws a node.
func (c *callers) randomNode() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.nodes[c.random.IntN(len(c.cluster.nodes))]
}

// callKinds are the kinds of calls by HTTP method.
var callKinds = map[string]fleettest.CallKind{http.MethodPost: fleettest.CallSubmit, http.MethodGet: fleettest.CallState, http.MethodDelete: fleettest.CallCancel}

// call sends one request to a node and records it; status 0 means no response.
func (c *callers) call(n *node, method, id string, body []byte) (status int, state fleet.State) {
	sent := time.Now()
	status, answer := route.Call(c.client, n.callerAddr, method, id, body, callTimeout)
	r := fleettest.Call{Kind: callKinds[method], Job: id, Node: n.name, Result: callResult(method, status)}
	if r.Kind == fleettest.CallState && r.Result == fleettest.CallAccepted {
		var shown struct {
			State fleet.State `json:"state"`
		}
		if err := json.Unmarshal(answer, &shown); err != nil || shown.State == "" {
			c.addViolation("answer of %s cannot be read: %s", n.name, answer)
		}
		r.State = shown.State
	}
	c.history.Record(r, sent)
	return status, r.State
}

// callResult returns what the status of an answer says about its call. A cancellation without an
// acknowledgement may still take effect.
func callResult(method string, status int) fleettest.CallResult {
	switch {
	case status == http.StatusOK:
		return fleettest.CallAccepted
	case status == http.StatusGone:
		return fleettest.CallGone
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable && method != http.MethodDelete:
		return fleettest.CallRefused
	}
	return fleettest.CallUnknown
}

// submit submits a job until it is accepted or the attempts are used up.
func (c *callers) submit(j *jobRecord, body []byte) {
	refusals := 0
	for range maxSubmitAttempts {
		switch status, _ := c.call(c.randomNode(), http.MethodPost, j.ID, body); status {
		case http.StatusOK:
			c.handleAccepted(j)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.Refused = refusals == maxSubmitAttempts
}

// handleAccepted records that a job was accepted, and cancels some of the jobs.
func (c *callers) handleAccepted(j *jobRecord) {
	c.mu.Lock()
	j.AcceptedAt = time.Now()
	cancel := c.random.IntN(jobsPerCancel) == 0
	delay := time.Duration(max(0, c.random.Int64N(int64(2*maxCancelDelay))-int64(maxCancelDelay)))
	c.mu.Unlock()
	if cancel {
		time.Sleep(delay)
		c.cancel(j)
	}
}

// cancel cancels a job: it asks until a node has acknowledged that, or the attempts are used up.
func (c *callers) cancel(j *jobRecord) {
	for range maxCancelAttempts {
		if status, _ := c.call(c.randomNode(), http.MethodDelete, j.ID, nil); status == http.StatusOK {
			c.cluster.ledger.Cancelled(j.ID)
			c.mu.Lock()
			j.CancelledAt = time.Now()
			c.mu.Unlock()
			return
		}
		time.Sleep(pollInterval)
	}
}

// checkCancelled cancels some of the jobs that are not over, now that all is calm, and checks that
// no task of any cancelled job runs longer than the contract allows.
func (c *callers) checkCancelled(ctx context.Context) {
	calmSince := time.Now()
	c.mu.Lock()
	c.calmSince = calmSince.Sub(c.startTime)
	c.mu.Unlock()
	for i, j := range c.jobsThatLast(false) {
		c.mu.Lock()
		cancelled, cancel := !j.CancelledAt.IsZero(), !j.AcceptedAt.IsZero() && j.FinalState == "" && i%2 == 0
		c.mu.Unlock()
		if !cancelled && !cancel {
			continue
		}
		c.calls.Go(func() {
			if !cancelled {
				c.cancel(j)
			}
			c.checkGone(ctx, j, calmSince)
		})
	}
	c.calls.Wait()
}

// endLasting cancels all lasting jobs and checks that none of their tasks runs longer than the
// contract allows.
func (c *callers) endLasting(ctx context.Context) {
	now := time.Now()
	for _, j := range c.jobsThatLast(true) {
		c.calls.Go(func() {
			c.cancel(j)
			c.checkGone(ctx, j, now)
		})
	}
	c.calls.Wait()
}

// checkGone checks that no task of a cancelled job runs once the contract's time has passed.
func (c *callers) checkGone(ctx context.Context, j *jobRecord, calmSince time.Time) {
	c.mu.Lock()
	since := j.CancelledAt
	c.mu.Unlock()
	if since.IsZero() {
		return
	}
	if since.Before(calmSince) {
		since = calmSince
	}
	if !sleepUntil(ctx, since.Add(fleettest.MaxStartAfterCancel+stopTime)) {
		return
	}
	if runs := c.cluster.ledger.Running(j.ID); len(runs) > 0 {
		c.addViolation("%s: %v after the faults and the cancellation of its job this runs: %s", fleettest.Unasked, fleettest.MaxStartAfterCancel+stopTime, strings.Join(runs, ", "))
	}
}

// checkRandomJob queries a random node for the state of a random job, if it was accepted
// longer than visibilityDelay ago.
func (c *callers) checkRandomJob() {
	c.mu.Lock()
	if len(c.jobs) == 0 {
		c.mu.Unlock()
		return
	}
	j := c.jobs[c.random.IntN(len(c.jobs))]
	accepted := j.AcceptedAt
	c.mu.Unlock()
	if !accepted.IsZero() && time.Since(accepted) > visibilityDelay {
		c.queryState(c.randomNode(), j)
	}
}

// queryState queries a node for the state of an accepted job, checks the state and returns
// it. The result is empty when the node gives no state.
func (c *callers) queryState(n *node, j *jobRecord) fleet.State {
	status, state := c.call(n, http.MethodGet, j.ID, nil)
	done := c.cluster.ledger.DoneTasks(j.ID)
	switch {
	case status == http.StatusGone:
		c.addViolation("LOST: %s says that accepted job %s is gone", n.name, j.ID)
	case state == fleet.StateCompleted && done < j.Tasks:
		c.addViolation("MIXED: %s shows job %s as completed with %d of %d tasks done", n.name, j.ID, done, j.Tasks)
	case state == fleet.StateFailed:
		c.addViolation("LOST: %s shows job %s as failed without a cause", n.name, j.ID)
	}
	if state.Final() {
		c.mu.Lock()
		j.FinalState = state
		c.mu.Unlock()
	}
	return state
}

// awaitCompletion waits until a node has shown a final state for every accepted one of the jobs. It
// also checks that no refused job has started.
func (c *callers) awaitCompletion(jobs []*jobRecord, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, j := range jobs {
		for !j.AcceptedAt.IsZero() && j.FinalState == "" {
			state := c.queryState(c.randomNode(), j)
			if j.FinalState != "" {
				break
			}
			if time.Now().After(deadline) {
				c.addViolation("LOST: accepted job %s is %q %v after the faults", j.ID, state, limit)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if j.Refused && c.cluster.ledger.Started(j.ID) {
			c.addViolation("REFUSED: job %s started though every try was refused", j.ID)
		}
	}
}
