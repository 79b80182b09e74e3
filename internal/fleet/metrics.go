package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// metrics are the counters and histograms of a node.
type metrics struct {
	leading, waiting, cells, held, unaccounted                prometheus.Gauge
	accepted, starts, refusals, polls, unanswered, unreadable prometheus.Counter
	paces, moves, lent, gaveUp, unloadedTerms                 prometheus.Counter
	stops, ends, commits, readErrors, requests, terms         *prometheus.CounterVec
	confirmations                                             *prometheus.CounterVec
	commitSeconds, recoverySeconds                            prometheus.Observer
	requestSeconds                                            *prometheus.HistogramVec
	configuration                                             prometheus.Gauge
	hostShare, waitingTasks, longestWait                      *prometheus.GaugeVec
	roundSeconds                                              prometheus.Observer
	eventAge                                                  [eventClasses]prometheus.Observer
}

func newMetrics(m *telemetry.Metrics) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return m.Counter("fleet", name, help).WithLabelValues()
	}
	age := m.Histogram("fleet", "event_age_seconds", "Time that events waited for a leader's loop, by class.", telemetry.LatencyBuckets, "class")
	c := &metrics{
		leading:         m.Gauge("fleet", "leading", "Cells that this node leads.").WithLabelValues(),
		cells:           m.Gauge("fleet", "cells", "Cells into which the fleet is divided.").WithLabelValues(),
		waiting:         m.Gauge("fleet", "waiting_steps", "Steps with tasks that wait for a worker.").WithLabelValues(),
		waitingTasks:    m.Gauge("fleet", "waiting_tasks", "Tasks that are ready and do not run, by what they wait for.", "reason"),
		longestWait:     m.Gauge("fleet", "longest_wait_seconds", "Longest wait of these tasks since they were ready or ran last.", "reason"),
		held:            m.Gauge("fleet", "held_milli_cpu", "Thousandths of a core that new services leave free for short work.").WithLabelValues(),
		unaccounted:     m.Gauge("fleet", "unaccounted_workers", "Workers that may hold runs of earlier terms which the leader does not know.").WithLabelValues(),
		configuration:   m.Gauge("fleet", "configuration_version", "Version of the configuration in force on this node.").WithLabelValues(),
		hostShare:       m.Gauge("fleet", "host_share", "Used share of the processor, memory and link of the settings, over a second.", "of"),
		accepted:        counter("jobs_total", "Jobs that the leader has taken up."),
		starts:          counter("starts_total", "Starts sent to workers."),
		refusals:        counter("refusals_total", "Starts that workers refused."),
		polls:           counter("looks_total", "Reports asked of workers."),
		unanswered:      counter("unanswered_total", "Calls to workers without an answer."),
		unreadable:      counter("unreadable_entries_total", "Entries of the list of workers that could not be read."),
		lent:            counter("lent_tasks_total", "Lasting tasks that another cell runs for this one, which had no room."),
		moves:           counter("moves_total", "Jobs that left for another cell before they began."),
		gaveUp:          counter("given_up_total", "Jobs that failed because a task crashes its workers."),
		unloadedTerms:   counter("unloaded_terms_total", "Terms of this node that ended before they had read their tables."),
		paces:           counter("paces_total", "Orders that set the pace of a filler."),
		stops:           m.Counter("fleet", "stops_total", "Stops by reason.", "reason"),
		ends:            m.Counter("fleet", "ends_total", "Ends of runs by kind.", "how"),
		commits:         m.Counter("fleet", "transactions_total", "Tries of the leader's transactions by result.", "result"),
		readErrors:      m.Counter("fleet", "read_errors_total", "Failed reads of the store by kind.", "kind"),
		requests:        m.Counter("fleet", "requests_total", "Requests of callers by kind and result.", "request", "result"),
		terms:           m.Counter("fleet", "campaigns_total", "Tries to take the lead by result.", "result"),
		confirmations:   m.Counter("fleet", "confirmations_total", "Requests to the witnesses whether the store answers, by result.", "result"),
		commitSeconds:   m.Histogram("fleet", "transaction_seconds", "Time from the begin of a transaction to its result.", telemetry.LatencyBuckets).WithLabelValues(),
		recoverySeconds: m.Histogram("fleet", "recovery_seconds", "Time from the begin of a term until it knows all runs of earlier ones.", telemetry.LatencyBuckets).WithLabelValues(),
		roundSeconds:    m.Histogram("fleet", "round_seconds", "Time of one round of a leader's loop: some events, and a plan where one is due.", telemetry.LatencyBuckets).WithLabelValues(),
		requestSeconds: m.Histogram("fleet", "request_seconds", "Time to answer a request of a caller.",
			telemetry.LatencyBuckets, "request"),
	}
	for class := range c.eventAge {
		c.eventAge[class] = age.WithLabelValues(classNames[class])
	}
	return c
}
