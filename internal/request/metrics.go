package request

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// metrics holds the chain's collectors.
type metrics struct {
	responses *prometheus.CounterVec
	latency   *prometheus.HistogramVec
}

// newMetrics registers the collectors with reg.
func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vpier_requests_total", Help: "Requests answered, by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vpier_request_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
	}
	err := errors.Join(reg.Register(m.responses), reg.Register(m.latency))
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "use one registry for each chain", "register request metrics")
	}
	return m, nil
}

// countResponse counts one response.
func (m *metrics) countResponse(svc model.ServiceName, outcome, reason string) {
	m.responses.WithLabelValues(string(svc), outcome, reason).Inc()
}

// observeLatency records the latency of one request.
func (m *metrics) observeLatency(svc model.ServiceName, d time.Duration) {
	m.latency.WithLabelValues(string(svc)).Observe(d.Seconds())
}
