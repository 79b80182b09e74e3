// Package model holds the identifiers, resource vectors, task specifications and error kinds
// that the other packages share. It imports no other package of the module and performs no
// I/O.
package model

// Identifiers are distinct string types so that the compiler rejects a mix-up.
type (
	// NodeID identifies one vpierd process for its lifetime. A replacement
	// process at the same address has a different NodeID.
	NodeID string
	// WorkerID identifies a worker host.
	WorkerID string
	// RunnerID identifies one upstream runner of a service.
	RunnerID string
	// DataCentre names a data centre.
	DataCentre string
	// Rack names a rack; it is unique within its data centre.
	Rack string
	// CellID names a cell, the unit of ownership of workers and tasks.
	CellID string
	// ServiceName names a latency-critical service in the declaration.
	ServiceName string
	// ClassName names a batch class in the declaration.
	ClassName string
	// TeamName names a team that has a quota.
	TeamName string
	// JobID identifies a job: one or more tasks submitted together.
	JobID string
	// TaskID identifies a task within the whole system.
	TaskID string
)
