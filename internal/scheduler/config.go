// Package scheduler decides where the tasks of one cell run. It orders the
// queue, filters and scores workers, reserves capacity, learns how much batch
// classes slow services down, and plans throttling, checkpoints, evictions and
// transfers. It performs no I/O and takes the time as an argument; the cell's owner
// makes a plan durable before it acts on it.
package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Policy selects how a worker is chosen among those that fit a task.
type Policy string

const (
	// PolicyLearned ranks by expected slowdown of services, packing and rack spread.
	PolicyLearned Policy = "learned"
	// PolicyBestFit chooses the worker with the least free capacity left, as a baseline.
	PolicyBestFit Policy = "best-fit"
	// PolicyFirstFit chooses the first worker in order of id, as a baseline.
	PolicyFirstFit Policy = "first-fit"
)

// Config holds the settings of a scheduler. New replaces zero values by the
// defaults; limits that are set in the declaration take precedence.
type Config struct {
	// Policy selects how workers are chosen. Default learned.
	Policy Policy
	// SampleSize bounds the workers scored for one task. Default 32.
	SampleSize int
	// MaxStartsPerPlan bounds the placements of one plan. Default 512.
	MaxStartsPerPlan int
	// MaxBlockedPerPlan bounds the unsuccessful searches of one plan, so that planning
	// stays cheap with a long queue on a full cell. Default 64.
	MaxBlockedPerPlan int
	// AgePerClass is the waiting time that raises a job by one urgency class. Default 10m.
	AgePerClass time.Duration
	// StarveAfter is the waiting time after which workers are held for a blocked unit.
	// Default 10m.
	StarveAfter time.Duration
	// QuotaSettle delays the growth of this cell's share of quotas until the cells
	// whose share shrinks have applied it: a view reaches all nodes within 4 s.
	// Default 10s.
	QuotaSettle time.Duration
	// RetryBase is the delay after the first failure; it doubles with each further one.
	// Default 1s.
	RetryBase time.Duration
	// RetryMax bounds the delay between attempts. Default 5m.
	RetryMax time.Duration
	// ProbeBase is the delay before a quarantined worker is probed; it doubles
	// with each failed probe. Default 30s.
	ProbeBase time.Duration
	// ProbeMax bounds the delay between probes. Default 10m.
	ProbeMax time.Duration
	// ProbeRun is how long a probe must run without a failure to end the quarantine.
	// Default 60s.
	ProbeRun time.Duration
	// SlowdownBudget is the expected slowdown of a service, above 1, up to which
	// batch work is added to its worker. Default 0.095.
	SlowdownBudget float64
	// SlowdownLimit is the measured slowdown, above 1, at which batch work on
	// the worker is throttled even when the target is met. Default 0.17.
	SlowdownLimit float64
	// RelaxBelow is the fraction of a limit below which throttling is relaxed; the gap
	// to 1 is the hysteresis. Default 0.7.
	RelaxBelow float64
	// RelaxSamples is the number of consecutive good samples before throttling
	// is relaxed by one step. Default 3.
	RelaxSamples int
	// MinThrottle is the lowest percentage of its processors that a task is throttled
	// to. Default 25.
	MinThrottle int
	// CheckpointEvery is the age of the last checkpoint above which one is
	// requested before an eviction for interference. Default 30s.
	CheckpointEvery time.Duration
	// EvictionsPerMinute limits evictions for interference when the declaration sets no
	// limit. Default 6.
	EvictionsPerMinute int
	// DrainPerSecond limits the rate of evictions and transfers out of a data centre
	// when the declaration sets no limit. Default 20.
	DrainPerSecond int
	// DrainGrace is how long tasks that no other cell can take keep running in a data
	// centre that is out of service. Default 2m.
	DrainGrace time.Duration
	// RampTime is the time over which a returned data centre is filled. Default 60s.
	RampTime time.Duration
	// QuarantineFailures is the number of consecutive failures that quarantines a worker
	// when the declaration sets none. Default 5.
	QuarantineFailures int
	// HoldTime bounds how long a worker is held for urgent work after a preemption.
	// Default 15s.
	HoldTime time.Duration
	// GangWait is how long requeued tasks may wait to rejoin their running gang before
	// the whole gang is restarted. Default 30s.
	GangWait time.Duration
	// OverflowAfter is the waiting time after which a blocked unit is transferred to a
	// cell with free capacity. Default 5s.
	OverflowAfter time.Duration
	// OverflowPerSecond limits the rate of these transfers. Default 20.
	OverflowPerSecond int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Policy, PolicyLearned)
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

// Worker is a worker of the cell as given by the host list.
type Worker struct {
	ID         model.WorkerID
	DataCentre model.DataCentre
	Rack       model.Rack
	Capacity   model.Resources
	// Leaving is true when the worker is being removed; it gets no new tasks.
	Leaving bool
	// Unreachable is true when the worker has missed reports. It gets no new tasks, but
	// its tasks are not evicted.
	Unreachable bool
}

// CellSummary describes a cell as last reported by its owner; it may be stale. It is
// used to split quotas, to choose transfer destinations and to detect jobs that can
// never run.
type CellSummary struct {
	ID         model.CellID
	DataCentre model.DataCentre
	// Capacity is the sum over the workers in service.
	Capacity model.Resources
	// Free is the sum of uncommitted capacity.
	Free model.Resources
	// Largest is the shape of the largest worker.
	Largest model.Resources
	// Room is the largest free capacity of a single worker.
	Room model.Resources
	// Workers is the number of workers in service.
	Workers int
}
