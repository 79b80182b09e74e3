package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Options choose a run.
type Options struct {
	// Binary is the path of vpierd.
	Binary string
	// Seed decides faults, load and times of tasks.
	Seed uint64
	// Nodes and Workers are the sizes of the site.
	Nodes, Workers int
	// Cells fixes the number of cells of the fleet; 0 leaves it to the nodes.
	Cells int
	// Length is the time during which faults begin.
	Length time.Duration
	// Prefix keeps only the first faults of the schedule, to shrink a failing one; 0
	// keeps all.
	Prefix int
	// Logs is the directory for the nodes' logs; a temporary one when empty.
	Logs string
}

// Times at the end of a run, of the contract of the sites.
const (
	// recovery is the time until a site whose hosts are back serves again.
	recovery = 15 * time.Second
	// finish is the time until the rest of the work must be done.
	finish = 14 * time.Second
	// leftovers is the time in which runs of finished jobs must have ended: a lease.
	leftovers = leaseMax
)

// Breach is a broken promise.
type Breach struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64        `json:"seed"`
	Length   time.Duration `json:"length"`
	Faults   []Fault       `json:"faults"`
	Broken   []Breach      `json:"broken"`
	Jobs     int           `json:"jobs"`
	Accepted int           `json:"accepted"`
	Refused  int           `json:"refused"`
	Starts   int           `json:"starts"`
	Took     time.Duration `json:"took"`
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	dir := o.Logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "vpier-soak-"); err != nil {
			return Result{}, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary directory
	}
	faults := Schedule(o.Seed, o.Nodes, o.Workers, o.Length)
	if o.Prefix > 0 && o.Prefix < len(faults) {
		faults = faults[:o.Prefix]
	}
	begun := time.Now()
	s, err := newSite(o, dir)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	c := newCallers(s, o.Seed, begun)
	loadCtx, stop := context.WithCancel(ctx)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		c.run(loadCtx)
	}()
	err = s.play(ctx, begun, faults)
	sleepUntil(ctx, begun.Add(o.Length))
	stop()
	s.heal()
	<-loaded
	if err != nil {
		return Result{}, err
	}
	c.settle(recovery + finish)
	c.checkLeftovers()
	c.checkStops()
	return c.result(o, faults), ctx.Err()
}

// checkLeftovers waits until no run is left on any worker.
func (c *callers) checkLeftovers() {
	deadline := time.Now().Add(leftovers)
	for {
		running := 0
		for _, w := range c.site.workers {
			running += c.site.fleet.RunCount(w.life)
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			c.breach("%d tasks still run %v after all jobs were over", running, leftovers)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkStops tells all nodes to stop and checks that they do within the grace.
func (c *callers) checkStops() {
	deadline := time.After(grace)
	for _, n := range c.site.nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range c.site.nodes {
		select {
		case <-n.ended():
			if code := n.exitCode(); code != 0 {
				c.breach("%s ended with code %d: %s", n.name, code, n.lastWords())
			}
		case <-deadline:
			c.breach("%s has not stopped within %v", n.name, grace)
			return
		}
	}
}

func (c *callers) result(o Options, faults []Fault) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{Seed: o.Seed, Length: o.Length, Faults: faults, Broken: c.broken, Jobs: len(c.jobs),
		Starts: c.site.ledger.StartCount(), Took: time.Since(c.begun)}
	for _, text := range c.site.ledger.Violations() {
		r.Broken = append(r.Broken, Breach{Text: fmt.Sprintf("TWICE: %s", text)})
	}
	for _, j := range c.jobs {
		if !j.Accepted.IsZero() {
			r.Accepted++
		}
		if j.Refused {
			r.Refused++
		}
	}
	return r
}
