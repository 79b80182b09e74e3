package declaration

import (
	"fmt"
	"strconv"
	"strings"
)

// Workers returns the number of workers that the data centre is expected to have.
func (dc DataCentre) Workers() int { return dc.Racks * dc.WorkersPerRack }

// Capacity returns the capacity of all workers of the data centre.
func (dc DataCentre) Capacity() Capacity { return dc.Worker.times(dc.Workers()) }

// Slots returns the number of requests that all runners execute at once.
func (s Service) Slots() int { return s.Runners * s.SlotsPerRunner }

// TotalCapacity returns the capacity of all workers of all data centres.
func (d *Declaration) TotalCapacity() Capacity {
	var total Capacity
	for _, dc := range d.DataCentres {
		total = total.add(dc.Capacity())
	}
	return total
}

// add returns the sum of c and o.
func (c Capacity) add(o Capacity) Capacity {
	return Capacity{Cores: c.Cores + o.Cores, MemoryGB: c.MemoryGB + o.MemoryGB, Accelerators: c.Accelerators + o.Accelerators}
}

// times returns n times c.
func (c Capacity) times(n int) Capacity {
	return Capacity{Cores: c.Cores * float64(n), MemoryGB: c.MemoryGB * float64(n), Accelerators: c.Accelerators * int64(n)}
}

// fits reports whether c is at most free in every dimension. It compares whole units,
// so that rounding errors in a sum of fractions have no effect.
func (c Capacity) fits(free Capacity) bool { return c.Resources().Fits(free.Resources()) }

// String formats c for messages, for example "64 cores, 250 GB".
func (c Capacity) String() string {
	s := fmt.Sprintf("%s cores, %s GB", decimal(c.Cores), decimal(c.MemoryGB))
	if c.Accelerators != 0 {
		s += fmt.Sprintf(", %d accelerators", c.Accelerators)
	}
	return s
}

// decimal formats f without an exponent and without trailing zeros.
func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// capacity checks quotas and batch classes against the capacity of the workers. It is
// skipped when a data centre states no equipment, because the total is then unknown.
func (v *validator) capacity() {
	for _, dc := range v.decl.DataCentres {
		if dc.Workers() == 0 {
			return
		}
	}
	if len(v.decl.DataCentres) == 0 {
		return
	}
	v.quotas()
	v.classSizes()
}

// quotas checks each quota and their sum against the capacity of all workers.
func (v *validator) quotas() {
	total := v.decl.TotalCapacity()
	var quotaSum Capacity
	anyTooLarge := false
	for i, t := range v.decl.Teams {
		quotaSum = quotaSum.add(t.Quota)
		if !t.Quota.fits(total) {
			anyTooLarge = true
			v.addError(fmt.Sprintf("teams[%d].quota", i), "lower the quota",
				"the quota of team %q (%s) exceeds all workers together (%s)", t.Name, t.Quota, total)
		}
	}
	if !anyTooLarge && !quotaSum.fits(total) {
		v.addError("teams", "lower the quotas, or add workers",
			"the quotas add up to %s, but all workers together have %s", quotaSum, total)
	}
}

// classSizes checks that one task of each class fits on a worker and in a quota.
func (v *validator) classSizes() {
	for i, c := range v.decl.BatchClasses {
		path := fmt.Sprintf("batch_classes[%d].resources", i)
		if !v.decl.fitsAnyWorker(c.Resources) {
			v.addError(path, "lower the resources of the class to what one worker has",
				"a task of class %q needs %s, which no worker can hold: %s", c.Name, c.Resources, v.decl.workerSizes())
			continue
		}
		if len(v.decl.Teams) > 0 && !v.decl.fitsAnyQuota(c.Resources) {
			v.addError(path, "lower the resources of the class, or raise a quota",
				"a task of class %q needs %s, more than the quota of every team", c.Name, c.Resources)
		}
	}
}

// fitsAnyWorker reports whether c fits on a worker of at least one data centre.
func (d *Declaration) fitsAnyWorker(c Capacity) bool {
	for _, dc := range d.DataCentres {
		if c.fits(dc.Worker) {
			return true
		}
	}
	return false
}

// fitsAnyQuota reports whether c fits in the quota of at least one team.
func (d *Declaration) fitsAnyQuota(c Capacity) bool {
	for _, t := range d.Teams {
		if c.fits(t.Quota) {
			return true
		}
	}
	return false
}

// workerSizes lists the capacity of a worker in each data centre.
func (d *Declaration) workerSizes() string {
	var sizes []string
	for _, dc := range d.DataCentres {
		sizes = append(sizes, fmt.Sprintf("%s has %s", dc.Name, dc.Worker))
	}
	return strings.Join(sizes, "; ")
}
