package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against metrics that are counted but not served under their full name, and against an
// error when a second cell of a node registers the same metric.
func TestMetricsAreServed(t *testing.T) {
	m := NewMetrics("v1")
	for range 2 {
		m.Counter("dispatch", "commands_total", "Commands.", "result").WithLabelValues("ok").Inc()
	}
	m.Histogram("dispatch", "command_seconds", "Time.", LatencyBuckets).WithLabelValues().Observe(1)
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, rec.Code)
	for _, want := range []string{
		`vpier_dispatch_commands_total{result="ok"} 2`, `vpier_dispatch_command_seconds_count 1`,
		`vpier_build_info{go_version=`, "go_goroutines",
	} {
		require.Contains(t, rec.Body.String(), want)
	}
	require.Panics(t, func() { m.Counter("dispatch", "commands_total", "Commands.", "other") })
}

// Guards against a panic in tools that have no registry.
func TestNilMetricsAreUsable(t *testing.T) {
	var m *Metrics
	require.NotPanics(t, func() { m.Gauge("a", "b", "c").WithLabelValues().Set(1) })
}
