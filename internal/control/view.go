// Package control implements the control journal, which records declarations, the service
// state of data centres and the members. Every node holds a View of it whose sequence never
// decreases.
package control

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Member is a node that has joined and has neither left nor been removed.
type Member struct {
	ID         model.NodeID     `json:"id" cbor:"1,keyasint"`
	Addr       string           `json:"addr" cbor:"2,keyasint"`
	DataCentre model.DataCentre `json:"data_centre" cbor:"3,keyasint"`
	// Since is the control sequence of the join record.
	Since uint64 `json:"since" cbor:"4,keyasint"`
}

// View is an immutable snapshot of the state of the control journal at a sequence. A new
// View replaces the old one; fields are never changed in place.
type View struct {
	// Sequence is the last applied control sequence, or 0 when nothing was applied.
	Sequence uint64
	// ConfirmedAt is the latest local monotonic time at which the store is known, directly
	// or through a peer, to have held no later record.
	ConfirmedAt time.Time
	// Declaration is the accepted declaration, or nil before the first one.
	Declaration *declaration.Declaration
	// Digest identifies the accepted declaration's text.
	Digest string
	// AcceptedSequence is the control sequence of the record that accepted it.
	AcceptedSequence uint64
	// Out maps each data centre that is out of service to the sequence of the record that
	// took it out.
	Out map[model.DataCentre]uint64
	// Members holds the current members by ID.
	Members map[model.NodeID]Member
	// MembersSequence is the sequence of the last record that changed Members.
	MembersSequence uint64
}

// NeverConfirmed is the age of a view that has not been confirmed yet. Durations can be added
// to it without overflow.
const NeverConfirmed = 365 * 24 * time.Hour

// Age returns the time since v was last confirmed against the store, or NeverConfirmed.
func (v *View) Age(now time.Time) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return NeverConfirmed
	}
	return min(now.Sub(v.ConfirmedAt), NeverConfirmed)
}

// IsOut reports whether operators have taken dc out of service.
func (v *View) IsOut(dc model.DataCentre) bool {
	_, out := v.Out[dc]
	return out
}
