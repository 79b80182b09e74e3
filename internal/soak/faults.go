package soak

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Shares of calls that the faults concern.
const (
	lateOrders = 0.2
	lostWrites = 0.2
	lateWrites = 0.1
)

// step is the begin or the end of a fault.
type step struct {
	at  time.Duration
	end bool
	Fault
}

// play makes the faults at their times and ends each. It returns when all are over,
// or when ctx ends; nodes may still be starting again then.
func (s *site) play(ctx context.Context, begun time.Time, faults []Fault) error {
	var steps []step
	for _, f := range faults {
		steps = append(steps, step{f.At, false, f}, step{f.At + f.Lasts, true, f})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, st := range steps {
		if !sleepUntil(ctx, begun.Add(st.at)) {
			return ctx.Err()
		}
		if !st.end {
			s.begin(st.Fault)
			continue
		}
		if err := s.end(st.Fault); err != nil {
			return err
		}
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

// begin makes a fault.
func (s *site) begin(f Fault) {
	switch f.Kind {
	case KillNode:
		s.nodes[f.Target].signal(syscall.SIGKILL)
	case StopNode:
		s.nodes[f.Target].signal(syscall.SIGTERM)
	case FreezeNode:
		s.nodes[f.Target].freeze(true)
	case SlowNode:
		s.nodes[f.Target].slow(f.Lasts)
	case SlowAll:
		for _, n := range s.nodes {
			n.slow(f.Lasts)
		}
	case KillMost:
		for _, n := range s.most(f.Target) {
			n.signal(syscall.SIGKILL)
		}
	case PowerLoss:
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
	case CutStore:
		s.nodes[f.Target].link.set(holdBack, holdBack)
	case MuteStore:
		s.nodes[f.Target].link.set(passOn, holdBack)
	case SlowStore:
		s.nodes[f.Target].link.set(slowDown, slowDown)
	case ResetStore:
		s.nodes[f.Target].link.reset()
	case RefuseStore:
		s.view.SetFault(fleettest.Busy)
	case LoseCommits:
		s.rows.SetTransactionFaults(lostWrites, lateWrites)
	case CompactStore:
		s.rows.Compact()
	case CutWorker:
		s.workers[f.Target].link.set(holdBack, holdBack)
	case MuteWorker:
		s.workers[f.Target].link.set(passOn, holdBack)
	case KillWorker:
		s.endLife(s.workers[f.Target])
	case FailWorker, HangWorker:
		s.impair(s.workers[f.Target], f.Kind, true)
	case LateOrders:
		s.fleet.WithLock(func() { s.fleet.LateShare = lateOrders })
	case TakeOut:
		s.takeOut(f.Target, true)
	case Configuration:
		s.configure()
	}
}

// impair changes what tasks that start on a worker do.
func (s *site) impair(w *worker, k Kind, on bool) {
	s.fleet.WithLock(func() {
		if k == FailWorker {
			w.life.Fail = on
		} else {
			w.life.Hang = on
		}
	})
}

// end undoes a fault.
func (s *site) end(f Fault) error {
	switch f.Kind {
	case KillNode, StopNode:
		s.restart(s.nodes[f.Target])
	case FreezeNode:
		s.nodes[f.Target].freeze(false)
	case KillMost:
		for _, n := range s.most(f.Target) {
			s.restart(n)
		}
	case PowerLoss:
		for _, n := range s.nodes {
			s.restart(n)
		}
	case CutStore, MuteStore, SlowStore:
		s.nodes[f.Target].link.set(passOn, passOn)
	case RefuseStore:
		s.view.SetFault(fleettest.Healthy)
	case LoseCommits:
		s.rows.SetTransactionFaults(0, 0)
	case CutWorker, MuteWorker:
		s.workers[f.Target].link.set(passOn, passOn)
	case KillWorker:
		s.endLife(s.workers[f.Target]) // another fault may have started one since
		return s.addLife(s.workers[f.Target])
	case FailWorker, HangWorker:
		s.impair(s.workers[f.Target], f.Kind, false)
	case LateOrders:
		s.fleet.WithLock(func() { s.fleet.LateShare = 0 })
	case TakeOut:
		s.takeOut(f.Target, false)
	}
	return nil
}

// restart starts a node again in the background once its former process has ended;
// one that was told to stop may still drain.
func (s *site) restart(n *node) {
	n.freeze(false)
	s.restarts.Go(func() {
		select {
		case <-n.ended():
		case <-time.After(grace):
		}
		if err := s.start(n); err != nil {
			s.ledger.AddViolation("node does not start: " + err.Error())
		}
	})
}

// heal ends whatever faults the schedule may have left and waits until all nodes
// run.
func (s *site) heal() {
	for _, n := range s.nodes {
		n.link.set(passOn, passOn)
		s.restart(n)
	}
	s.restarts.Wait()
}

// mostNodes is the share of the nodes that a herd kill ends.
const mostNodes = 0.55

// most returns that share of the nodes, beginning with one.
func (s *site) most(first int) []*node {
	var nodes []*node
	for i := range int(mostNodes*float64(len(s.nodes))) + 1 {
		nodes = append(nodes, s.nodes[(first+i)%len(s.nodes)])
	}
	return nodes
}

// A slow node's process stands still for slowPause of each slowCycle.
const (
	slowCycle = 50 * time.Millisecond
	slowPause = 40 * time.Millisecond
)

// slow gives the node's process a fifth of its processor for a while.
func (n *node) slow(lasts time.Duration) {
	go func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); {
			n.pause(true)
			time.Sleep(slowPause)
			n.pause(false)
			time.Sleep(slowCycle - slowPause)
		}
	}()
}
