package declaration

import (
	"bytes"
	"testing"
	"unicode/utf16"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// base is a valid text that the rows of TestValidationErrors extend.
const base = `version: 1
deployment: test
data_centres:
  - {name: a, racks: 1, workers_per_rack: 2, worker: {cores: 16, memory_gb: 64}}
services:
  - {name: web, runners: 2}
`

// Guards against invalid content that is accepted, and against messages that do not state
// the error.
func TestValidationErrors(t *testing.T) {
	rows := []struct{ name, add, want string }{
		{"cycle", "  - {name: x, runners: 1, depends_on: [y]}\n  - {name: y, runners: 1, depends_on: [x]}\n", "x -> y -> x"},
		{"self", "  - {name: x, runners: 1, depends_on: [x]}\n", "depends on itself"},
		{"missing", "  - {name: x, runners: 1, depends_on: [wbe]}\n", "did you mean web?"},
		{"dependency twice", "  - {name: x, runners: 1, depends_on: [web, web]}\n", "listed twice"},
		{"service twice", "  - {name: web, runners: 1}\n", `service "web" is listed twice`},
		{"name", "  - {name: Web Shop, runners: 1}\n", "not a valid name"},
		{"runners", "  - {name: x}\n", "services[1].runners: 0 is out of range"},
		{"connections", "  - {name: x, runners: 1, connections_per_runner: 4}\n", "cannot keep 8 slots busy"},
		{"timeout", "  - {name: x, runners: 1, default_timeout: 1ms}\n", "shorter than the target"},
		{"quota", "teams:\n  - {name: t, quota: {cores: 33, memory_gb: 1}}\n", "exceeds all workers together (32 cores, 128 GB)"},
		{"quotas", "teams:\n  - {name: t, quota: {cores: 20, memory_gb: 1}}\n  - {name: u, quota: {cores: 20, memory_gb: 1}}\n", "add up to 40 cores"},
		{"class", "batch_classes:\n  - {name: c, resources: {cores: 17}}\n", "no worker can hold"},
		{"class over quota", "batch_classes:\n  - {name: c, resources: {cores: 9}}\nteams:\n  - {name: t, quota: {cores: 8, memory_gb: 8}}\n", "quota of every team"},
		{"nan", "teams:\n  - {name: t, quota: {cores: .nan, memory_gb: 1}}\n", "expected a number, found .nan"},
		{"negative", "limits: {evictions_per_minute: -1}\n", "-1 is out of range"},
		{"urgency", "batch_classes:\n  - {name: c, urgency: now}\n", `unknown urgency "now"`},
		{"field twice", "deployment: again\n", "already given in line 2"},
		{"anchor", "limits: &l {}\n", "anchor or alias"},
		{"two documents", "---\nversion: 1\n", "more than one YAML document"},
		{"syntax", "services: [\n", "not valid YAML"},
		{"equipment", "limits: {}\n", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Check("f.yaml", []byte(base+row.add))
			if row.want == "" {
				require.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, row.want)
			assert.ErrorContains(t, err, "(remedy: ")
			var errs ValidationErrors
			require.ErrorAs(t, err, &errs)
			assert.Len(t, errs, 1, "each error is reported once")
		})
	}
}

// Guards against an error of content that hides another one in the same field.
func TestErrorsDoNotHideEachOther(t *testing.T) {
	_, err := Check("f", []byte(base+"  - {name: x, runners: 1, depends_on: [y, y]}\n  - {name: y, runners: 1, depends_on: [x]}\n"))
	assert.ErrorContains(t, err, "listed twice")
	assert.ErrorContains(t, err, "x -> y -> x")
}

// Guards against passing texts that are not declarations to the YAML parser, and against a
// parser that hangs or crashes on them.
func TestEncodings(t *testing.T) {
	wide := []byte{0xFF, 0xFE}
	for _, unit := range utf16.Encode([]rune(base)) {
		wide = append(wide, byte(unit), byte(unit>>8))
	}
	rows := []struct {
		name string
		text []byte
		want string
	}{
		{"empty", nil, "empty"},
		{"blank", []byte(" \n\t\n"), "empty"},
		{"comments", []byte("# nothing\n"), "only comments"},
		{"UTF-16", wide, "UTF-16"},
		{"Latin-1", []byte("version: 1\ndeployment: caf\xe9\n"), "f:2:16: byte 0xE9"},
		{"binary", []byte("\x7fELF\x02\x00"), "binary"},
		{"too large", bytes.Repeat([]byte("a"), MaxBytes+1), "the limit is"},
		{"one long line", bytes.Repeat([]byte("a"), MaxBytes/100), "expected fields"},
		{"nested lists", bytes.Repeat([]byte("["), MaxBytes/100), "nested more than 32 deep"},
		{"nested entries", bytes.Repeat([]byte("- "), MaxBytes/100), "indented by more than 200"},
		{"prose", []byte("Dear board,\n"), "f:1:1: expected fields"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Check("f", row.text)
			assert.ErrorContains(t, err, row.want)
		})
	}
	_, err := Check("bom", append(bytes.Clone(utf8BOM), base...))
	assert.NoError(t, err, "a UTF-8 byte order mark is allowed")
}

// Guards against a digest that changes with spelling or ignores a value.
func TestDigest(t *testing.T) {
	want := Digest([]byte(base))
	require.Len(t, want, 64)
	same := `# comment
deployment: "test"
version: 1
services:
  - runners: 2
    name: web
data_centres:
  - {worker: {memory_gb: 64.0, cores: 16.0}, name: a, workers_per_rack: 2, racks: 1}
`
	assert.Equal(t, want, Digest([]byte(same)))
	assert.NotEqual(t, want, Digest([]byte(base+"limits: {evictions_per_minute: 6}\n")), "a written default counts")
	assert.NotEqual(t, want, Digest([]byte(base+"  - {name: x, runners: 1}\n")))
	assert.Empty(t, Digest([]byte("version: [")))
	zero := Digest([]byte(base + "  - {name: x, runners: 1, retry_budget_percent: 0}\n"))
	assert.NotEqual(t, zero, Digest([]byte(base+"  - {name: x, runners: 1}\n")), "an explicit zero counts")
}

// Guards against a cycle search or a list of dependants that is wrong for some dependency
// graph.
func TestDependantsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawServices(t)
		for _, s := range d.Services {
			for _, dependant := range d.Dependants(s.Name) {
				found := false
				for _, need := range d.serviceIndex()[dependant].DependsOn {
					found = found || need == s.Name
					for _, other := range d.Dependants(s.Name) {
						found = found || need == other
					}
				}
				if !found {
					t.Fatalf("%s does not need %s", dependant, s.Name)
				}
			}
		}
		v := &validator{decl: d}
		v.cycles()
		if hasCycle := len(v.errs) > 0; hasCycle != reachesItself(d) {
			t.Fatalf("cycle reported: %v, errors %v", hasCycle, v.errs)
		}
	})
}
