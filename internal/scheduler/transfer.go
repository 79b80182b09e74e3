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

// withinQuota reports whether the unit fits the team's share. Units that are not urgent
// leave the team's reserve for urgent work free, unless the team uses nothing yet.
func (s *Scheduler) withinQuota(u *unit) bool {
	need := u.need()
	home := func() bool { return s.teamHomeCell(u.team) == s.st.ID() }
	if !s.quota.allows(u.team, need, home) {
		return false
	}
	if u.urgency >= model.UrgencyUrgent || s.quota.use[u.team].IsZero() {
		return true
	}
	return s.quota.allows(u.team, need.Add(s.quota.reserveFor(u.team, s.now)), home)
}

// teamHomeCell returns the cell in service with the highest rendezvous hash for the team. It
// runs the units that are larger than a cell's share of the quota.
func (s *Scheduler) teamHomeCell(team model.TeamName) model.CellID {
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

// handleOverQuota handles a unit that exceeds its team's share in this cell. It ends the
// unit when the whole quota is too small, transfers it to the team's home cell when it is
// larger than the share by itself, evicts other work of the team when it is urgent, and
// lets it wait otherwise.
func (s *Scheduler) handleOverQuota(u *unit) placeResult {
	quota, _ := s.quota.total(u.team)
	need := u.need()
	if !need.Fits(quota) && !u.partial && s.quota.declared != nil {
		if _, declared := s.quota.declared[u.team]; declared {
			s.endUnrunnable(u, fmt.Sprintf("can never run: needs %s, the quota of team %s is %s", need, u.team, quota))
			return placeResult{}
		}
		s.logWait(u, "team-not-declared")
		return placeResult{}
	}
	s.logWait(u, "quota")
	share, _ := s.quota.cellShare(u.team)
	home := s.teamHomeCell(u.team)
	if !need.Fits(share) && !u.partial && home != s.st.ID() && s.allowTransfer(u) {
		s.transfer(u, home, "quota-home")
		return placeResult{}
	}
	if u.urgency >= model.UrgencyUrgent {
		return placeResult{searches: s.preemptFor(u, true)}
	}
	return placeResult{}
}

// transferOrEnd transfers a unit that another cell can run sooner, or ends one that fits no
// worker of the deployment. It reports whether it did either.
func (s *Scheduler) transferOrEnd(u *unit) bool {
	if len(s.order) == 0 {
		return false
	}
	here := s.fitsWhenIdle(u, s.own, s.shapes)
	if here && !s.mayOverflow(u) {
		return false
	}
	if to := s.destination(u, here); to != nil {
		if !s.allowTransfer(u) {
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
	s.endUnrunnable(u, s.nearestFitReason(u))
	return true
}

// mayOverflow reports whether a blocked unit has waited long enough to be transferred. The
// wait grows with the square of its transfers, so that units do not circulate between
// cells. An urgent unit is transferred once without a wait, which is cheaper than evictions
// in this cell, but stays once evictions have been planned for it.
func (s *Scheduler) mayOverflow(u *unit) bool {
	if s.now.Before(u.heldUntil) {
		return false
	}
	if u.urgency >= model.UrgencyUrgent && u.tasks[0].Hops == 0 {
		return true
	}
	transfers := time.Duration(u.tasks[0].Hops + 1)
	return s.now.Sub(u.readySince) >= s.cfg.OverflowAfter*transfers*transfers
}

// fitsWhenIdle reports whether the unit would fit the cell's workers if they were idle.
func (s *Scheduler) fitsWhenIdle(u *unit, c CellSummary, shapes []model.Resources) bool {
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

// gangFits reports whether all tasks of the gang, at the size of the largest in each
// dimension, fit the cell's workers when they are idle and all of the largest shape.
func gangFits(u *unit, c CellSummary) bool {
	var largest model.Resources
	for _, t := range u.tasks {
		r := t.Spec.Resources
		largest.MilliCPU = max(largest.MilliCPU, r.MilliCPU)
		largest.MemoryMB = max(largest.MemoryMB, r.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, r.Accelerators)
	}
	return timesFits(largest, c.Largest)*int64(c.Workers) >= int64(len(u.tasks))
}

// timesFits returns how many times need fits a worker.
func timesFits(need, worker model.Resources) int64 {
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

// destination returns the cell in service with the largest free fraction among those that
// could ever hold the unit; with fitsNowOnly, among those with enough free capacity now.
func (s *Scheduler) destination(u *unit, fitsNowOnly bool) *CellSummary {
	var best *CellSummary
	for i := range s.cells {
		c := &s.cells[i]
		if s.view.IsOut(c.DataCentre) || !s.fitsWhenIdle(u, *c, []model.Resources{c.Largest}) {
			continue
		}
		if fitsNowOnly && !fitsNow(u, c) {
			continue
		}
		if best == nil || freeFraction(c) > freeFraction(best) {
			best = c
		}
	}
	return best
}

func fitsNow(u *unit, c *CellSummary) bool {
	for _, t := range u.tasks {
		if !t.Spec.Resources.Fits(c.Room) {
			return false
		}
	}
	return u.need().Fits(c.Free)
}

func freeFraction(c *CellSummary) float64 {
	return float64(c.Free.MilliCPU) / float64(max(c.Capacity.MilliCPU, 1))
}

// allowTransfer reports whether the rate limit of transfers admits the unit, and takes one
// token for each of its tasks.
func (s *Scheduler) allowTransfer(u *unit) bool {
	rate := float64(s.cfg.OverflowPerSecond)
	if s.isOut() {
		rate = float64(s.limits.drainPerSecond)
	}
	if !s.transferTokensAt.IsZero() {
		s.transferTokens = min(rate, s.transferTokens+rate*s.now.Sub(s.transferTokensAt).Seconds())
	} else {
		s.transferTokens = rate
	}
	s.transferTokensAt = s.now
	if s.transferTokens < 1 {
		s.placementDue = true
		return false
	}
	s.transferTokens -= float64(len(u.tasks))
	return true
}

// transfer plans the transfer of all tasks of a unit to another cell.
func (s *Scheduler) transfer(u *unit, to model.CellID, reason string) {
	group := 0
	if u.gang {
		group = len(u.tasks)
	}
	s.queue.remove(u)
	u.state = unitPlanned
	for _, t := range u.tasks {
		s.addRecord(t.Spec.ID, &pendingTask{unit: u}, cell.Record{TransferOut: &cell.TransferOut{Task: t.Spec.ID, To: to, Group: group}})
		s.logDecision("move", string(t.Spec.ID), len(s.cells), string(to), reason)
	}
}

// endUnrunnable plans the end of a unit that can never run.
func (s *Scheduler) endUnrunnable(u *unit, reason string) {
	s.queue.remove(u)
	u.state = unitPlanned
	for _, t := range u.tasks {
		s.addRecord(t.Spec.ID, &pendingTask{unit: u}, cell.Record{Unrunnable: &cell.Unrunnable{Task: t.Spec.ID, Reason: reason}})
		s.logDecision("unrunnable", string(t.Spec.ID), 0, "", reason)
	}
}

// allCells returns this cell and the known other cells, in or out of service, and the cells
// of the declaration, whose workers may not have arrived yet.
func (s *Scheduler) allCells() []CellSummary {
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

// fitsAnywhere reports whether the unit fits the existing or declared workers of any cell,
// including those that are out of service.
func (s *Scheduler) fitsAnywhere(u *unit) bool {
	return slices.ContainsFunc(s.allCells(), func(c CellSummary) bool {
		return s.fitsWhenIdle(u, c, []model.Resources{c.Largest})
	})
}

// ChooseCell returns the cell in service to submit a job to: the one with the largest free
// fraction among those with enough free capacity now, or else among those that could ever
// hold the tasks, or else among all. This spreads jobs over data centres; the tasks of one
// gang stay in one cell. It returns an empty id when every data centre is out of service.
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
		if l > level || (l == level && freeFraction(c) > freeFraction(best)) {
			best, level = c, l
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// fitLevel returns 2 for a cell with enough free capacity, 1 for one that could hold the
// unit when idle, and 0 otherwise.
func fitLevel(u *unit, c *CellSummary) int {
	for _, t := range u.tasks {
		if !t.Spec.Resources.Fits(c.Largest) {
			return 0
		}
	}
	if u.gang && !gangFits(u, *c) {
		return 0
	}
	if fitsNow(u, c) {
		return 2
	}
	return 1
}

// nearestFitReason returns why the unit can never run, with the cell whose workers come
// closest to fitting it.
func (s *Scheduler) nearestFitReason(u *unit) string {
	need := u.tasks[0].Spec.Resources
	for _, t := range u.tasks {
		if shortfall(need, s.own.Largest) < shortfall(t.Spec.Resources, s.own.Largest) {
			need = t.Spec.Resources
		}
	}
	cells := s.allCells()
	best := slices.MinFunc(cells, func(a, b CellSummary) int {
		return cmp.Compare(shortfall(need, a.Largest), shortfall(need, b.Largest))
	})
	if !need.Fits(best.Largest) {
		return fmt.Sprintf("can never run: task needs %s; the nearest fit is a worker of %s with %s", need, best.DataCentre, best.Largest)
	}
	return fmt.Sprintf("can never run: gang of %d tasks needs %s at once; the nearest fit is %s with %d workers of %s",
		len(u.tasks), u.need(), best.DataCentre, best.Workers, best.Largest)
}

// shortfall returns the ratio of need to the worker's capacity in the worst dimension.
func shortfall(need, worker model.Resources) float64 {
	return max(
		fraction(need.MilliCPU, worker.MilliCPU), fraction(need.MemoryMB, worker.MemoryMB),
		fraction(need.Accelerators, worker.Accelerators),
	)
}
