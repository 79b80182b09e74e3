// Package usage tells what the process has used of its host, for a comparison with the
// limits of its settings.
package usage

import (
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/linkmeter"
)

// Total is what the process has used since its start, and its memory now.
type Total struct {
	Processor time.Duration // user and system time
	Memory    int64         // bytes that the Go runtime holds of the host's memory
	Received  int64         // bytes of payload over all connections
	Sent      int64
}

// Meter returns a function that tells the total, with the bytes that link has counted.
func Meter(link *linkmeter.Meter) func() Total {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	return func() Total {
		t := Total{Processor: processorTime()}
		t.Received, t.Sent = link.Totals()
		read := append([]metrics.Sample(nil), samples...)
		metrics.Read(read)
		t.Memory = int64(read[0].Value.Uint64() - read[1].Value.Uint64())
		return t
	}
}

// processorTime returns 0 where the system does not tell.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Limits are those of the host; 0 means unknown.
type Limits struct {
	MilliCPU  int64 // thousandths of a core
	MemoryMB  int64
	LinkBytes int64 // a second, in each direction
}

// Shares are the used shares of the limits; 0 where the limit is unknown.
type Shares struct {
	Processor float64 `json:"processor"`
	Memory    float64 `json:"memory"`
	Link      float64 `json:"link"` // of the busier direction
}

// Between returns the shares used between two totals that lie a time apart.
func Between(before, after Total, apart time.Duration, l Limits) Shares {
	var s Shares
	if apart <= 0 {
		return s
	}
	if l.MilliCPU > 0 {
		s.Processor = float64(after.Processor-before.Processor) / float64(apart) * 1000 / float64(l.MilliCPU)
	}
	if l.MemoryMB > 0 {
		s.Memory = float64(after.Memory) / float64(l.MemoryMB<<20)
	}
	if l.LinkBytes > 0 {
		s.Link = float64(max(after.Received-before.Received, after.Sent-before.Sent)) / apart.Seconds() / float64(l.LinkBytes)
	}
	return s
}
