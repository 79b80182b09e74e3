package share

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Policy holds the times of the share protocol.
type Policy struct {
	// Hold is how long a node may use its slots after its view was last confirmed.
	// Default 3s.
	Hold time.Duration
	// Lend is the lease of a lent slot. Default 1s.
	Lend time.Duration
	// MarginPercent covers the difference of clock rates between two hosts. Default 10.
	MarginPercent int
}

// provision fills in defaults.
func (p Policy) provision() Policy {
	if p.Hold == 0 {
		p.Hold = 3 * time.Second
	}
	if p.Lend == 0 {
		p.Lend = time.Second
	}
	if p.MarginPercent == 0 {
		p.MarginPercent = 10
	}
	return p
}

// Service is what the division needs to know of a declared service.
type Service struct {
	Name model.ServiceName
	// Slots and Connections bound one runner over all nodes.
	Slots       int
	Connections int
	// Execution is the longest time that a request may run at a runner.
	Execution time.Duration
}

// withMargin lengthens d by the clock margin.
func (p Policy) withMargin(d time.Duration) time.Duration {
	return d + d*time.Duration(p.MarginPercent)/100
}

// takeWait returns how long a departed node's slots rest. In that time its own
// permission ends (Hold), leases that it granted end (Lend), and the requests
// that it sent end at the runner (Execution).
func (p Policy) takeWait(execution time.Duration) time.Duration {
	return p.withMargin(p.Hold + p.Lend + execution)
}

// lentFor returns how long a lender counts a lent slot as used unless it is
// returned.
func (p Policy) lentFor(execution time.Duration) time.Duration {
	return p.withMargin(p.Lend + execution)
}
