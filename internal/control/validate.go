package control

import (
	"errors"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// minCheckEvery is the smallest allowed CheckEvery. It limits the rate at which the members
// together check the store.
const minCheckEvery = 100 * time.Millisecond

// Validate returns all errors of c joined, each of KindInvalid and with a remedy. Zero values
// select the defaults.
func (c Config) Validate() error {
	var faults []error
	require := func(ok bool, remedy, format string, args ...any) {
		if !ok {
			faults = append(faults, model.Errorf(model.KindInvalid, remedy, format, args...))
		}
	}
	require(c.Node != "", "set the node id", "control: no node id")
	require(c.Table != nil && c.Objects != nil, "pass the store client", "control: no store")
	require(c.Decode != nil, "pass the reader of declarations", "control: no decoder")
	d := c.withDefaults()
	require(d.CheckAge < FreshnessBound, "use an age that leaves room for one read, such as 1.7s",
		"control: check age %v is not below the freshness bound of %v", d.CheckAge, FreshnessBound)
	require(d.CheckEvery >= minCheckEvery, "use an interval such as 1s", "control: check interval %v", d.CheckEvery)
	return errors.Join(faults...)
}
