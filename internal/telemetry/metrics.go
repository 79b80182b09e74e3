package telemetry

import (
	"errors"
	"net/http"
	"runtime"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace is the prefix of every metric name.
const Namespace = "vpier"

// Histogram buckets, in the unit of the metric.
var (
	// LatencyBuckets covers 0.5 ms to 16 s, in seconds.
	LatencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)
	// SizeBuckets covers 64 B to 4 MiB, in bytes.
	SizeBuckets = prometheus.ExponentialBuckets(64, 4, 9)
)

// Metrics creates and serves the metrics of one node. A nil *Metrics creates metrics that are
// not registered, for tests and tools.
type Metrics struct {
	registry *prometheus.Registry
}

// NewMetrics returns a Metrics with the metrics of the process, the Go runtime and the build.
func NewMetrics(version string) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Gauge("", "build_info", "Version of the build; the value is always 1.", "version", "go_version").
		WithLabelValues(version, runtime.Version()).Set(1)
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}

// Registry returns the registry, for collectors that compute values on demand.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Counter returns the counter vpier_<subsystem>_<name>. name ends in _total.
func (m *Metrics) Counter(subsystem, name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: Namespace, Subsystem: subsystem, Name: name, Help: help}
	return register(m, prometheus.NewCounterVec(opts, labels))
}

// Gauge returns the gauge vpier_<subsystem>_<name>.
func (m *Metrics) Gauge(subsystem, name, help string, labels ...string) *prometheus.GaugeVec {
	opts := prometheus.GaugeOpts{Namespace: Namespace, Subsystem: subsystem, Name: name, Help: help}
	return register(m, prometheus.NewGaugeVec(opts, labels))
}

// Histogram returns the histogram vpier_<subsystem>_<name>. name ends in the unit, such as
// _seconds or _bytes.
func (m *Metrics) Histogram(subsystem, name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: Namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: buckets}
	return register(m, prometheus.NewHistogramVec(opts, labels))
}

// register registers c, or returns the metric already registered under the same name, because
// the cells of a node share their metrics. It panics when a name is used with different
// labels, which is a programming error.
func register[C prometheus.Collector](m *Metrics, c C) C {
	if m == nil {
		return c
	}
	err := m.registry.Register(c)
	var already prometheus.AlreadyRegisteredError
	if errors.As(err, &already) {
		if existing, ok := already.ExistingCollector.(C); ok {
			return existing
		}
	}
	if err != nil {
		panic(err)
	}
	return c
}
