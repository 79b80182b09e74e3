package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/owner"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

const (
	// controlTick is the interval of the periodic work on control state.
	controlTick = 250 * time.Millisecond
	// removalDelay is how long a member's host must be absent from the host list
	// and silent before its leave record is written.
	removalDelay = 10 * time.Second
	// commandQueueSize is the capacity of the control goroutine's queue.
	commandQueueSize = 64
	// joinRetryInterval is the wait between attempts to join.
	joinRetryInterval = 500 * time.Millisecond
)

// command is a message to the control goroutine. Exactly one field is set.
type command struct {
	// viewChanged is true if there is a new control view, which n.control returns.
	viewChanged bool
	// release requests the release of all cells and the end of the membership.
	release *releaseCommand
}

type releaseCommand struct {
	ctx  context.Context
	done chan error
}

// viewChanged notifies the control goroutine of a new view. If the queue is full, the
// notification is dropped: a queued command or the next tick applies the view.
func (n *Node) viewChanged(v *control.View) {
	n.shares.Apply(v)
	select {
	case n.commands <- command{viewChanged: true}:
	default:
	}
}

// controlLoop joins the deployment, then keeps the ownership layer up to date with cells and
// members, and releases the cells on a graceful stop. Between join and release it does not wait
// for the store, which may be down for a long time.
func (n *Node) controlLoop(ctx context.Context) error {
	if err := n.join(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	released, lastOut := false, map[model.DataCentre]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.commands:
			if c.release != nil {
				released = true
				c.release.done <- n.leave(c.release.ctx)
			}
		case <-ticker.C:
		}
		n.logDataCentreChanges(lastOut)
		if !released && n.joined.Load() {
			n.assignCells()
		}
	}
}

// logDataCentreChanges logs each data centre that was taken out of service or returned since
// the last call.
func (n *Node) logDataCentreChanges(lastOut map[model.DataCentre]bool) {
	view := n.control.View()
	if view.Declaration == nil {
		return
	}
	for _, dc := range view.Declaration.DataCentres {
		isOut := view.IsOut(dc.Name)
		if lastOut[dc.Name] == isOut {
			continue
		}
		lastOut[dc.Name] = isOut
		choice := telemetry.ChoiceIn
		if isOut {
			choice = telemetry.ChoiceOut
		}
		n.decisions.LogDecision(telemetry.Decision{
			Kind: telemetry.KindDataCentre, Subject: string(dc.Name), Choice: choice, Reason: "operators",
			Fields: logrus.Fields{"sequence": view.Sequence},
		})
	}
}

// every calls f at the given interval until ctx ends.
func every(ctx context.Context, tick time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f(ctx)
		}
	}
}

// epochLoop announces the epochs of owned cells to the members.
func (n *Node) epochLoop(ctx context.Context) error {
	return every(ctx, controlTick, func(ctx context.Context) {
		n.shares.Tick()
		n.announceEpochs(ctx)
	})
}

// outageLoop detects store outages. It has its own goroutine, because the answers of the
// members are valid for memberStateTTL only and must not be delayed by other calls.
func (n *Node) outageLoop(ctx context.Context) error {
	return every(ctx, controlTick, n.checkOutage)
}

// removalLoop removes members whose hosts the platform has removed. It has its own goroutine,
// because it waits for the store.
func (n *Node) removalLoop(ctx context.Context) error {
	absent := map[model.NodeID]time.Time{}
	return every(ctx, controlTick, func(ctx context.Context) {
		if n.joined.Load() && !n.stopping.Load() {
			n.removeAbsentMembers(ctx, absent)
		}
	})
}

// join retries tryJoin until it succeeds or the node stops.
func (n *Node) join(ctx context.Context) error {
	for {
		if n.stopping.Load() {
			return nil // a join now would leave a member behind that other nodes have to remove
		}
		err := n.tryJoin(ctx)
		if err == nil {
			n.joined.Store(true)
			n.log.WithField("members", len(n.control.View().Members)).Info("joined")
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		n.log.WithError(err).Warn("failed to join; retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinRetryInterval):
		}
	}
}

// tryJoin reads the control journal, ends the membership of a former process at the same
// address, and appends this node's join record.
func (n *Node) tryJoin(ctx context.Context) error {
	if err := n.control.Refresh(ctx); err != nil {
		return err
	}
	self := control.Member{ID: n.id, Addr: n.settings.Advertise, DataCentre: model.DataCentre(n.settings.DataCentre)}
	for id, m := range n.control.View().Members {
		if m.Addr != self.Addr || id == n.id {
			continue
		}
		// This node listens on the address, so the former process must have ended.
		if err := n.appendLeft(ctx, id, "replaced at the same address"); err != nil {
			return err
		}
	}
	_, err := n.control.AppendMember(ctx, n.record(control.Record{MemberJoined: &control.MemberJoined{Member: self}}))
	return err
}

func (n *Node) record(rec control.Record) control.Record {
	rec.Actor, rec.At = "node/"+string(n.id), time.Now().UnixMilli()
	return rec
}

func (n *Node) appendLeft(ctx context.Context, id model.NodeID, reason string) error {
	_, err := n.control.AppendMember(ctx, n.record(control.Record{MemberLeft: &control.MemberLeft{Node: id, Reason: reason}}))
	return err
}

// assignCells passes the cells and the members that are not suspected to the ownership layer.
func (n *Node) assignCells() {
	view := n.control.View()
	var alive []control.Member
	suspects := n.suspects()
	for id, m := range view.Members {
		if id == n.id || !suspects[id] {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b control.Member) int { return int(a.Since) - int(b.Since) })
	n.owners.SetCells(owner.CellsOf(view), alive)
	n.peerReports.retain(view.Members)
}

// removeAbsentMembers writes the leave records of suspected members whose hosts the platform
// has removed. absent holds the time at which this node first detected each of them. The wait
// grows with the node's rank, so that usually only one node writes the record.
func (n *Node) removeAbsentMembers(ctx context.Context, absent map[model.NodeID]time.Time) {
	view, now := n.control.View(), time.Now()
	for id := range absent {
		if _, member := view.Members[id]; !member {
			delete(absent, id)
		}
	}
	suspects := n.suspects()
	for id, m := range view.Members {
		if id == n.id || !n.hosts.Removed(m.Addr) || !suspects[id] {
			delete(absent, id)
			continue
		}
		since, seen := absent[id]
		if !seen {
			absent[id] = now
			continue
		}
		if now.Sub(since) < removalDelay*time.Duration(1+n.rank(view)) {
			continue
		}
		if err := n.appendLeft(ctx, id, "its host left the platform's host list"); err != nil {
			n.log.WithError(err).WithField("member", string(id)).Warn("failed to remove a member; retrying")
			continue
		}
		delete(absent, id)
	}
}

// rank returns this node's position by id among the members that are not suspected.
func (n *Node) rank(view *control.View) int {
	rank, suspects := 0, n.suspects()
	for id := range view.Members {
		if id < n.id && !suspects[id] {
			rank++
		}
	}
	return rank
}

// leave releases the cells and ends the membership.
func (n *Node) leave(ctx context.Context) error {
	if err := n.owners.Release(ctx); err != nil {
		return err
	}
	return n.appendLeft(ctx, n.id, "graceful stop")
}
