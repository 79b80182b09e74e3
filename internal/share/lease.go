package share

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Lease lends slots from one node to another, one slot for each entry of Runners.
type Lease struct {
	// ID is unique per lender.
	ID      uint64            `json:"id"`
	Lender  model.NodeID      `json:"lender"`
	Service model.ServiceName `json:"service"`
	Runners []model.RunnerID  `json:"runners"`
	// For is how long the borrower may start requests on the slots, counted from when it
	// sent its request for the lease.
	For time.Duration `json:"for"`
}

// loan is one lent or borrowed slot.
type loan struct {
	id     uint64
	lender model.NodeID
	// until is when the borrower stops starting requests, or when the lender counts the
	// slot as free again.
	until time.Time
	// requestsEndBy is when all of the borrower's requests on the slot have ended. Only the
	// borrower sets it.
	requestsEndBy time.Time
}

// slotUsage is a node's accounting of its slots at one runner.
type slotUsage struct {
	service      model.ServiceName
	held         int
	stateVersion uint64
	computedAt   time.Time
	lastUsed     time.Time
	inFlight     int
	lent         []loan
	borrowed     []loan
}

// expire drops loans that have ended.
func (a *slotUsage) expire(now time.Time) {
	a.lent = filterLoans(a.lent, func(l loan) bool { return now.Before(l.until) })
	a.borrowed = filterLoans(a.borrowed, func(l loan) bool { return now.Before(l.requestsEndBy) })
}

// filterLoans filters list in place.
func filterLoans(list []loan, ok func(loan) bool) []loan {
	kept := list[:0]
	for _, l := range list {
		if ok(l) {
			kept = append(kept, l)
		}
	}
	return kept
}

// ownSlots returns the number of held slots that are not lent.
func (a *slotUsage) ownSlots() int { return max(0, a.held-len(a.lent)) }

// limit returns the number of slots that requests may use now.
func (a *slotUsage) limit(now time.Time) int {
	n := a.held - len(a.lent)
	for _, l := range a.borrowed {
		if now.Before(l.until) {
			n++
		}
	}
	return max(0, n)
}

// withinLimits reports whether the held and borrowed slots cover the requests in flight and the
// lent slots.
func (a *slotUsage) withinLimits() bool {
	return a.inFlight+len(a.lent) <= a.held+len(a.borrowed)
}

// unused reports whether a has neither requests in flight nor lent or borrowed slots.
func (a *slotUsage) unused() bool {
	return a.inFlight == 0 && len(a.lent) == 0 && len(a.borrowed) == 0
}

// idleSlots returns the number of held slots that are neither lent nor in use.
func (a *slotUsage) idleSlots() int {
	return max(0, a.held-len(a.lent)-a.inFlight)
}

// LendAmount returns how many of free idle slots to lend to a node with waiting requests: at
// most half of them, so that the lender keeps capacity for its own callers.
func LendAmount(free, waiting int) int { return max(0, min(waiting, free/2)) }
