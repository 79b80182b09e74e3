package soak

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Shares of the calls that a fault affects.
const (
	lateCommandShare = 0.2
	lostCommitShare  = 0.2
	lateCommitShare  = 0.1
)

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at    time.Duration
	isEnd bool
	*Fault
}

// injectFaults starts and ends the faults at their times. It returns when all have ended, or
// when ctx ends; nodes may still be restarting then.
// It sets the targets of aimed faults.
func (c *cluster) injectFaults(ctx context.Context, startTime time.Time, faults []Fault) error {
	var events []faultEvent
	for i := range faults {
		f := &faults[i]
		events = append(events, faultEvent{f.At, false, f}, faultEvent{f.At + f.Duration, true, f})
	}
	slices.SortStableFunc(events, func(a, b faultEvent) int { return cmp.Compare(a.at, b.at) })
	began := map[*Fault]time.Time{}
	for _, event := range events {
		if !sleepUntil(ctx, startTime.Add(event.at)) {
			return ctx.Err()
		}
		if event.Kind.aimed() && !event.isEnd {
			c.aim(event.Fault)
		}
		at := time.Now()
		if !event.isEnd {
			began[event.Fault] = at
			c.startFault(*event.Fault)
		} else if err := c.endFault(*event.Fault); err != nil {
			return err
		}
		c.conditions.faultEvent(event, began[event.Fault], at)
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// startFault injects a fault.
func (c *cluster) startFault(f Fault) {
	switch f.Kind {
	case KillNode:
		c.nodes[f.Target].signal(syscall.SIGKILL)
	case StopNode:
		c.nodes[f.Target].signal(syscall.SIGTERM)
	case FreezeNode:
		c.nodes[f.Target].freeze(true)
	case SlowNode:
		c.nodes[f.Target].throttleCPU(f.Duration)
	case SlowAll:
		for _, n := range c.nodes {
			n.throttleCPU(f.Duration)
		}
	case KillMost:
		for _, n := range c.mostNodes(f.Target) {
			n.signal(syscall.SIGKILL)
		}
	case PowerLoss:
		for _, n := range c.nodes {
			n.signal(syscall.SIGKILL)
		}
	case CutStore:
		c.nodes[f.Target].storeProxy.setModes(modeHold, modeHold)
	case MuteStore:
		c.nodes[f.Target].storeProxy.setModes(modeForward, modeHold)
	case SlowStore:
		c.nodes[f.Target].storeProxy.setModes(modeDelay, modeDelay)
	case ResetStore:
		c.nodes[f.Target].storeProxy.reset()
	case RefuseStore:
		c.storeAccess.SetFault(fleettest.Busy)
	case LoseCommits:
		c.rows.SetTransactionFaults(lostCommitShare, lateCommitShare)
	case CompactStore:
		c.rows.Compact()
	case CutWorker:
		c.setLinkModes([]int{f.Target}, modeHold, modeHold)
	case MuteWorker:
		c.setLinkModes([]int{f.Target}, modeForward, modeHold)
	case KillWorker:
		c.killInstance(c.workers[f.Target])
	case RestartWorker:
		c.restartInstance(c.workers[f.Target])
	case CutWorkers, CutRestarted:
		c.setLinkModes(f.Workers, modeHold, modeHold)
	case SilenceWorkers:
		for _, w := range f.Workers {
			c.silence(c.workers[w])
		}
	case ListWorkers: // at its end
	case MuteWorkers:
		c.setLinkModes(f.Workers, modeForward, modeHold)
	case ResetWorkers:
		for _, w := range f.Workers {
			c.workers[w].proxy.reset()
		}
	case FailWorker, HangWorker:
		c.setTaskFault(c.workers[f.Target], f.Kind, true)
	case LateOrders:
		c.simWorkers.WithLock(func() { c.simWorkers.LateShare = lateCommandShare })
	case TakeOut:
		c.takeOut(f.Target, true)
	case Configuration:
		c.configure()
	default:
		c.startAimed(f)
	}
}

// heldOrderTime bounds the time in which the orders arrive that a cut has held back. It is the
// contract's time from the end of a fault until rules with a time bound hold again (contact_ms).
const heldOrderTime = 3 * time.Second

// setLinkModes sets the modes of the links of workers.
func (c *cluster) setLinkModes(workers []int, requests, responses proxyMode) {
	for _, w := range workers {
		if c.workers[w].proxy.setModes(requests, responses) {
			c.ledger.HeldBack(model.WorkerID(c.workers[w].id), time.Now().Add(heldOrderTime))
		}
	}
}

// setTaskFault lets tasks that start on a worker fail or hang, or ends that fault.
func (c *cluster) setTaskFault(w *worker, k Kind, on bool) {
	c.simWorkers.WithLock(func() {
		if k == FailWorker {
			w.instance.Fail = on
		} else {
			w.instance.Hang = on
		}
	})
}

// endFault reverts a fault.
func (c *cluster) endFault(f Fault) error {
	switch f.Kind {
	case KillNode, StopNode:
		c.restart(c.nodes[f.Target])
	case FreezeNode:
		c.nodes[f.Target].freeze(false)
	case KillMost:
		for _, n := range c.mostNodes(f.Target) {
			c.restart(n)
		}
	case PowerLoss:
		for _, n := range c.nodes {
			c.restart(n)
		}
	case CutStore, MuteStore, SlowStore:
		c.nodes[f.Target].storeProxy.setModes(modeForward, modeForward)
	case RefuseStore:
		c.storeAccess.SetFault(fleettest.Healthy)
	case LoseCommits:
		c.rows.SetTransactionFaults(0, 0)
	case CutWorker, MuteWorker:
		c.setLinkModes([]int{f.Target}, modeForward, modeForward)
	case KillWorker:
		c.killInstance(c.workers[f.Target]) // an overlapping fault may have started an instance since
		return c.startInstance(c.workers[f.Target])
	case RestartWorker:
		return c.list(c.workers[f.Target])
	case CutWorkers, MuteWorkers, CutRestarted:
		c.setLinkModes(f.Workers, modeForward, modeForward)
	case SilenceWorkers:
		for _, w := range f.Workers {
			c.wake(c.workers[w])
		}
	case ListWorkers:
		for _, w := range f.Workers {
			if err := c.list(c.workers[w]); err != nil {
				return err
			}
		}
	case FailWorker, HangWorker:
		c.setTaskFault(c.workers[f.Target], f.Kind, false)
	case LateOrders:
		c.simWorkers.WithLock(func() { c.simWorkers.LateShare = 0 })
	case TakeOut:
		c.takeOut(f.Target, false)
	default:
		return c.endAimed(f)
	}
	return nil
}

// restart restarts a node in the background once its previous process has exited, or after
// the grace period: a process that was told to stop may still be draining.
func (c *cluster) restart(n *node) {
	n.freeze(false)
	since := time.Now()
	c.restarts.Go(func() {
		down := true
		select {
		case <-n.exited():
		case <-time.After(grace):
			down = false
		}
		if err := c.start(n); err != nil {
			c.ledger.AddViolation("node does not start: " + err.Error())
		}
		if down {
			c.conditions.impaired(since)
		}
	})
}

// heal restores the links of all nodes to the store, unfreezes the nodes, restarts those that
// are down and waits until all have been started and report ready, or recoveryLimit has passed.
func (c *cluster) heal(ctx context.Context) {
	for _, n := range c.nodes {
		n.storeProxy.setModes(modeForward, modeForward)
		c.restart(n)
	}
	c.restarts.Wait()
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for _, n := range c.nodes {
		for !n.ready() && sleepUntil(ctx, time.Now().Add(pollInterval)) {
		}
	}
}

// pollInterval is the time between two looks at a state that nothing announces.
const pollInterval = 50 * time.Millisecond

// ready reports whether the node tells the platform that it is ready.
func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.readyAddr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// killMostShare is the share of the nodes that KillMost kills.
const killMostShare = 0.55

// mostNodes returns killMostShare of the nodes, beginning with the one at index first.
func (c *cluster) mostNodes(first int) []*node {
	var nodes []*node
	for i := range int(killMostShare*float64(len(c.nodes))) + 1 {
		nodes = append(nodes, c.nodes[(first+i)%len(c.nodes)])
	}
	return nodes
}

// A throttled process is paused for slowPause of each slowCycle.
const (
	slowCycle = 50 * time.Millisecond
	slowPause = 40 * time.Millisecond
)

// throttleCPU limits the node's process to a fifth of its CPU time for the duration.
func (n *node) throttleCPU(duration time.Duration) {
	go func() {
		for end := time.Now().Add(duration); time.Now().Before(end); {
			n.pause(stoppedBySlowness, true)
			time.Sleep(slowPause)
			n.pause(stoppedBySlowness, false)
			time.Sleep(slowCycle - slowPause)
		}
	}()
}
