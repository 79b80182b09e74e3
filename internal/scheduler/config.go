// Package scheduler decides where the tasks of one cell run. It orders the
// queue, filters and scores workers, reserves capacity, learns how much batch
// classes slow services down, and plans throttling, checkpoints, evictions and
// transfers. It performs no input or output and takes the time as an argument;
// the owner of the cell makes a plan durable before it acts on it.
package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Policy selects how a worker is chosen among those that can hold a task.
type Policy string

const (
	// PolicyLearned ranks by expected slowdown of services, packing and spread.
	PolicyLearned Policy = "learned"
	// PolicyBestFit takes the worker that is left with the least; a baseline.
	PolicyBestFit Policy = "best-fit"
	// PolicyFirstFit takes the first worker in order of id; a baseline.
	PolicyFirstFit Policy = "first-fit"
)

// Config holds the settings of a scheduler. New replaces zero values by the
// defaults; limits that the declaration states take precedence.
type Config struct {
	// Policy selects the choice of workers. Default learned.
	Policy Policy
	// Seed seeds the sampling of candidates. Default 1.
	Seed uint64
	// SampleSize bounds the workers scored for one task. Default 32.
	SampleSize int
	// MaxStartsPerPlan bounds the placements of one plan. Default 512.
	MaxStartsPerPlan int
	// MaxBlockedPerPlan bounds the units of one plan that are tried without
	// success, so that a long queue on a full cell stays cheap. Default 64.
	MaxBlockedPerPlan int
	// AgePerClass is the waiting time that raises a job by one urgency class.
	// Default 10m.
	AgePerClass time.Duration
	// StarveAfter is the waiting time after which a blocked unit has workers
	// held free for it. Default 10m.
	StarveAfter time.Duration
	// QuotaSettle delays the growth of this cell's share of quotas, so that the
	// cells whose share shrinks have acted on it first: a view reaches all nodes
	// within 4 s. Default 10s.
	QuotaSettle time.Duration
	// RetryBase is the delay after a first failure; it doubles. Default 1s.
	RetryBase time.Duration
	// RetryMax bounds the delay between attempts. Default 5m.
	RetryMax time.Duration
	// ProbeBase is the delay before a quarantined worker is probed; it doubles
	// with each failed probe. Default 30s.
	ProbeBase time.Duration
	// ProbeMax bounds the delay between probes. Default 10m.
	ProbeMax time.Duration
	// ProbeRun is how long a probe must run without failing to lift the
	// quarantine. Default 60s.
	ProbeRun time.Duration
	// SlowdownBudget is the expected slowdown of a service, above 1, up to which
	// batch work is added to its worker. Default 0.095.
	SlowdownBudget float64
	// SlowdownLimit is the measured slowdown, above 1, at which batch work on
	// the worker is throttled even when the target is met. Default 0.17.
	SlowdownLimit float64
	// RelaxBelow is the share of a limit below which throttling is relaxed; the
	// gap to 1 is the hysteresis. Default 0.7.
	RelaxBelow float64
	// RelaxSamples is the number of consecutive good samples before throttling
	// is relaxed by one step. Default 3.
	RelaxSamples int
	// MinThrottle is the lowest share of its processors, in percent, that a
	// task is throttled to. Default 25.
	MinThrottle int
	// CheckpointEvery is the age of the last checkpoint above which one is
	// requested before an eviction for interference. Default 30s.
	CheckpointEvery time.Duration
	// EvictionsPerMinute caps evictions for interference when the declaration
	// states no cap. Default 6.
	EvictionsPerMinute int
	// DrainPerSecond paces evictions and transfers out of a data centre when
	// the declaration states no pace. Default 20.
	DrainPerSecond int
	// DrainGrace is how long work that fits nowhere else keeps running in a data
	// centre that is out. Default 2m.
	DrainGrace time.Duration
	// RampTime is how long a returned data centre takes to be filled. Default 60s.
	RampTime time.Duration
	// QuarantineFailures is the number of consecutive failures that quarantines
	// a worker when the declaration states none. Default 5.
	QuarantineFailures int
	// HoldTime bounds how long a worker is held for urgent work after the
	// evictions that make room for it. Default 15s.
	HoldTime time.Duration
	// GangWait is how long tasks that return to the queue may wait to rejoin
	// their running gang before the whole gang is restarted. Default 30s.
	GangWait time.Duration
	// OverflowAfter is the waiting time after which a blocked unit moves to a
	// cell that has room. Default 5s.
	OverflowAfter time.Duration
	// OverflowPerSecond paces such moves. Default 20.
	OverflowPerSecond int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Policy, PolicyLearned)
	setDefault(&c.Seed, 1)
	setDefault(&c.SampleSize, 32)
	setDefault(&c.MaxStartsPerPlan, 512)
	setDefault(&c.MaxBlockedPerPlan, 64)
	setDefault(&c.AgePerClass, 10*time.Minute)
	setDefault(&c.StarveAfter, 10*time.Minute)
	setDefault(&c.QuotaSettle, 10*time.Second)
	setDefault(&c.RetryBase, time.Second)
	setDefault(&c.RetryMax, 5*time.Minute)
	setDefault(&c.ProbeBase, 30*time.Second)
	setDefault(&c.ProbeMax, 10*time.Minute)
	setDefault(&c.ProbeRun, time.Minute)
	setDefault(&c.SlowdownBudget, 0.095)
	setDefault(&c.SlowdownLimit, 0.17)
	setDefault(&c.RelaxBelow, 0.7)
	setDefault(&c.RelaxSamples, 3)
	setDefault(&c.MinThrottle, 25)
	setDefault(&c.CheckpointEvery, 30*time.Second)
	setDefault(&c.EvictionsPerMinute, 6)
	setDefault(&c.DrainPerSecond, 20)
	setDefault(&c.DrainGrace, 2*time.Minute)
	setDefault(&c.RampTime, time.Minute)
	setDefault(&c.QuarantineFailures, 5)
	setDefault(&c.HoldTime, 15*time.Second)
	setDefault(&c.GangWait, 30*time.Second)
	setDefault(&c.OverflowAfter, 5*time.Second)
	setDefault(&c.OverflowPerSecond, 20)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Worker is a worker of the cell as the host list shows it.
type Worker struct {
	ID         model.WorkerID
	DataCentre model.DataCentre
	Rack       model.Rack
	Capacity   model.Resources
	// Leaving is true when the worker is about to leave; it gets no new work.
	Leaving bool
	// Unreachable is true when the worker has missed reports. It gets no new
	// work, but its tasks are not evicted.
	Unreachable bool
}

// CellSummary describes another cell, as its owner last reported it. It serves
// the split of quotas, the choice of a transfer's destination and the decision
// that a job can never run. It may lag.
type CellSummary struct {
	ID         model.CellID
	DataCentre model.DataCentre
	// Capacity is the sum over the workers in service.
	Capacity model.Resources
	// Free is the sum of what is not committed.
	Free model.Resources
	// Largest is the shape of the largest worker.
	Largest model.Resources
	// Room is the largest free room on one worker.
	Room model.Resources
	// Workers is the number of workers in service.
	Workers int
}
