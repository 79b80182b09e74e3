package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// dataCentre describes a change of a data centre and its effect on the total capacity.
func (d *differ) dataCentre(c *Change, before, after *DataCentre) {
	c.Subject = "data centre"
	was, is := d.old.TotalCapacity(), d.new.TotalCapacity()
	switch {
	case before == nil:
		c.setCapacity(was.String(), is.String())
		c.Consequence = fmt.Sprintf("adds %d workers with %s; work is placed there as soon as its workers report", after.Workers(), after.Capacity())
	case after == nil:
		c.setCapacity(was.String(), is.String())
		c.Consequence = fmt.Sprintf("removes %d workers with %s; take the data centre out of service first, so that its work moves at a paced rate",
			before.Workers(), before.Capacity())
	case c.Field == "cells":
		c.Consequence = "the workers are divided anew over the cells; tasks move between cells without stopping"
	case c.Field == "region":
		c.Consequence = "changes which data centres are expected to fail together"
	default:
		c.setCapacity(was.String(), is.String())
		c.Consequence = fmt.Sprintf("%d workers with %s become %d workers with %s",
			before.Workers(), before.Capacity(), after.Workers(), after.Capacity())
	}
}

// service describes a change of a service, its effect on the slots and its dependants.
func (d *differ) service(c *Change, before, after *Service) {
	c.Subject = "service"
	c.Dependants = d.dependants(model.ServiceName(c.Name))
	was, is := slotsOf(before), slotsOf(after)
	switch {
	case before == nil:
		c.setCapacity(was, is)
		c.Consequence = fmt.Sprintf("callers can use it once its runners are listed; %s over %d runners", is, after.Runners)
	case after == nil:
		c.setCapacity(was, is)
		c.Consequence = "its callers are refused"
	case c.Field == "runners" || c.Field == "slots_per_runner":
		c.setCapacity(was, is)
		c.Consequence = slotConsequence(before.Slots(), after.Slots())
	case c.Field == "depends_on":
		c.Consequence = dependencyConsequence(before.DependsOn, after.DependsOn)
	case c.Field == "connections_per_runner":
		c.Consequence = fmt.Sprintf("all nodes together open up to %d instead of %d connections",
			after.Runners*after.ConnectionsPerRunner, before.Runners*before.ConnectionsPerRunner)
	default:
		c.Consequence = "takes effect for new requests on every node within seconds"
	}
	if len(c.Dependants) > 0 {
		c.Consequence += "; " + listAffected(c.Dependants)
	}
}

// dependants returns the dependants before or after the change, in the order of the
// declarations.
func (d *differ) dependants(name model.ServiceName) []model.ServiceName {
	out := d.old.Dependants(name)
	for _, s := range d.new.Dependants(name) {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// slotsOf formats the slots of a service, which may be nil.
func slotsOf(s *Service) string {
	if s == nil {
		return "0 slots"
	}
	return fmt.Sprintf("%d slots", s.Slots())
}

// slotConsequence describes a change of the number of slots.
func slotConsequence(before, after int) string {
	percent := 0.0
	if before > 0 {
		percent = 100 * float64(after-before) / float64(before)
	}
	switch {
	case after > before:
		return fmt.Sprintf("%d more requests run at once (%+.0f%%)", after-before, percent)
	case after < before:
		return fmt.Sprintf("%d fewer requests run at once (%+.0f%%); excess requests wait or are refused", before-after, percent)
	}
	return "the number of requests that run at once stays the same"
}

// dependencyConsequence lists the added and removed dependencies.
func dependencyConsequence(before, after []model.ServiceName) string {
	var parts []string
	for _, name := range after {
		if !slices.Contains(before, name) {
			parts = append(parts, fmt.Sprintf("needs %s from now on", name))
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			parts = append(parts, fmt.Sprintf("no longer needs %s", name))
		}
	}
	return strings.Join(parts, "; ")
}

// listAffected lists the services that a change affects.
func listAffected(names []model.ServiceName) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return "touches " + strings.Join(parts, ", ")
}

// team describes a change of a team, its quota and the sum of all quotas.
func (d *differ) team(c *Change, before, after *Team) {
	c.Subject = "team"
	c.setCapacity(quotaOf(before), quotaOf(after))
	quotaSummary := fmt.Sprintf("all quotas together are %s of %s", d.new.totalQuota(), d.new.TotalCapacity())
	switch {
	case before == nil:
		c.Consequence = "may submit work; " + quotaSummary
	case after == nil:
		c.Consequence = "its new orders are refused and its running work ends normally; " + quotaSummary
	default:
		c.Consequence = "running work is not stopped when it exceeds a lower quota; " + quotaSummary
	}
}

// quotaOf formats the quota of a team, which may be nil.
func quotaOf(t *Team) string {
	if t == nil {
		return "none"
	}
	return t.Quota.String()
}

// totalQuota returns the sum of all quotas.
func (d *Declaration) totalQuota() Capacity {
	var sum Capacity
	for _, t := range d.Teams {
		sum = sum.add(t.Quota)
	}
	return sum
}

// batchClass describes a change of a batch class.
func (d *differ) batchClass(c *Change, before, after *BatchClass) {
	c.Subject = "batch class"
	switch {
	case before == nil:
		c.Consequence = fmt.Sprintf("orders of this class are accepted; %s", d.describeTaskCapacity(after.Resources))
	case after == nil:
		c.Consequence = "new orders of this class are refused; submitted ones run to their end"
	case c.Field == "resources":
		c.Consequence = "applies to orders submitted from now on that state no resources; " + d.describeTaskCapacity(after.Resources)
	default:
		c.Consequence = "applies to orders submitted from now on"
	}
}

// describeTaskCapacity describes how many tasks of a size fit on all workers when they
// are empty.
func (d *differ) describeTaskCapacity(size Capacity) string {
	if size == (Capacity{}) {
		return "each order states its resources"
	}
	count := 0
	for _, dc := range d.new.DataCentres {
		count += dc.Workers() * tasksPerWorker(size, dc.Worker)
	}
	return fmt.Sprintf("empty workers hold %d such tasks at once", count)
}

// tasksPerWorker returns how many tasks of a size fit on an empty worker.
func tasksPerWorker(size, worker Capacity) int {
	task, free := size.Resources(), worker.Resources()
	count := int64(maxCount)
	for _, dimension := range [][2]int64{{task.MilliCPU, free.MilliCPU}, {task.MemoryMB, free.MemoryMB}, {task.Accelerators, free.Accelerators}} {
		if dimension[0] > 0 {
			count = min(count, dimension[1]/dimension[0])
		}
	}
	return int(count)
}

// setCapacity sets the capacity before and after.
func (c *Change) setCapacity(before, after string) {
	c.CapacityBefore, c.CapacityAfter = before, after
}
