package model

import "fmt"

// Resources is a vector of the resources that a worker has or a task needs.
type Resources struct {
	// MilliCPU is CPU capacity in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes (10^6 bytes).
	MemoryMB int64 `json:"memory_mb" cbor:"2,keyasint,omitempty"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns r plus o in every dimension.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o in every dimension; a dimension may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// String formats r for log lines and error messages.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MB, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
