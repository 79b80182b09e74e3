package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/platform/platformtest"
)

const (
	// jobEvery is the mean time between two jobs.
	jobEvery = 120 * time.Millisecond
	// submitTries bounds the tries of a caller, each at another node.
	submitTries = 4
	// callTimeout bounds a try; the route's limit is 3 s.
	callTimeout = 3500 * time.Millisecond
	// visibleAfter is the contract's time until an accepted job is known everywhere.
	visibleAfter = 3 * time.Second
	// cancelOneIn is how many jobs there are for one that is cancelled.
	cancelOneIn = 15

	taskCPU, taskMemory     = 1000, 100
	workerCPU, workerMemory = 8000, 4000
)

// jobState is what callers know of a job.
type jobState struct {
	ID    string
	Tasks int
	// Accepted is when a node said that it had the job; zero before.
	Accepted time.Time
	// Refused means that every try was answered with a refusal.
	Refused   bool
	Cancelled bool
	Final     string
}

// callers submit jobs, cancel some and ask for states.
type callers struct {
	site   *site
	client *http.Client
	begun  time.Time

	mu     sync.Mutex
	random *rand.Rand
	jobs   []*jobState
	broken []Breach
	wait   sync.WaitGroup
}

func newCallers(s *site, seed uint64, begun time.Time) *callers {
	dialer := &net.Dialer{Timeout: time.Second}
	return &callers{site: s, begun: begun, random: rand.New(rand.NewPCG(seed, 12)),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}}}
}

// breach notes a broken promise.
func (c *callers) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, Breach{At: time.Since(c.begun), Text: fmt.Sprintf(format, args...)})
}

// run submits jobs and asks for their states until ctx ends, then waits for its calls.
func (c *callers) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		j, body := c.newJob(i)
		c.wait.Go(func() { c.submit(j, body) })
		c.wait.Go(c.askSome)
		c.mu.Lock()
		pause := time.Duration((0.2 + 1.6*c.random.Float64()) * float64(jobEvery))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	c.wait.Wait()
}

// newJob draws a job of one or two steps.
func (c *callers) newJob(i int) (*jobState, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := &jobState{ID: fmt.Sprintf("%016x", i+1)}
	var steps []platformtest.JobStep
	for k := range 1 + c.random.IntN(2) {
		st := platformtest.JobStep{Count: 1 + c.random.IntN(4), MilliCPU: taskCPU, MemoryMB: taskMemory, Estimate: 500 * time.Millisecond, SavesProgress: true}
		if k > 0 {
			st.After = []int{0}
		}
		j.Tasks += st.Count
		steps = append(steps, st)
	}
	c.jobs = append(c.jobs, j)
	body, err := platformtest.JobBody(steps)
	if err != nil {
		panic(err) // plain values
	}
	return j, body
}

// pick returns a node.
func (c *callers) pick() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.site.nodes[c.random.IntN(len(c.site.nodes))]
}

// call sends one request to a node; status 0 means no answer.
func (c *callers) call(n *node, method, id string, body []byte) (int, []byte) {
	return route.Call(c.client, n.callers, method, id, body, callTimeout)
}

// submit hands a job in until it is accepted or the tries are used up.
func (c *callers) submit(j *jobState, body []byte) {
	refusals := 0
	for range submitTries {
		switch status, _ := c.call(c.pick(), http.MethodPost, j.ID, body); status {
		case http.StatusOK:
			c.accepted(j)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.Refused = refusals == submitTries
}

func (c *callers) accepted(j *jobState) {
	c.mu.Lock()
	j.Accepted = time.Now()
	cancel := c.random.IntN(cancelOneIn) == 0
	c.mu.Unlock()
	if !cancel {
		return
	}
	if status, _ := c.call(c.pick(), http.MethodDelete, j.ID, nil); status == http.StatusOK || status == 0 || status >= 500 {
		c.mu.Lock()
		defer c.mu.Unlock()
		j.Cancelled = true // perhaps, when there was no answer
	}
}

// askSome asks a node for the state of one accepted job.
func (c *callers) askSome() {
	c.mu.Lock()
	if len(c.jobs) == 0 {
		c.mu.Unlock()
		return
	}
	j := c.jobs[c.random.IntN(len(c.jobs))]
	accepted := j.Accepted
	c.mu.Unlock()
	if !accepted.IsZero() && time.Since(accepted) > visibleAfter {
		c.ask(c.pick(), j)
	}
}

// ask checks the state of an accepted job that a node gives, and returns it.
func (c *callers) ask(n *node, j *jobState) string {
	status, body := c.call(n, http.MethodGet, j.ID, nil)
	switch {
	case status == http.StatusGone:
		c.breach("LOST: %s says that accepted job %s is gone", n.name, j.ID)
		return ""
	case status != http.StatusOK:
		return ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		c.breach("answer of %s cannot be read: %s", n.name, body)
		return ""
	}
	c.check(n, j, answer.State)
	return answer.State
}

// check compares a state with what is known of the job.
func (c *callers) check(n *node, j *jobState, state string) {
	done := c.site.ledger.DoneTasks(j.ID)
	c.mu.Lock()
	cancelled, final := j.Cancelled, j.Final
	switch state {
	case "completed", "failed", "cancelled":
		j.Final = state
	}
	c.mu.Unlock()
	switch {
	case state == "completed" && done < j.Tasks:
		c.breach("MIXED: %s shows job %s as completed with %d of %d tasks done", n.name, j.ID, done, j.Tasks)
	case state == "failed", state == "cancelled" && !cancelled:
		c.breach("LOST: %s shows job %s as %s without a cause", n.name, j.ID, state)
	case final == "completed" && state != "completed":
		c.breach("MIXED: %s shows job %s as %s after it was %s", n.name, j.ID, state, final)
	}
}

// settle waits until every accepted job is final at some node.
func (c *callers) settle(limit time.Duration) {
	deadline := time.Now().Add(limit)
	c.mu.Lock()
	jobs := append([]*jobState(nil), c.jobs...)
	c.mu.Unlock()
	for _, j := range jobs {
		for !j.Accepted.IsZero() && j.Final == "" {
			state := c.ask(c.pick(), j)
			if j.Final != "" {
				break
			}
			if time.Now().After(deadline) {
				c.breach("LOST: accepted job %s is %q %v after the faults", j.ID, state, limit)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if j.Refused && c.site.ledger.Started(j.ID) {
			c.breach("REFUSED: job %s started though every try was refused", j.ID)
		}
	}
}
