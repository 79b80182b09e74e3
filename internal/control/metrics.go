package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	sequenceDesc = prometheus.NewDesc("vpier_control_sequence",
		"Last control sequence that this node has applied.", nil, nil)
	ageDesc = prometheus.NewDesc("vpier_control_confirmed_age_seconds",
		"Time since the view was last confirmed against the store.", nil, nil)
	membersDesc = prometheus.NewDesc("vpier_control_members",
		"Members in the view.", nil, nil)
	outDesc = prometheus.NewDesc("vpier_control_data_centres_out",
		"Data centres that are out of service.", nil, nil)
	checksDesc = prometheus.NewDesc("vpier_control_store_checks_total",
		"Reads of the control journal's end, by result.", []string{"result"}, nil)
)

// Collector returns a Prometheus collector for the view and the store checks.
func (s *Store) Collector() prometheus.Collector { return collector{s} }

type collector struct{ s *Store }

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{sequenceDesc, ageDesc, membersDesc, outDesc, checksDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	v := c.s.View()
	gauge := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
	}
	gauge(sequenceDesc, float64(v.Sequence))
	gauge(ageDesc, v.Age(c.s.cfg.Now()).Round(time.Millisecond).Seconds())
	gauge(membersDesc, float64(len(v.Members)))
	gauge(outDesc, float64(len(v.Out)))
	counter := func(result string, value uint64) {
		out <- prometheus.MustNewConstMetric(checksDesc, prometheus.CounterValue, float64(value), result)
	}
	counter("ok", c.s.checksOK.Load())
	counter("failed", c.s.checksFailed.Load())
}
