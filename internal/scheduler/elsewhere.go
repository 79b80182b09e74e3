package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// withinQuota reports whether the unit's team may use what the unit needs. Work
// that is not urgent leaves the team's reserve for urgent work free.
func (s *Scheduler) withinQuota(u *unit) bool {
	need := u.need()
	home := func() bool { return s.homeCell(u.team) == s.st.ID() }
	if !s.quota.allows(u.team, need, home) {
		return false
	}
	if u.urgency >= model.UrgencyUrgent || s.quota.use[u.team].IsZero() {
		return true
	}
	return s.quota.allows(u.team, need.Add(s.quota.reserved(u.team, s.now)), home)
}

// homeCell returns the cell in service with the highest hash for the team. It
// runs units that are larger than a cell's share of the quota.
func (s *Scheduler) homeCell(team model.TeamName) model.CellID {
	best, highest := s.st.ID(), hashOf(team, s.st.ID())
	for _, c := range s.cells {
		if h := hashOf(team, c.ID); h > highest && !s.view.IsOut(c.DataCentre) {
			best, highest = c.ID, h
		}
	}
	return best
}

func hashOf(team model.TeamName, id model.CellID) uint64 {
	return xxhash.Sum64String(string(team) + "\x00" + string(id))
}

// overQuota handles a unit beyond its team's share here: it ends when the whole
// quota is too small, moves to the team's home cell when it exceeds a share by
// itself, evicts other work of the team when it is urgent, and waits otherwise.
func (s *Scheduler) overQuota(u *unit) turn {
	quota, _ := s.quota.whole(u.team)
	need := u.need()
	if !need.Fits(quota) && !u.partial && s.quota.declared != nil {
		if _, declared := s.quota.declared[u.team]; declared {
			s.endUnrunnable(u, fmt.Sprintf("can never run: needs %s, the quota of team %s is %s", need, u.team, quota))
			return turn{}
		}
		s.waiting(u, "team-not-declared")
		return turn{}
	}
	s.waiting(u, "quota")
	share, _ := s.quota.limit(u.team)
	home := s.homeCell(u.team)
	if !need.Fits(share) && !u.partial && home != s.st.ID() && s.spendMove(u) {
		s.transfer(u, home, "quota-home")
		return turn{}
	}
	if u.urgency >= model.UrgencyUrgent {
		return turn{searches: s.makeRoom(u, true)}
	}
	return turn{}
}

// resolveElsewhere moves a unit that another cell can run sooner, or ends one
// that no worker of the deployment can hold. It returns whether it did either.
func (s *Scheduler) resolveElsewhere(u *unit) bool {
	if len(s.order) == 0 {
		return false
	}
	here := s.everFits(u, s.own, s.shapes)
	if here && !s.mayOverflow(u) {
		return false
	}
	if to := s.destination(u, here); to != nil {
		if !s.spendMove(u) {
			return false
		}
		to.Free = to.Free.Sub(u.need())
		reason := "fits-elsewhere"
		if here {
			reason = "room-elsewhere"
		}
		s.transfer(u, to.ID, reason)
		return true
	}
	if here || s.fitsAnywhere(u) {
		return false
	}
	s.endUnrunnable(u, s.nearestFit(u))
	return true
}

// mayOverflow reports whether a blocked unit has waited long enough to move.
// The wait grows with the square of its moves, so that units do not circulate.
// Urgent work moves once without a wait, which is cheaper than evictions here,
// but stays when evictions have been planned for it.
func (s *Scheduler) mayOverflow(u *unit) bool {
	if s.now.Before(u.heldUntil) {
		return false
	}
	if u.urgency >= model.UrgencyUrgent && u.tasks[0].Hops == 0 {
		return true
	}
	moves := time.Duration(u.tasks[0].Hops + 1)
	return s.now.Sub(u.since) >= s.cfg.OverflowAfter*moves*moves
}

// everFits reports whether a cell's workers could hold the unit when idle.
func (s *Scheduler) everFits(u *unit, c CellSummary, shapes []model.Resources) bool {
	for _, t := range u.tasks {
		if !slices.ContainsFunc(shapes, t.Spec.Resources.Fits) {
			return false
		}
	}
	if !u.gang {
		return true
	}
	return u.need().Fits(c.Capacity) && gangFits(u, c)
}

// gangFits reports whether the gang's largest task fits often enough into idle
// workers of the cell's largest shape.
func gangFits(u *unit, c CellSummary) bool {
	var largest model.Resources
	for _, t := range u.tasks {
		r := t.Spec.Resources
		largest.MilliCPU = max(largest.MilliCPU, r.MilliCPU)
		largest.MemoryMB = max(largest.MemoryMB, r.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, r.Accelerators)
	}
	return timesIn(largest, c.Largest)*int64(c.Workers) >= int64(len(u.tasks))
}

