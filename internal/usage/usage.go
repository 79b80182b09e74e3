// Package usage measures the resources that the process uses, for comparison with configured
// limits.
package usage

import (
	"runtime/metrics"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanillapier/vanillapier/internal/linkmeter"
)

// Total is the process's resource usage since its start, and its memory now.
type Total struct {
	CPU      time.Duration // user and system time
	Memory   int64         // bytes of host memory that the Go runtime holds
	Received int64         // payload bytes over all connections
	Sent     int64
}

// NewMeter returns a function that reads the current total. Bytes on the network are those
// counted by link.
func NewMeter(link *linkmeter.Meter) func() Total {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	return func() Total {
		t := Total{CPU: cpuTime()}
		t.Received, t.Sent = link.Totals()
		read := append([]metrics.Sample(nil), samples...)
		metrics.Read(read)
		t.Memory = int64(read[0].Value.Uint64() - read[1].Value.Uint64())
		return t
	}
}

// cpuTime returns the process's CPU time, or 0 where the system does not report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// clockReadTime is the longest time between two readings of the clocks of Suspended that are used
	// together, and clockReadTries the number of tries to read them within it.
	clockReadTime  = time.Millisecond
	clockReadTries = 10
)

// Suspended returns for how long the host has been suspended in all, to within clockReadTime, or 0 where the
// system does not report it.
func Suspended() time.Duration {
	for try := 1; ; try++ {
		before, err := readClock(unix.CLOCK_MONOTONIC)
		all, errAll := readClock(unix.CLOCK_BOOTTIME)
		after, errAfter := readClock(unix.CLOCK_MONOTONIC)
		switch {
		case err != nil || errAll != nil || errAfter != nil:
			return 0
		case after-before <= clockReadTime || try == clockReadTries: // else the process was preempted between the readings
			return all - after
		}
	}
}

func readClock(id int32) (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(id, &now)
	return time.Duration(now.Nano()), err
}

// Limits are the resource limits of the host; 0 means unknown.
type Limits struct {
	MilliCPU  int64 // thousandths of a core
	MemoryMB  int64
	LinkBytes int64 // per second, in each direction
}

// Utilization holds the used fractions of the limits; 0 where the limit is unknown.
type Utilization struct {
	CPU    float64 `json:"processor"`
	Memory float64 `json:"memory"`
	Link   float64 `json:"link"` // of the busier direction
}

// UtilizationBetween returns the utilization between two totals that were read elapsed apart.
func UtilizationBetween(before, after Total, elapsed time.Duration, l Limits) Utilization {
	var s Utilization
	if elapsed <= 0 {
		return s
	}
	if l.MilliCPU > 0 {
		s.CPU = float64(after.CPU-before.CPU) / float64(elapsed) * 1000 / float64(l.MilliCPU)
	}
	if l.MemoryMB > 0 {
		s.Memory = float64(after.Memory) / float64(l.MemoryMB<<20)
	}
	if l.LinkBytes > 0 {
		s.Link = float64(max(after.Received-before.Received, after.Sent-before.Sent)) / elapsed.Seconds() / float64(l.LinkBytes)
	}
	return s
}
