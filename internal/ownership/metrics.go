package ownership

import (
	"maps"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/model"
)

var (
	ownedDesc = prometheus.NewDesc("vpier_cells_owned",
		"Cells that this node owns, by whether its lease is valid.", []string{"lease"}, nil)
	warmDesc = prometheus.NewDesc("vpier_cells_warm",
		"Cells whose state this node keeps in memory without owning them.", nil, nil)
	warmBytesDesc = prometheus.NewDesc("vpier_cells_warm_bytes",
		"Memory of the states of warm cells.", nil, nil)
	acquiredDesc = prometheus.NewDesc("vpier_cell_acquisitions_total",
		"Cells acquired by this node.", nil, nil)
	lostDesc = prometheus.NewDesc("vpier_cell_losses_total",
		"Cells that this node lost, by reason.", []string{"reason"}, nil)
)

// counters holds event counts since the start of the manager. Manager.mu guards it.
type counters struct {
	acquired int
	lost     map[string]int
}

func (m *Manager) countAcquired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.acquired++
}

func (m *Manager) countLost(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.lost[reason]++
}

// Owned returns the cells that this node owns, including those whose lease has expired but may
// still be renewed.
func (m *Manager) Owned() map[model.CellID]*Owned {
	m.mu.Lock()
	actors := m.actors()
	m.mu.Unlock()
	owned := map[model.CellID]*Owned{}
	for _, c := range actors {
		if o := c.current(); o != nil {
			owned[c.cell] = o
		}
	}
	return owned
}

// Collector returns a Prometheus collector of the manager's cells.
func (m *Manager) Collector() prometheus.Collector { return collector{m} }

type collector struct{ m *Manager }

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{ownedDesc, warmDesc, warmBytesDesc, acquiredDesc, lostDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	valid, expired := c.leases()
	warm, bytes := c.warm()
	gauge := func(d *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
	}
	gauge(ownedDesc, valid, "valid")
	gauge(ownedDesc, expired, "expired")
	gauge(warmDesc, warm)
	gauge(warmBytesDesc, bytes)
	c.m.mu.Lock()
	acquired, lost := c.m.counters.acquired, maps.Clone(c.m.counters.lost)
	c.m.mu.Unlock()
	out <- prometheus.MustNewConstMetric(acquiredDesc, prometheus.CounterValue, float64(acquired))
	for reason, n := range lost {
		out <- prometheus.MustNewConstMetric(lostDesc, prometheus.CounterValue, float64(n), reason)
	}
}

func (c collector) leases() (valid, expired int) {
	now := c.m.cfg.Now()
	for _, o := range c.m.Owned() {
		if o.LeaseValid(now) {
			valid++
		} else {
			expired++
		}
	}
	return valid, expired
}

func (c collector) warm() (cells, bytes int) {
	c.m.mu.Lock()
	actors := c.m.actors()
	c.m.mu.Unlock()
	for _, a := range actors {
		if n := a.follow.warmBytes(); n > 0 {
			cells++
			bytes += n
		}
	}
	return cells, bytes
}

// warmBytes returns the memory of the state in bytes, or 0 if f is not warm.
func (f *follower) warmBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm {
		return 0
	}
	return f.bytes
}