// timesIn returns how often need fits into a worker.
func timesIn(need, worker model.Resources) int64 {
	n := int64(1 << 30)
	for _, d := range [][2]int64{
		{need.MilliCPU, worker.MilliCPU}, {need.MemoryMB, worker.MemoryMB}, {need.Accelerators, worker.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return n
}

// destination returns the cell in service with the largest free part that has
// room for the unit now; for a unit that does not fit here, or whose data centre
// is out, a cell that could ever hold it will do.
func (s *Scheduler) destination(u *unit, roomOnly bool) *CellSummary {
	var best *CellSummary
	for i := range s.cells {
		c := &s.cells[i]
		if s.view.IsOut(c.DataCentre) || !s.everFits(u, *c, []model.Resources{c.Largest}) {
			continue
		}
		if roomOnly && !hasRoom(u, c) {
			continue
		}
		if best == nil || freePart(c) > freePart(best) {
			best = c
		}
	}
	return best
}

func hasRoom(u *unit, c *CellSummary) bool {
	for _, t := range u.tasks {
		if !t.Spec.Resources.Fits(c.Room) {
			return false
		}
	}
	return u.need().Fits(c.Free)
}

func freePart(c *CellSummary) float64 {
	return float64(c.Free.MilliCPU) / float64(max(c.Capacity.MilliCPU, 1))
}

// spendMove takes one move from the pace of transfers.
func (s *Scheduler) spendMove(u *unit) bool {
	rate := float64(s.cfg.OverflowPerSecond)
	if s.isOut() {
		rate = float64(s.limits.drainPerSecond)
	}
	if !s.lastMoves.IsZero() {
		s.moveTokens = min(rate, s.moveTokens+rate*s.now.Sub(s.lastMoves).Seconds())
	} else {
		s.moveTokens = rate
	}
	s.lastMoves = s.now
	if s.moveTokens < 1 {
		s.changed = true
		return false
	}
	s.moveTokens -= float64(len(u.tasks))
	return true
}

// transfer plans the hand-over of all tasks of a unit to another cell.
func (s *Scheduler) transfer(u *unit, to model.CellID, reason string) {
	group := 0
	if u.gang {
		group = len(u.tasks)
	}
	s.queue.remove(u)
	u.state = unitPlanned
	for _, t := range u.tasks {
		s.emit(t.Spec.ID, &planned{unit: u}, cell.Record{TransferOut: &cell.TransferOut{Task: t.Spec.ID, To: to, Group: group}})
		s.decide("move", string(t.Spec.ID), len(s.cells), string(to), reason)
	}
}

// endUnrunnable plans the end of a unit that can never run.
func (s *Scheduler) endUnrunnable(u *unit, reason string) {
	s.queue.remove(u)
	u.state = unitPlanned
	for _, t := range u.tasks {
		s.emit(t.Spec.ID, &planned{unit: u}, cell.Record{Unrunnable: &cell.Unrunnable{Task: t.Spec.ID, Reason: reason}})
		s.decide("unrunnable", string(t.Spec.ID), 0, "", reason)
	}
}

// deployment returns every cell with workers, in or out of service, and the
// declared equipment, which may have not arrived yet.
func (s *Scheduler) deployment() []CellSummary {
	out := append([]CellSummary{s.own}, s.cells...)
	out[0].ID = s.st.ID()
	if s.view.Declaration == nil {
		return out
	}
	for _, dc := range s.view.Declaration.DataCentres {
		n := dc.Racks * dc.WorkersPerRack
		shape := dc.Worker.Resources()
		c := CellSummary{DataCentre: dc.Name, Largest: shape, Workers: n / max(dc.Cells, 1)}
		c.Capacity = scale(shape, float64(c.Workers))
		out = append(out, c)
	}
	return out
}

// fitsAnywhere reports whether the deployment has or expects workers for the
// unit, also when they are out of service now.
func (s *Scheduler) fitsAnywhere(u *unit) bool {
	return slices.ContainsFunc(s.deployment(), func(c CellSummary) bool {
		return s.everFits(u, c, []model.Resources{c.Largest})
	})
}

// ChooseCell returns the cell in service to submit a job to: the one with the
// largest free part among those that have room for its tasks now, or else among
// those that could ever hold them, or else among all. Jobs thereby spread over
// data centres; the tasks of one gang stay in one cell. It returns an empty id
// when every data centre is out.
func ChooseCell(job model.JobSpec, cells []CellSummary, out func(model.DataCentre) bool) model.CellID {
	u := &unit{gang: len(job.Tasks) > 0 && job.Tasks[0].Gang}
	for _, spec := range job.Tasks {
		u.tasks = append(u.tasks, &cell.Task{Spec: spec})
	}
	var best *CellSummary
	level := -1
	for i := range cells {
		c := &cells[i]
		if out(c.DataCentre) {
			continue
		}
		l := fitLevel(u, c)
		if l > level || (l == level && freePart(c) > freePart(best)) {
			best, level = c, l
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// fitLevel is 2 for a cell with room now, 1 for one that could hold the unit
// when idle, and 0 otherwise.
func fitLevel(u *unit, c *CellSummary) int {
	for _, t := range u.tasks {
		if !t.Spec.Resources.Fits(c.Largest) {
			return 0
		}
	}
	if u.gang && !gangFits(u, *c) {
		return 0
	}
	if hasRoom(u, c) {
		return 2
	}
	return 1
}

// nearestFit names the cell that falls short by least, and by how much.
func (s *Scheduler) nearestFit(u *unit) string {
	need := u.tasks[0].Spec.Resources
	for _, t := range u.tasks {
		if shortBy(need, s.own.Largest) < shortBy(t.Spec.Resources, s.own.Largest) {
			need = t.Spec.Resources
		}
	}
	cells := s.deployment()
	best := slices.MinFunc(cells, func(a, b CellSummary) int {
		return cmp.Compare(shortBy(need, a.Largest), shortBy(need, b.Largest))
	})
	if !need.Fits(best.Largest) {
		return fmt.Sprintf("can never run: task needs %s; the nearest fit is a worker of %s with %s", need, best.DataCentre, best.Largest)
	}
	return fmt.Sprintf("can never run: gang of %d tasks needs %s at once; the nearest fit is %s with %d workers of %s",
		len(u.tasks), u.need(), best.DataCentre, best.Workers, best.Largest)
}

// shortBy returns by which factor a worker falls short in its worst dimension.
func shortBy(need, worker model.Resources) float64 {
	return max(
		part(need.MilliCPU, worker.MilliCPU), part(need.MemoryMB, worker.MemoryMB),
		part(need.Accelerators, worker.Accelerators),
	)
}
