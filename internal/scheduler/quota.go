package scheduler

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// quotas splits each team's quota over the cells and tracks the use in this
// cell. A cell's share is its part of the capacity of all cells in service. The
// share shrinks at once when that part shrinks and grows after a settling time,
// so that the shares of all cells do not add up to more than the quota while
// views differ.
type quotas struct {
	weight float64
	stated bool
	grow   float64
	since  time.Time
	settle time.Duration
	// version grows with each change of use or share; it is never 0.
	version  uint64
	use      map[model.TeamName]model.Resources
	urgent   map[model.TeamName]urgentReserve
	declared map[model.TeamName]model.Resources
	source   *declaration.Declaration
}

func newQuotas(settle time.Duration) *quotas {
	return &quotas{settle: settle, version: 1, use: map[model.TeamName]model.Resources{}, urgent: map[model.TeamName]urgentReserve{}}
}

// setWeight states this cell's part of the capacity in service, from 0 to 1.
func (q *quotas) setWeight(w float64, now time.Time) {
	q.version++
	switch {
	case !q.stated || w <= q.weight:
		q.weight, q.grow, q.stated = w, w, true
	case w != q.grow:
		q.grow, q.since = w, now
	case now.Sub(q.since) >= q.settle:
		q.weight = w
	}
}

// setDeclaration reads the teams' quotas when the declaration has changed.
func (q *quotas) setDeclaration(d *declaration.Declaration) {
	if d == q.source {
		return
	}
	q.source, q.declared = d, nil
	if d == nil {
		return
	}
	q.declared = make(map[model.TeamName]model.Resources, len(d.Teams))
	for _, t := range d.Teams {
		q.declared[t.Name] = t.Quota.Resources()
	}
}

// whole returns a team's quota over all cells. Without a declaration, and for
// work without a team, there is no quota; an undeclared team has none to use.
func (q *quotas) whole(team model.TeamName) (quota model.Resources, limited bool) {
	if q.source == nil || team == "" {
		return model.Resources{}, false
	}
	return q.declared[team], true
}

// limit returns the share of a team's quota in this cell.
func (q *quotas) limit(team model.TeamName) (model.Resources, bool) {
	quota, limited := q.whole(team)
	if !limited {
		return model.Resources{}, false
	}
	return scale(quota, q.weight), true
}

func scale(r model.Resources, f float64) model.Resources {
	return model.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * f),
		MemoryMB:     int64(float64(r.MemoryMB) * f),
		Accelerators: int64(float64(r.Accelerators) * f),
	}
}

// urgentReserve is the part of a team's share that its other work leaves free,
// because the team has submitted urgent work of that size lately.
type urgentReserve struct {
	need model.Resources
	at   time.Time
}

// noteUrgent remembers the size of an urgent job of a team.
func (q *quotas) noteUrgent(team model.TeamName, need model.Resources, now time.Time) {
	kept := q.reserved(team, now)
	q.urgent[team] = urgentReserve{model.Resources{
		MilliCPU: max(need.MilliCPU, kept.MilliCPU), MemoryMB: max(need.MemoryMB, kept.MemoryMB),
		Accelerators: max(need.Accelerators, kept.Accelerators),
	}, now}
}

// reserved returns the reserve of a team; it halves with each half-life.
func (q *quotas) reserved(team model.TeamName, now time.Time) model.Resources {
	r, ok := q.urgent[team]
	if !ok {
		return model.Resources{}
	}
	return scale(r.need, math.Exp2(-float64(now.Sub(r.at))/float64(headroomHalfLife)))
}

// allows reports whether need stays within the team's share. A unit that is
// larger than the whole share is allowed in the team's home cell when the team
// has nothing else running there; otherwise small quotas could never be used.
func (q *quotas) allows(team model.TeamName, need model.Resources, home func() bool) bool {
	share, limited := q.limit(team)
	if !limited {
		return true
	}
	use := q.use[team]
	if use.Add(need).Fits(share) {
		return true
	}
	quota, _ := q.whole(team)
	return use.IsZero() && !need.Fits(share) && need.Fits(quota) && home()
}

// ratio returns the largest part of its share that the team uses in any dimension.
func (q *quotas) ratio(team model.TeamName) float64 {
	share, limited := q.limit(team)
	use := q.use[team]
	if !limited {
		return 0
	}
	return max(
		part(use.MilliCPU, share.MilliCPU), part(use.MemoryMB, share.MemoryMB),
		part(use.Accelerators, share.Accelerators),
	)
}

func part(use, of int64) float64 {
	if use == 0 {
		return 0
	}
	return float64(use) / float64(max(of, 1))
}

func (q *quotas) add(team model.TeamName, r model.Resources) {
	q.version++
	q.use[team] = q.use[team].Add(r)
}

func (q *quotas) release(team model.TeamName, r model.Resources) {
	q.version++
	left := q.use[team].Sub(r)
	if left.IsZero() {
		delete(q.use, team)
		return
	}
	q.use[team] = left
}

// cellWeight returns own's part of the processors of all cells in service. It
// is 0 for a cell whose data centre is out.
func cellWeight(own CellSummary, others []CellSummary, view *control.View) float64 {
	if view.IsOut(own.DataCentre) {
		return 0
	}
	total := own.Capacity.MilliCPU
	for _, c := range others {
		if !view.IsOut(c.DataCentre) {
			total += c.Capacity.MilliCPU
		}
	}
	if total == 0 {
		return 1
	}
	return float64(own.Capacity.MilliCPU) / float64(total)
}
