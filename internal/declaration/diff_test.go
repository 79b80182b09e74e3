package declaration

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

func drawServices(t *rapid.T) *Declaration {
	names := []model.ServiceName{"a", "b", "c", "d", "e"}
	d := &Declaration{}
	for _, name := range names {
		needs := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, string(name))
		var others []model.ServiceName
		for _, n := range needs {
			if n != name {
				others = append(others, n)
			}
		}
		d.Services = append(d.Services, Service{Name: name, DependsOn: others, Runners: rapid.IntRange(1, 9).Draw(t, "runners")})
	}
	d.Provision()
	return d
}

// reachesItself reports whether a dependency cycle exists, by computing the transitive
// closure.
func reachesItself(d *Declaration) bool {
	reach := map[[2]model.ServiceName]bool{}
	for range d.Services {
		for _, s := range d.Services {
			for _, n := range s.DependsOn {
				reach[[2]model.ServiceName{s.Name, n}] = true
				for _, t := range d.Services {
					if reach[[2]model.ServiceName{n, t.Name}] {
						reach[[2]model.ServiceName{s.Name, t.Name}] = true
					}
				}
			}
		}
	}
	for _, s := range d.Services {
		if reach[[2]model.ServiceName{s.Name, s.Name}] {
			return true
		}
	}
	return false
}

func parse(t *testing.T, text string) *Declaration {
	doc, err := Parse("t", []byte(text))
	require.NoError(t, err)
	return doc.Declaration
}

// Guards against a diff that reports text lines instead of services, dependants and
// capacity, or that leaves out a consequence.
func TestDiff(t *testing.T) {
	old := parse(t, base+"  - {name: shop, runners: 1, depends_on: [web]}\n"+
		"teams:\n  - {name: t, quota: {cores: 8, memory_gb: 8}}\nbatch_classes:\n  - {name: c, resources: {cores: 2}}\n")
	changed := parse(t, `version: 1
deployment: test
data_centres:
  - {name: a, racks: 2, workers_per_rack: 2, worker: {cores: 16, memory_gb: 64}}
services:
  - {name: shop, runners: 1, depends_on: [web]}
  - {name: web, runners: 3}
batch_classes:
  - {name: c, resources: {cores: 4}}
limits: {evictions_per_minute: 9}
`)
	changes := Diff(old, changed)
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String()+" | "+c.Consequence)
	}
	assert.Equal(t, []string{
		"data centre a: racks 1 -> 2 | 2 workers with 32 cores, 128 GB become 4 workers with 64 cores, 256 GB",
		"service web: runners 2 -> 3 | 8 more requests run at once (+50%); touches shop",
		"team t removed | its new orders are refused and its running work ends normally; all quotas together are 0 cores, 0 GB of 64 cores, 256 GB",
		"batch class c: resources 2 cores, 0 GB -> 4 cores, 0 GB | applies to orders submitted from now on that state no resources; empty workers hold 16 such tasks at once",
		"limits: evictions_per_minute 6 -> 9 | takes effect on every node within seconds",
	}, lines)
	assert.Equal(t, []model.ServiceName{"shop"}, changes[1].Dependants)
	assert.Equal(t, "16 slots", changes[1].CapacityBefore)
	assert.Equal(t, "24 slots", changes[1].CapacityAfter)
	assert.Len(t, Diff(nil, changed), 6, "everything is added before the first acceptance")
}

// Guards against a non-empty diff of equal declarations, and against counting the order of
// entries as a change.
func TestDiffProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawServices(t), drawServices(t)
		if len(Diff(a, a)) != 0 {
			t.Fatal("a declaration differs from itself")
		}
		shuffled := &Declaration{Services: rapid.Permutation(a.Services).Draw(t, "order"), Limits: a.Limits}
		if changes := Diff(a, shuffled); len(changes) != 0 {
			t.Fatalf("order counts as a change: %v", changes)
		}
		if len(Diff(a, b)) != len(Diff(b, a)) {
			t.Fatal("the two directions differ in number")
		}
	})
}

// FuzzCheck guards against a parser that crashes, and against a text that passes Check but
// has no digest or a different one when it is parsed again.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{minimal, base, "a: &x [*x]\n", "services: [{name: }]", "? a\n: b\n", "- - -", "version: !!int 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Check("fuzz", text)
		if err != nil {
			if model.KindOf(err) != model.KindInvalid {
				t.Fatalf("error without the kind invalid: %v", err)
			}
			return
		}
		if doc.Digest == "" || doc.Digest != Digest(text) {
			t.Fatalf("digest %q is not stable", doc.Digest)
		}
	})
}
