package declaration

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	// ChangeAdded means that the subject is new.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved means that the subject was removed.
	ChangeRemoved ChangeKind = "removed"
	// ChangeModified means that one field of the subject differs.
	ChangeModified ChangeKind = "modified"
)

// Change is one difference between two declarations and its consequence.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject is deployment, data centre, service, team, batch class or limits.
	Subject string `json:"subject"`
	// Name is the name of the subject, if any.
	Name string `json:"name,omitempty"`
	// Field is the field that differs; empty when the whole subject was added
	// or removed.
	Field string `json:"field,omitempty"`
	// Before and After are the values of the field.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Dependants are the services that depend on a changed service, directly or
	// transitively, before or after the change.
	Dependants []model.ServiceName `json:"dependants,omitempty"`
	// CapacityBefore and CapacityAfter are the affected capacity: the slots of a
	// service, the total of all workers for a data centre, the quota of a team.
	CapacityBefore string `json:"capacity_before,omitempty"`
	CapacityAfter  string `json:"capacity_after,omitempty"`
	// Consequence describes the effect of the change.
	Consequence string `json:"consequence"`
}

// String returns the change on one line, without its consequence.
func (c Change) String() string {
	s := c.Subject
	if c.Name != "" {
		s += " " + c.Name
	}
	if c.Field == "" {
		return s + " " + string(c.Kind)
	}
	return fmt.Sprintf("%s: %s %s -> %s", s, c.Field, c.Before, c.After)
}

// Diff compares two provisioned declarations in terms of services, dependants and
// capacity. The order of entries does not matter. A nil declaration, as before the first
// acceptance, counts as empty.
func Diff(old, new *Declaration) []Change {
	d := differ{old: orEmpty(old), new: orEmpty(new)}
	d.header()
	compareEntries(&d, d.old.DataCentres, d.new.DataCentres, d.dataCentre)
	compareEntries(&d, d.old.Services, d.new.Services, d.service)
	compareEntries(&d, d.old.Teams, d.new.Teams, d.team)
	compareEntries(&d, d.old.BatchClasses, d.new.BatchClasses, d.batchClass)
	for _, field := range changedFields(d.old.Limits, d.new.Limits) {
		field.Subject = "limits"
		field.Consequence = "takes effect on every node within seconds"
		d.changes = append(d.changes, field)
	}
	return d.changes
}

// orEmpty returns d, or an empty declaration when d is nil.
func orEmpty(d *Declaration) *Declaration {
	if d != nil {
		return d
	}
	empty := &Declaration{}
	empty.Provision()
	return empty
}

// differ collects the changes between two declarations.
type differ struct {
	old, new *Declaration
	changes  []Change
}

// header compares the fields outside the lists.
func (d *differ) header() {
	if d.old.Deployment == d.new.Deployment {
		return
	}
	change := Change{
		Kind: ChangeModified, Subject: "deployment", Field: "deployment",
		Before: quote(d.old.Deployment), After: quote(d.new.Deployment),
		Consequence: "renames the deployment in logs and reports; check that the text is meant for this deployment",
	}
	if d.old.Deployment == "" {
		change.Consequence = "is the first declaration of this deployment"
	}
	d.changes = append(d.changes, change)
}

// namedEntry is the type of an entry in a list of the declaration.
type namedEntry interface {
	DataCentre | Service | Team | BatchClass
}

// compareEntries appends the changes of a list. The function explain sets subject,
// capacity and consequence. Its before is nil when the entry was added, and its after is
// nil when the entry was removed.
func compareEntries[E namedEntry](d *differ, before, after []E, explain func(c *Change, before, after *E)) {
	was, is := indexEntries(before), indexEntries(after)
	for i := range before {
		if is[entryName(before[i])] == nil {
			d.add(Change{Kind: ChangeRemoved, Name: entryName(before[i])}, func(c *Change) { explain(c, &before[i], nil) })
		}
	}
	for i := range after {
		old := was[entryName(after[i])]
		if old == nil {
			d.add(Change{Kind: ChangeAdded, Name: entryName(after[i])}, func(c *Change) { explain(c, nil, &after[i]) })
			continue
		}
		for _, change := range changedFields(*old, after[i]) {
			change.Name = entryName(after[i])
			d.add(change, func(c *Change) { explain(c, old, &after[i]) })
		}
	}
}

// add completes a change with explain and appends it.
func (d *differ) add(c Change, explain func(*Change)) {
	explain(&c)
	d.changes = append(d.changes, c)
}

// entryName returns the name of an entry.
func entryName[E namedEntry](e E) string { return reflect.ValueOf(e).FieldByName("Name").String() }

// indexEntries maps names to entries.
func indexEntries[E namedEntry](list []E) map[string]*E {
	index := make(map[string]*E, len(list))
	for i := range list {
		index[entryName(list[i])] = &list[i]
	}
	return index
}

// changedFields returns a Change for each field that differs between two
// structs of the same type.
func changedFields(before, after any) []Change {
	var out []Change
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		was, is := format(b.Field(i)), format(a.Field(i))
		if was != is {
			out = append(out, Change{Kind: ChangeModified, Field: yamlName(b.Type().Field(i)), Before: was, After: is})
		}
	}
	return out
}

// format formats a field value. Lists are sorted, so that their order does not count as a
// change.
func format(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case *int:
		if x == nil {
			return "not set"
		}
		return fmt.Sprint(*x)
	case Duration:
		return x.D().String()
	case []model.ServiceName:
		names := make([]string, len(x))
		for i, n := range x {
			names[i] = string(n)
		}
		slices.Sort(names)
		return "[" + strings.Join(names, ", ") + "]"
	}
	if v.Kind() == reflect.String {
		return quote(v.String())
	}
	return fmt.Sprint(v.Interface())
}

// quote returns s, or a pair of quotes when s is empty.
func quote(s string) string {
	if s == "" {
		return `""`
	}
	return s
}
