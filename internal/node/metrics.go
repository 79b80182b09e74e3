package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// collector exports the gauges of the node itself. The control and ownership layers have their
// own collectors.
type collector struct {
	node *Node

	ready, members, tasks *prometheus.Desc
}

func newCollector(n *Node) *collector {
	desc := func(subsystem, name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(telemetry.Namespace, subsystem, name), help, labels, nil)
	}
	return &collector{
		node:    n,
		ready:   desc("node", "ready", "1 while the node is ready for callers."),
		members: desc("membership", "members", "Members of the control view by state.", "state"),
		tasks:   desc("cell", "tasks", "Tasks of the owned cells by state.", "cell", "state"),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.ready, c.members, c.tasks} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	ready := 0.0
	if c.node.notReady() == "" {
		ready = 1
	}
	view := c.node.control.View()
	gauge(c.ready, ready)
	suspect, suspects := 0, c.node.suspects()
	for id := range view.Members {
		if suspects[id] {
			suspect++
		}
	}
	gauge(c.members, float64(suspect), "suspect")
	gauge(c.members, float64(len(view.Members)-suspect), "live")
	for _, r := range c.node.cells.Reports() {
		gauge(c.tasks, float64(r.Queued), string(r.Summary.ID), "queued")
		gauge(c.tasks, float64(r.Live), string(r.Summary.ID), "live")
		gauge(c.tasks, float64(r.Known), string(r.Summary.ID), "known")
	}
}
