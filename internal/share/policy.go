package share

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Policy holds the durations of the slot assignment protocol.
type Policy struct {
	// Hold is how long a node may use its slots after its view was last confirmed, unless a
	// majority of members reports the same view. Default 3s.
	Hold time.Duration
	// Lend is the lease duration of a lent slot. Default 1s.
	Lend time.Duration
	// MarginPercent allows for differences in clock rate between two hosts. Default 10.
	MarginPercent int
}

// withDefaults returns p with defaults in place of zero values.
func (p Policy) withDefaults() Policy {
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

// Service holds the limits of a declared service.
type Service struct {
	Name model.ServiceName
	// Slots and Connections limit the use of one runner by all nodes together.
	Slots       int
	Connections int
	// MaxExecution is the longest time that a request may run at a runner.
	MaxExecution time.Duration
}

// withMargin lengthens d by the clock margin.
func (p Policy) withMargin(d time.Duration) time.Duration {
	return d + d*time.Duration(p.MarginPercent)/100
}

// reuseDelay returns how long the slots of a departed node are not reused. In that time its
// permission to use them ends (Hold), the leases that it granted end (Lend), and the requests
// that it sent end at the runner (maxExecution).
func (p Policy) reuseDelay(maxExecution time.Duration) time.Duration {
	return p.withMargin(p.Hold + p.Lend + maxExecution)
}

// lendDuration returns how long a lender counts a lent slot as in use unless the borrower
// returns it.
func (p Policy) lendDuration(maxExecution time.Duration) time.Duration {
	return p.withMargin(p.Lend + maxExecution)
}
