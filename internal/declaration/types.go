// Package declaration parses, validates, compares and hashes declarations. A declaration
// is the YAML document in which operators list services, data centres, teams and batch
// classes.
package declaration

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// SchemaVersion is the schema version that this build reads and writes.
const SchemaVersion = 1

// Declaration is the whole text after decoding. Defaults are filled in by
// Provision; Validate reports all faults at once.
type Declaration struct {
	// Version is the schema version. Required; must be 1.
	Version int `yaml:"version" json:"version"`
	// Deployment is a label for logs and reports. Required.
	Deployment string `yaml:"deployment" json:"deployment"`
	// DataCentres lists the data centres. At least one is required.
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres"`
	// Services lists the latency-critical services.
	Services []Service `yaml:"services,omitempty" json:"services"`
	// Teams lists the teams that may submit batch work.
	Teams []Team `yaml:"teams,omitempty" json:"teams"`
	// BatchClasses lists the kinds of batch work.
	BatchClasses []BatchClass `yaml:"batch_classes,omitempty" json:"batch_classes"`
	// Limits bounds what the system does on its own.
	Limits Limits `yaml:"limits,omitempty" json:"limits"`
}

// DataCentre is one data centre and its expected equipment.
type DataCentre struct {
	// Name identifies the data centre. Required, unique.
	Name model.DataCentre `yaml:"name" json:"name"`
	// Region groups data centres that fail or are cut off together.
	Region string `yaml:"region,omitempty" json:"region"`
	// Cells is the number of cells its workers are split into. Default 1.
	Cells int `yaml:"cells,omitempty" json:"cells"`
	// Racks is the number of racks expected. Used to check spread and capacity.
	Racks int `yaml:"racks,omitempty" json:"racks"`
	// WorkersPerRack is the number of workers expected in each rack.
	WorkersPerRack int `yaml:"workers_per_rack,omitempty" json:"workers_per_rack"`
	// Worker is the capacity expected of each worker.
	Worker Capacity `yaml:"worker,omitempty" json:"worker"`
}

// Capacity is an amount of resources in the units of the declaration.
type Capacity struct {
	// Cores is processor capacity in cores; fractions are allowed.
	Cores float64 `yaml:"cores,omitempty" json:"cores"`
	// MemoryGB is memory in gigabytes (10^9 bytes).
	MemoryGB float64 `yaml:"memory_gb,omitempty" json:"memory_gb"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators"`
}

// Resources converts c into the units used for reservations, rounded to the
// nearest unit: 0.29 cores are 290 thousandths, not the 289 of truncation.
func (c Capacity) Resources() model.Resources {
	return model.Resources{
		MilliCPU:     int64(math.Round(c.Cores * 1000)),
		MemoryMB:     int64(math.Round(c.MemoryGB * 1000)),
		Accelerators: c.Accelerators,
	}
}

// Service is a latency-critical service served by runners.
type Service struct {
	// Name identifies the service. Required, unique.
	Name model.ServiceName `yaml:"name" json:"name"`
	// DependsOn lists services that must be available for this one to work.
	DependsOn []model.ServiceName `yaml:"depends_on,omitempty" json:"depends_on"`
	// Runners is the number of runners expected. Required.
	Runners int `yaml:"runners" json:"runners"`
	// SlotsPerRunner bounds requests in execution at one runner, over all nodes. Default 8.
	SlotsPerRunner int `yaml:"slots_per_runner,omitempty" json:"slots_per_runner"`
	// ConnectionsPerRunner bounds connections to one runner, over all nodes. Default 64.
	ConnectionsPerRunner int `yaml:"connections_per_runner,omitempty" json:"connections_per_runner"`
	// TargetP99 is the tail latency target. Default 500ms.
	TargetP99 Duration `yaml:"target_p99,omitempty" json:"target_p99"`
	// DefaultTimeout applies to requests that state no timeout. Default 5s.
	DefaultTimeout Duration `yaml:"default_timeout,omitempty" json:"default_timeout"`
	// RetryBudgetPercent bounds retries and hedges as a share of requests. Default 10.
	RetryBudgetPercent *int `yaml:"retry_budget_percent,omitempty" json:"retry_budget_percent"`
	// QueueLimit bounds requests waiting on one node. Default 128.
	QueueLimit int `yaml:"queue_limit,omitempty" json:"queue_limit"`
	// MaxBodyMB bounds request and answer bodies in megabytes. Default 64.
	MaxBodyMB int `yaml:"max_body_mb,omitempty" json:"max_body_mb"`
}

// Team is a group with a quota of batch resources.
type Team struct {
	// Name identifies the team. Required, unique.
	Name model.TeamName `yaml:"name" json:"name"`
	// Quota bounds what its running batch tasks reserve, over all cells. Required.
	Quota Capacity `yaml:"quota" json:"quota"`
}

// BatchClass is a kind of batch work.
type BatchClass struct {
	// Name identifies the class. Required, unique.
	Name model.ClassName `yaml:"name" json:"name"`
	// Urgency is bulk, normal, high or urgent. Default normal.
	Urgency string `yaml:"urgency,omitempty" json:"urgency"`
	// MaxRetries bounds failed attempts of a task. Default 3.
	MaxRetries *int `yaml:"max_retries,omitempty" json:"max_retries"`
	// Gang makes the tasks of a job start together or not at all. Default false.
	Gang bool `yaml:"gang,omitempty" json:"gang"`
	// Resources is what one task reserves when its submission states nothing.
	Resources Capacity `yaml:"resources,omitempty" json:"resources"`
}

// Limits bounds the actions that the system takes on its own.
type Limits struct {
	// EvictionsPerMinute caps evictions for interference in one cell. Default 6.
	EvictionsPerMinute int `yaml:"evictions_per_minute,omitempty" json:"evictions_per_minute"`
	// DrainStartsPerSecond paces placements of work that leaves a data centre. Default 20.
	DrainStartsPerSecond int `yaml:"drain_starts_per_second,omitempty" json:"drain_starts_per_second"`
	// QuarantineFailures is the number of consecutive failures that quarantines a worker. Default 5.
	QuarantineFailures int `yaml:"quarantine_failures,omitempty" json:"quarantine_failures"`
	// ClaimRetention is how long outcomes of non-idempotent requests are kept. Default 72h.
	ClaimRetention Duration `yaml:"claim_retention,omitempty" json:"claim_retention"`
}

// Duration is a time span written as Go writes it, such as 250ms or 1m30s.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes d in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration such as 250ms.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "write a number with a unit such as 250ms, 5s or 72h", "duration %q", text)
	}
	*d = Duration(v)
	return nil
}
