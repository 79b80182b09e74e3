package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// collector computes the node's gauges when they are read.
type collector struct {
	node *Node

	ready, sequence, age, members, cells, tasks *prometheus.Desc
}

func newCollector(n *Node) *collector {
	desc := func(subsystem, name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(telemetry.Namespace, subsystem, name), help, labels, nil)
	}
	return &collector{
		node:     n,
		ready:    desc("node", "ready", "1 while the node is ready for callers."),
		sequence: desc("control", "sequence", "Last applied sequence of the control journal."),
		age:      desc("control", "confirmed_age_seconds", "Time since the control view was last confirmed."),
		members:  desc("membership", "members", "Members of the control view by state.", "state"),
		cells:    desc("cell", "owned", "Cells that this node owns."),
		tasks:    desc("cell", "tasks", "Tasks of the owned cells by state.", "cell", "state"),
	}
}

// Describe sends the descriptions of all gauges.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.ready, c.sequence, c.age, c.members, c.cells, c.tasks} {
		ch <- d
	}
}

// Collect sends the present values.
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
	gauge(c.sequence, float64(view.Sequence))
	gauge(c.age, confirmedAge(view, time.Now()).Seconds())
	suspect := 0
	for id := range view.Members {
		if c.node.suspected(id) {
			suspect++
		}
	}
	gauge(c.members, float64(suspect), "suspect")
	gauge(c.members, float64(len(view.Members)-suspect), "live")
	gauge(c.cells, float64(len(c.node.cells.Epochs())))
	for _, r := range c.node.cells.Reports() {
		gauge(c.tasks, float64(r.Queued), string(r.Summary.ID), "queued")
		gauge(c.tasks, float64(r.Live), string(r.Summary.ID), "live")
		gauge(c.tasks, float64(r.Known), string(r.Summary.ID), "known")
	}
}
