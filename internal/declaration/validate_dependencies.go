package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// dependencies checks that depends_on lists other existing services without duplicates,
// and that the dependencies have no cycles.
func (v *validator) dependencies() {
	listed := v.decl.serviceIndex()
	for i, s := range v.decl.Services {
		seen := map[model.ServiceName]bool{}
		for j, name := range s.DependsOn {
			path := fmt.Sprintf("services[%d].depends_on[%d]", i, j)
			v.dependency(path, s.Name, name, listed)
			if seen[name] {
				v.addError(path, "remove one of them", "service %q is listed twice", name)
			}
			seen[name] = true
		}
	}
	v.cycles()
}

// dependency checks one entry of depends_on.
func (v *validator) dependency(path string, from, to model.ServiceName, listed map[model.ServiceName]*Service) {
	if from == to {
		v.addError(path, "remove the entry", "service %q depends on itself", from)
		return
	}
	if listed[to] == nil {
		v.addError(path, v.missingServiceRemedy(to), "there is no service %q", shorten(string(to)))
	}
}

// missingServiceRemedy suggests the existing service with the closest name.
func (v *validator) missingServiceRemedy(name model.ServiceName) string {
	var names []string
	for _, s := range v.decl.Services {
		names = append(names, string(s.Name))
	}
	if best := closest(string(name), names); best != "" {
		return fmt.Sprintf("did you mean %s? otherwise add the service or remove the entry", best)
	}
	return "add the service, or remove the entry"
}

// cycles records an error for each dependency cycle, at its service that is listed first.
func (v *validator) cycles() {
	search := cycleSearch{services: v.decl.serviceIndex(), done: map[model.ServiceName]bool{}, stacked: map[model.ServiceName]bool{}}
	for i, s := range v.decl.Services {
		for _, cycle := range search.from(s.Name) {
			v.addError(fmt.Sprintf("services[%d].depends_on", i), "remove one of these dependencies",
				"services depend on each other in a circle: %s", strings.Join(cycle, " -> "))
		}
	}
}

// cycleSearch is a depth-first search over depends_on. Completed services are not visited
// again, so the search is linear in the number of dependencies.
type cycleSearch struct {
	services map[model.ServiceName]*Service
	done     map[model.ServiceName]bool
	stacked  map[model.ServiceName]bool
	stack    []string
	found    [][]string
}

// from returns the cycles reachable from name that were not found before.
func (c *cycleSearch) from(name model.ServiceName) [][]string {
	c.found = nil
	c.visit(name)
	return c.found
}

func (c *cycleSearch) visit(name model.ServiceName) {
	if c.stacked[name] {
		i := slices.Index(c.stack, string(name))
		c.found = append(c.found, append(slices.Clone(c.stack[i:]), string(name)))
		return
	}
	service := c.services[name]
	if c.done[name] || service == nil {
		return
	}
	c.stack = append(c.stack, string(name))
	c.stacked[name] = true
	for _, next := range service.DependsOn {
		if next != name {
			c.visit(next)
		}
	}
	c.stack = c.stack[:len(c.stack)-1]
	c.stacked[name] = false
	c.done[name] = true
}

// serviceIndex maps names to services.
func (d *Declaration) serviceIndex() map[model.ServiceName]*Service {
	index := make(map[model.ServiceName]*Service, len(d.Services))
	for i := range d.Services {
		index[d.Services[i].Name] = &d.Services[i]
	}
	return index
}

// Dependants returns the services that depend on name directly or transitively, in the
// order of the declaration.
func (d *Declaration) Dependants(name model.ServiceName) []model.ServiceName {
	affected := map[model.ServiceName]bool{name: true}
	for grew := true; grew; {
		grew = false
		for _, s := range d.Services {
			if !affected[s.Name] && slices.ContainsFunc(s.DependsOn, func(n model.ServiceName) bool { return affected[n] }) {
				affected[s.Name] = true
				grew = true
			}
		}
	}
	var out []model.ServiceName
	for _, s := range d.Services {
		if affected[s.Name] && s.Name != name {
			out = append(out, s.Name)
		}
	}
	return out
}
