package share

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Lease is a loan of slots, one for each entry of Runners.
type Lease struct {
	// ID is unique at the lender.
	ID      uint64            `json:"id"`
	Lender  model.NodeID      `json:"lender"`
	Service model.ServiceName `json:"service"`
	Runners []model.RunnerID  `json:"runners"`
	// For is how long the borrower may start requests, from when it sent its request.
	For time.Duration `json:"for"`
}

// loan is one slot that is lent or borrowed.
type loan struct {
	id     uint64
	lender model.NodeID
	// until is when a borrower stops starting requests, or when a lender counts the
	// slot as free again.
	until time.Time
	// covered is when the borrower's requests on the slot have ended.
	covered time.Time
}

// account is what a node knows of its use of one runner.
type account struct {
	service  model.ServiceName
	held     int
	version  uint64
	at       time.Time
	touched  time.Time
	inFlight int
	lent     []loan
	borrowed []loan
}

// expire drops loans that have ended.
func (a *account) expire(now time.Time) {
	a.lent = keep(a.lent, func(l loan) bool { return now.Before(l.until) })
	a.borrowed = keep(a.borrowed, func(l loan) bool { return now.Before(l.covered) })
}

// keep filters in place.
func keep(list []loan, ok func(loan) bool) []loan {
	kept := list[:0]
	for _, l := range list {
		if ok(l) {
			kept = append(kept, l)
		}
	}
	return kept
}

// own returns the held slots that are not lent.
func (a *account) own() int { return max(0, a.held-len(a.lent)) }

// limit returns the slots that new requests may use now.
func (a *account) limit(now time.Time) int {
	n := a.held - len(a.lent)
	for _, l := range a.borrowed {
		if now.Before(l.until) {
			n++
		}
	}
	return max(0, n)
}

// within reports whether requests in execution and lent slots are covered by what
// the node holds and has borrowed.
func (a *account) within() bool {
	return a.inFlight+len(a.lent) <= a.held+len(a.borrowed)
}

// unused reports whether a carries nothing that must be remembered.
func (a *account) unused() bool {
	return a.inFlight == 0 && len(a.lent) == 0 && len(a.borrowed) == 0
}

// spare returns the own slots that are idle and not lent.
func (a *account) spare() int {
	return max(0, a.held-len(a.lent)-a.inFlight)
}

// LendAmount returns how many of free idle slots to lend to a node with waiting
// requests: half of them, so that the lender keeps room for its own callers.
func LendAmount(free, waiting int) int { return max(0, min(waiting, free/2)) }
