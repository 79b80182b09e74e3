package declaration

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

const minimal = `
version: 1
deployment: test
data_centres:
  - name: a
    racks: 2
    workers_per_rack: 2
    worker: {cores: 16, memory_gb: 62.5}
services:
  - name: web # comment
    runners: 4
    retry_budget_percent: 0
teams:
  - {name: t, quota: {cores: 8, memory_gb: 16}}
batch_classes:
  - name: bulk-run
`

// Guards against missing defaults and against defaults that replace an explicit zero.
func TestParseProvisions(t *testing.T) {
	doc, err := Check("minimal.yaml", []byte(minimal))
	require.NoError(t, err)
	d := doc.Declaration
	assert.Equal(t, 1, d.DataCentres[0].Cells)
	assert.Equal(t, 62.5, d.DataCentres[0].Worker.MemoryGB)
	assert.Equal(t, 8, d.Services[0].SlotsPerRunner)
	assert.Equal(t, 0, *d.Services[0].RetryBudgetPercent)
	assert.Equal(t, "normal", d.BatchClasses[0].Urgency)
	assert.Equal(t, "72h0m0s", d.Limits.ClaimRetention.D().String())
}

// Guards against stopping at the first error and against wrong error positions.
func TestCheckReportsAllErrors(t *testing.T) {
	text := `version: 1
deployment: 7
data_centres:
  - name: a
    cels: 2
  - name: a
services:
  - name: web
    runners: many
    target_p99: 5
`
	_, err := Check("f.yaml", []byte(text))
	var errs ValidationErrors
	require.True(t, errors.As(err, &errs))
	assert.Equal(t, model.KindInvalid, model.KindOf(err))
	type at struct {
		line, column int
		path         string
	}
	var got []at
	for _, f := range errs {
		got = append(got, at{f.Line, f.Column, f.Path})
		assert.NotEmpty(t, f.Remedy)
	}
	assert.Equal(t, []at{
		{2, 13, "deployment"},
		{5, 5, "data_centres[0].cels"},
		{6, 5, "data_centres[1].name"},
		{9, 14, "services[0].runners"},
		{10, 17, "services[0].target_p99"},
	}, got)
}
