package soak

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Options are the settings of a run.
type Options struct {
	// Binary is the path of vpierd.
	Binary string
	// Seed determines the faults, the load and the draws of the simulated store and workers.
	Seed uint64
	// Nodes and Workers are the numbers of nodes and of workers.
	Nodes, Workers int
	// Cells sets the number of cells of the fleet; 0 leaves it to the nodes.
	Cells int
	// Aim plays faults that are aimed at the leader of the moment, in place of all others.
	Aim bool
	// Small is the number of nodes on small hosts in a run with Aim: they have a small share of a
	// processor and a narrow link, and the faults are those of SmallSchedule. With 0 all links are wide
	// and processors are not limited.
	Small int
	// SilentRestarts plays silent restarts of workers that are cut off soon after, beside long tasks and the
	// faults of besideSilence. Workers grant long leases.
	SilentRestarts bool
	// Length is the period in which faults start.
	Length time.Duration
	// Prefix limits the schedule to its first faults, to minimise a failing schedule; 0
	// keeps all.
	Prefix int
	// Logs is the directory for the logs; if empty, a temporary directory that stays only if a
	// guarantee was violated. Each run has a directory of its own in it with its schedule, its
	// result and the calls of its callers; see newDirectory.
	Logs string
}

// Time limits at the end of a run, from the contract.
const (
	// recoveryLimit is the time until a deployment serves again after its hosts are back.
	recoveryLimit = 15 * time.Second
	// completionLimit is the time after recovery until all remaining jobs must be finished.
	completionLimit = 14 * time.Second
	// lastingReserve is how much longer lasting tasks are watched after the last impairment than the
	// rule needs: leases may end after it.
	lastingReserve = 2 * time.Second
)

// Violation is an observed violation of a guarantee.
type Violation struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	Faults     []Fault       `json:"faults"`
	Violations []Violation   `json:"broken"`
	Jobs       int           `json:"jobs"`
	Accepted   int           `json:"accepted"`
	Refused    int           `json:"refused"`
	Starts     int           `json:"starts"`
	Took       time.Duration `json:"took"`
	Lasting    Lasting       `json:"lasting"`
	// Terms counts the terms of leaders that ended, by reason.
	Terms map[string]int `json:"terms,omitempty"`
	// Lead is nil in a run without small hosts.
	Lead *Lead `json:"lead,omitempty"`
	// Late tells how long this process stood still at most.
	Late Lateness `json:"late"`
	// Logs is the run's directory; empty if it was removed.
	Logs string `json:"logs,omitempty"`
}

// Run runs the schedule and the load of one seed and checks the guarantees.
func Run(ctx context.Context, o Options) (r Result, err error) {
	logs := o.Logs
	if logs == "" {
		if logs, err = os.MkdirTemp("", "vpier-soak-"); err != nil {
			return Result{}, err
		}
		defer func() {
			if err == nil && len(r.Violations) == 0 {
				r.Logs = ""
				_ = os.RemoveAll(logs)
			}
		}()
	}
	dir, err := newDirectory(logs, o.Seed)
	if err != nil {
		return Result{}, err
	}
	faults := Schedule(o.Seed, o.Nodes, o.Workers, o.Length)
	if o.Aim {
		faults = AimedSchedule(o.Seed, o.Workers, o.Length)
	}
	if o.Small > 0 {
		faults = SmallSchedule(o.Seed, largeHosts(o), o.Workers, o.Length)
	}
	if o.SilentRestarts {
		faults = SilentSchedule(faults, o.Seed, o.Workers, o.Length)
	}
	if o.Prefix > 0 && o.Prefix < len(faults) {
		faults = faults[:o.Prefix]
	}
	if err := keep(dir, resultFile, []Result{{Seed: o.Seed, Length: o.Length, Faults: faults}}); err != nil {
		return Result{}, err
	}
	startTime := time.Now()
	c, err := newCluster(o, dir)
	defer func() { err = errors.Join(err, c.close()) }()
	if err != nil {
		return Result{}, err
	}
	c.conditions.impaired(startTime)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go c.watchRoom(watchCtx)
	var timers timerWatch
	timersCtx, stopTimers := context.WithCancel(ctx)
	defer stopTimers()
	go timers.run(timersCtx, startTime)
	if o.Small > 0 {
		leadCtx, stopLead := context.WithCancel(ctx)
		defer stopLead()
		go c.watchLead(leadCtx)
	}
	load := newCallers(c, o, startTime)
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		load.run(loadCtx)
	}()
	c.ledger.DisturbLinks()
	err = c.injectFaults(ctx, startTime, faults)
	sleepUntil(ctx, startTime.Add(o.Length))
	stopLoad()
	c.heal(ctx)
	c.ledger.Calm()
	<-loadDone
	if err != nil {
		return Result{}, err
	}
	load.checkCancelled(ctx)
	load.awaitCompletion(load.jobsThatLast(false), recoveryLimit+completionLimit)
	sleepUntil(ctx, c.conditions.lastImpairment().Add(calmBefore+judgedTime+lastingReserve))
	stopWatch()
	lasting := load.checkLasting()
	load.endLasting(ctx)
	load.awaitCompletion(load.jobsThatLast(true), completionLimit)
	load.checkNoTasksRunning(o.leaseMax())
	var lead *Lead
	if o.Small > 0 {
		if lead, err = load.checkLead(ctx); err != nil {
			return Result{}, err
		}
	}
	load.checkShutdown()
	r = load.result(o, faults)
	r.Logs, r.Lasting, r.Lead, r.Late = dir, lasting, lead, timers.lateness()
	if r.Terms, err = c.termEnds(); err != nil {
		return Result{}, err
	}
	return r, errors.Join(keep(dir, resultFile, []Result{r}), keep(dir, "calls.json", load.history.Calls()), ctx.Err())
}

