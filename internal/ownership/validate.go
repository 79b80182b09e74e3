package ownership

import (
	"errors"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// maxMargin is the largest accepted Config.Margin.
const maxMargin = 1.0

// Validate returns all errors in c at once, each as KindInvalid with the remedy. Zero values
// stand for the defaults.
func (c Config) Validate() error {
	var faults []error
	require := func(ok bool, remedy, format string, args ...any) {
		if !ok {
			faults = append(faults, model.Errorf(model.KindInvalid, remedy, format, args...))
		}
	}
	require(c.Node != "", "set the node id", "ownership: no node id")
	require(c.Addr != "", "set the address at which peers reach this node", "ownership: no address")
	require(c.Table != nil && c.Objects != nil, "pass the store client", "ownership: no store")
	require(c.Margin >= 0 && c.Margin <= maxMargin, "use a share such as 0.1", "ownership: margin %v", c.Margin)
	d := c.withDefaults()
	require(d.Lease >= time.Second, "use a lease such as 6s", "ownership: lease %v is below 1s", d.Lease)
	// An idle owner renews after each third of the lease. A standby that polls less often
	// would miss renewals and take over later than planned.
	require(d.Poll <= d.Lease/renewalsPerLease, "use a poll interval of at most a third of the lease",
		"ownership: poll interval %v for a lease of %v", d.Poll, d.Lease)
	require(d.Commit.Interval < d.Lease/renewalsPerLease, "use a group commit interval below a third of the lease",
		"ownership: group commit interval %v for a lease of %v", d.Commit.Interval, d.Lease)
	return errors.Join(faults...)
}
