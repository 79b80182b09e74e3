package storeclient

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Metrics counts the operations of one node and measures their durations. Its Observe method
// is intended for Config.Observe. It is safe for concurrent use.
type Metrics struct {
	operations *prometheus.CounterVec
	waited     *prometheus.HistogramVec
	took       *prometheus.HistogramVec
}

// NewMetrics registers the metrics of the store client with r. It returns the error of the
// registration, for example when r already contains a metric of the same name.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 14)
	m := &Metrics{
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vpier_store_operations_total",
			Help: "Operations that were sent to the store, by name, priority and kind of error.",
		}, []string{"operation", "priority", "kind"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vpier_store_budget_wait_seconds", Help: "Time that an operation waited for its budget.", Buckets: buckets,
		}, []string{"priority"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vpier_store_operation_seconds", Help: "Time of an operation on the wire.", Buckets: buckets,
		}, []string{"operation"}),
	}
	for _, c := range []prometheus.Collector{m.operations, m.waited, m.took} {
		if err := r.Register(c); err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "register the store metrics once", "store metrics")
		}
	}
	return m, nil
}

// Observe records one operation.
func (m *Metrics) Observe(op Operation) {
	m.operations.WithLabelValues(op.Name, op.Priority.String(), string(op.Kind)).Inc()
	m.waited.WithLabelValues(op.Priority.String()).Observe(op.Waited.Seconds())
	m.took.WithLabelValues(op.Name).Observe(op.Took.Seconds())
}

// String returns the name of p in metrics and logs.
func (p Priority) String() string {
	switch p {
	case PriorityFence:
		return "fence"
	case PriorityInteractive:
		return "interactive"
	case PriorityJournal:
		return "journal"
	case PriorityBulk:
		return "bulk"
	}
	return "invalid"
}
