package scheduler

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// quotas splits each team's quota over the cells and tracks the use in this cell. A cell's
// share is proportional to its part of the capacity of all cells in service. It shrinks
// at once and grows only after growthDelay, so that the shares of all cells do not exceed
// the quota in total while the cells act on different views.
type quotas struct {
	weight       float64
	weightSet    bool
	targetWeight float64
	targetSince  time.Time
	growthDelay  time.Duration
	// version increases with each change of use or share; it is never 0.
	version        uint64
	use            map[model.TeamName]model.Resources
	urgentReserves map[model.TeamName]urgentReserve
	declared       map[model.TeamName]model.Resources
	declaration    *declaration.Declaration
}

func newQuotas(growthDelay time.Duration) *quotas {
	return &quotas{growthDelay: growthDelay, version: 1, use: map[model.TeamName]model.Resources{}, urgentReserves: map[model.TeamName]urgentReserve{}}
}

// setWeight sets this cell's fraction of the capacity in service, from 0 to 1.
func (q *quotas) setWeight(w float64, now time.Time) {
	q.version++
	switch {
	case !q.weightSet || w <= q.weight:
		q.weight, q.targetWeight, q.weightSet = w, w, true
	case w != q.targetWeight:
		q.targetWeight, q.targetSince = w, now
	case now.Sub(q.targetSince) >= q.growthDelay:
		q.weight = w
	}
}

// setDeclaration reads the teams' quotas when the declaration has changed.
func (q *quotas) setDeclaration(d *declaration.Declaration) {
	if d == q.declaration {
		return
	}
	q.declaration, q.declared = d, nil
	if d == nil {
		return
	}
	q.declared = make(map[model.TeamName]model.Resources, len(d.Teams))
	for _, t := range d.Teams {
		q.declared[t.Name] = t.Quota.Resources()
	}
}

// total returns a team's quota over all cells. Without a declaration, and for tasks
// without a team, use is not limited; the quota of an undeclared team is zero.
func (q *quotas) total(team model.TeamName) (quota model.Resources, limited bool) {
	if q.declaration == nil || team == "" {
		return model.Resources{}, false
	}
	return q.declared[team], true
}

// cellShare returns this cell's share of a team's quota.
func (q *quotas) cellShare(team model.TeamName) (model.Resources, bool) {
	quota, limited := q.total(team)
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

// urgentReserve is the part of a team's share that is kept free of its other work, because
// the team recently submitted urgent work of that size.
type urgentReserve struct {
	need model.Resources
	at   time.Time
}

// noteUrgent updates a team's reserve by the size of an urgent job.
func (q *quotas) noteUrgent(team model.TeamName, need model.Resources, now time.Time) {
	kept := q.reserveFor(team, now)
	q.urgentReserves[team] = urgentReserve{model.Resources{
		MilliCPU: max(need.MilliCPU, kept.MilliCPU), MemoryMB: max(need.MemoryMB, kept.MemoryMB),
		Accelerators: max(need.Accelerators, kept.Accelerators),
	}, now}
}

// reserveFor returns the current reserve of a team; it decays with headroomHalfLife.
func (q *quotas) reserveFor(team model.TeamName, now time.Time) model.Resources {
	r, ok := q.urgentReserves[team]
	if !ok {
		return model.Resources{}
	}
	return scale(r.need, math.Exp2(-float64(now.Sub(r.at))/float64(headroomHalfLife)))
}

// allows reports whether need stays within the team's share. A unit that is larger than
// the whole share is allowed in the team's home cell while the team uses nothing else
// there; otherwise small quotas could never be used.
func (q *quotas) allows(team model.TeamName, need model.Resources, home func() bool) bool {
	share, limited := q.cellShare(team)
	if !limited {
		return true
	}
	use := q.use[team]
	if use.Add(need).Fits(share) {
		return true
	}
	quota, _ := q.total(team)
	return use.IsZero() && !need.Fits(share) && need.Fits(quota) && home()
}

// useRatio returns the fraction of its share that the team uses, in the dimension where it
// is largest.
func (q *quotas) useRatio(team model.TeamName) float64 {
	share, limited := q.cellShare(team)
	use := q.use[team]
	if !limited {
		return 0
	}
	return max(
		fraction(use.MilliCPU, share.MilliCPU), fraction(use.MemoryMB, share.MemoryMB),
		fraction(use.Accelerators, share.Accelerators),
	)
}

func fraction(use, of int64) float64 {
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

// cellWeight returns own's fraction of the processors of all cells in service. It is 0 for
// a cell whose data centre is out of service.
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