// resultFile is the file of a run's directory that holds its schedule and, after it, its result.
const resultFile = "result.json"

// newDirectory makes the directory of a run, seed-N, or seed-N-2 and so on after the directories of
// earlier runs of the seed, which stay.
func newDirectory(logs string, seed uint64) (string, error) {
	if err := os.MkdirAll(logs, 0o750); err != nil {
		return "", err
	}
	dir := filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	next := dir
	for i := 2; ; i++ {
		if err := os.Mkdir(next, 0o750); !errors.Is(err, fs.ErrExist) {
			return next, err
		}
		next = fmt.Sprintf("%s-%d", dir, i)
	}
}

// keep writes a value to a file of a run's directory.
func keep(dir, name string, value any) error {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	return errors.Join(writeJSON(f, value), f.Close())
}

// checkNoTasksRunning checks that no worker runs a task of a finished job for longer than a lease.
func (c *callers) checkNoTasksRunning(lease time.Duration) {
	deadline := time.Now().Add(lease)
	for {
		running := 0
		for _, w := range c.cluster.workers {
			running += c.cluster.simWorkers.RunCount(w.instance)
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			c.addViolation("%d tasks still run %v after all jobs were over", running, lease)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkShutdown stops all nodes and checks that they exit with code 0 within the grace
// period.
func (c *callers) checkShutdown() {
	deadline := time.After(grace)
	for _, n := range c.cluster.nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range c.cluster.nodes {
		select {
		case <-n.exited():
			if code := n.exitCode(); code != 0 {
				c.addViolation("%s ended with code %d: %s", n.name, code, n.lastErrorLine())
			}
		case <-deadline:
			c.addViolation("%s has not stopped within %v; %s", n.name, grace, n.processState())
			n.dumpGoroutines()
			return
		}
	}
}

func (c *callers) result(o Options, faults []Fault) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{Seed: o.Seed, Length: o.Length, Faults: faults, Violations: c.violations, Jobs: len(c.jobs),
		Starts: c.cluster.ledger.StartCount(), Took: time.Since(c.startTime)}
	for _, v := range fleettest.CheckHistory(c.history.Calls(), fleettest.HistoryBounds{Visibility: visibilityDelay, CalmSince: c.calmSince}) {
		r.Violations = append(r.Violations, Violation{v.At, v.Text})
	}
	for _, text := range c.cluster.ledger.Violations() {
		if !strings.Contains(text, fleettest.Unasked) {
			text = "TWICE: " + text
		}
		r.Violations = append(r.Violations, Violation{Text: text})
	}
	for _, j := range c.jobs {
		if !j.AcceptedAt.IsZero() {
			r.Accepted++
		}
		if j.Refused {
			r.Refused++
		}
	}
	return r
}
