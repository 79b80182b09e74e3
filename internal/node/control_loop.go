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
	// controlTick is the interval of the control goroutine's periodic work.
	controlTick = 250 * time.Millisecond
	// removeAfter is how long a member's host must be absent from the host list
	// and silent before its leave record is written.
	removeAfter = 10 * time.Second
	// commandBuffer is the number of messages that wait for the control goroutine.
	commandBuffer = 64
	// joinRetry is the wait between attempts to join.
	joinRetry = 500 * time.Millisecond
)

// command is a message to the control goroutine. Exactly one field is set.
type command struct {
	// viewChanged says that there is a new control view, which is read from the store.
	viewChanged bool
	// release asks for the release of all cells and the end of the membership.
	release *releaseCommand
}

type releaseCommand struct {
	ctx  context.Context
	done chan error
}

// viewChanged passes a new view to the control goroutine. A full queue holds a
// later view already or makes the periodic work pick this one up.
func (n *Node) viewChanged(v *control.View) {
	n.shares.Apply(v)
	select {
	case n.commands <- command{viewChanged: true}:
	default:
	}
}

// controlLoop owns the node's control state: which cells and members there are,
// and the release of cells on a graceful stop. Between join and release it does
// not wait for the store, which may be down for long.
func (n *Node) controlLoop(ctx context.Context) error {
	if err := n.join(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	released, out := false, map[model.DataCentre]bool{}
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
		n.logDataCentres(out)
		if !released && n.joined.Load() {
			n.assignCells()
		}
	}
}

// logDataCentres writes a line for each data centre whose state has changed since
// the last call.
func (n *Node) logDataCentres(out map[model.DataCentre]bool) {
	view := n.control.View()
	if view.Declaration == nil {
		return
	}
	for _, dc := range view.Declaration.DataCentres {
		isOut := view.IsOut(dc.Name)
		if out[dc.Name] == isOut {
			continue
		}
		out[dc.Name] = isOut
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

// every calls f at each tick until ctx ends.
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

// epochLoop makes epochs known to the members.
func (n *Node) epochLoop(ctx context.Context) error {
	return every(ctx, controlTick, func(ctx context.Context) {
		n.shares.Tick()
		n.announceEpochs(ctx)
	})
}

// outageLoop watches for store outages. It has a goroutine of its own, because
// its answers count for the hold time only and must not wait for other calls.
func (n *Node) outageLoop(ctx context.Context) error {
	return every(ctx, controlTick, n.checkOutage)
}

// removalLoop removes members whose hosts are gone. It waits for the store.
func (n *Node) removalLoop(ctx context.Context) error {
	absent := map[model.NodeID]time.Time{}
	return every(ctx, controlTick, func(ctx context.Context) {
		if n.joined.Load() && !n.stopping.Load() {
			n.removeGone(ctx, absent)
		}
	})
}

// join reads the control journal, ends the membership of a former process at the
// same address, and appends this node's join record.
func (n *Node) join(ctx context.Context) error {
	for {
		if n.stopping.Load() {
			return nil // a member that never served would have to be removed by others
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
		n.log.WithError(err).Warn("not joined yet")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinRetry):
		}
	}
}

func (n *Node) tryJoin(ctx context.Context) error {
	if err := n.control.Refresh(ctx); err != nil {
		return err
	}
	self := control.Member{ID: n.id, Addr: n.settings.Advertise, DataCentre: model.DataCentre(n.settings.DataCentre)}
	for id, m := range n.control.View().Members {
		if m.Addr != self.Addr || id == n.id {
			continue
		}
		// One address serves one process: this node holds the listener, so the
		// former member has ended.
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

// assignCells tells the ownership layer the cells and the members that are not
// suspected.
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
	n.heard.keep(view.Members)
}

// removeGone writes the leave record of members whose hosts the platform has
// removed. The first remaining member in order does it, so that nodes do not race.
func (n *Node) removeGone(ctx context.Context, absent map[model.NodeID]time.Time) {
	view, now := n.control.View(), time.Now()
	for id := range absent {
		if _, member := view.Members[id]; !member {
			delete(absent, id)
		}
	}
	suspects := n.suspects()
	for id, m := range view.Members {
		if id == n.id || !n.hosts.Gone(m.Addr) || !suspects[id] {
			delete(absent, id)
			continue
		}
		since, seen := absent[id]
		if !seen {
			absent[id] = now
			continue
		}
		if now.Sub(since) < removeAfter*time.Duration(1+n.rank(view)) {
			continue
		}
		if err := n.appendLeft(ctx, id, "its host left the platform's host list"); err != nil {
			n.log.WithError(err).WithField("member", string(id)).Warn("member not removed yet")
			continue
		}
		delete(absent, id)
	}
}

// rank returns this node's position among the members that are not suspected.
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
