package fleettest

import (
	"hash/fnv"
	"math"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// InterferenceModel simulates how fillers slow down services on the same worker. Headroom
// is the latency target of a service divided by its tail latency.
type InterferenceModel struct {
	// IdleHeadroom is the headroom of a service without load; it falls to 0 at full load.
	IdleHeadroom float64
	// Load is the mean load of services. It varies as a sine with the given Amplitude, as
	// a share of Load, and Period.
	Load, Amplitude float64
	Period          time.Duration
	// Pressure returns, for the images of a service and a filler, the headroom that the
	// service loses beside fillers that use a whole worker.
	Pressure func(service, filler string) float64
}

// Constants of the simulated interference.
const (
	// readingWindow is the time over which a reported tail latency is measured.
	readingWindow = 500 * time.Millisecond
	// spikeTime, spikeShare and spikeSize describe short load spikes of single service
	// tasks: the length of a spike, the share of time with one, and the headroom that it costs.
	spikeTime  = 1750 * time.Millisecond
	spikeShare = 0.05
	spikeSize  = 0.8
	// pressureInterval and pressureVariation describe how the pressure of a filler image on a
	// worker varies: the time between two changes, and the largest relative deviation.
	pressureInterval  = 1500 * time.Millisecond
	pressureVariation = 0.6
	// shareInterval is the time after which the CPU shares of fillers are computed again, and
	// minShareChange the smallest change of a share that is applied.
	shareInterval  = 250 * time.Millisecond
	minShareChange = 0.02
	// minHeadroom is the lower bound of the headroom, so that the reported tail latency of an
	// overloaded service stays finite.
	minHeadroom = 0.05
)

// fillerLoad is the CPU usage of fillers on a worker from a time on, by image, as shares of
// the worker.
type fillerLoad struct {
	from   time.Time
	shares map[string]float64
}

// recordFillerLoad records the load of fillers on w after a change. The lock is held.
func (w *Worker) recordFillerLoad() {
	if w.fleet.Interference == nil {
		return
	}
	now, shares := time.Now(), map[string]float64{}
	w.shareProcessors()
	for _, k := range w.runs {
		if k.task.Filler {
			shares[k.task.Image] += k.rate() * float64(k.task.Needs.MilliCPU) / float64(w.Info.Capacity.MilliCPU)
		}
	}
	for len(w.fillerLoads) > 1 && now.Sub(w.fillerLoads[1].from) > readingWindow {
		w.fillerLoads = w.fillerLoads[1:]
	}
	w.fillerLoads = append(w.fillerLoads, fillerLoad{now, shares})
}

// shareProcessors gives fillers the CPU time that other runs leave, and schedules the next
// computation, as the load of services varies. The lock is held.
func (w *Worker) shareProcessors() {
	left, demand := float64(w.Info.Capacity.MilliCPU), 0.0
	var fillers []*simulatedRun
	for _, k := range w.runs {
		need := float64(k.task.Needs.MilliCPU)
		switch {
		case k.task.Filler:
			fillers = append(fillers, k)
			demand += need * float64(k.pace) / 100
		case k.task.Target > 0:
			left -= need * w.fleet.Interference.load(k.ref.Task, w.clock())
		default:
			left -= need
		}
	}
	granted := 1.0
	if demand > left {
		granted = max(left, 0) / demand
	}
	if granted != w.fillerShare && (granted == 1 || math.Abs(granted-w.fillerShare) > minShareChange) {
		w.changeSpeed(fillers, func() { w.fillerShare = granted })
	}
	if len(fillers) > 0 && !w.shareTimerSet {
		w.shareTimerSet = true
		time.AfterFunc(shareInterval, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.shareTimerSet = false; !w.dead {
				w.shareProcessors()
			}
		})
	}
}

// fillerPressure returns the headroom that a service of the image has lost to fillers, as
// the mean over readingWindow.
func (w *Worker) fillerPressure(image string) float64 {
	now, sum := time.Now(), 0.0
	begin := now.Add(-readingWindow)
	for i, m := range w.fillerLoads {
		from, to := m.from, now
		if i+1 < len(w.fillerLoads) {
			to = w.fillerLoads[i+1].from
		}
		if from.Before(begin) {
			from = begin
		}
		if !to.After(from) {
			continue
		}
		for filler, share := range m.shares {
			variation := 1 + pressureVariation*(2*fraction(w.Info.Addr+filler+(w.clock()/pressureInterval).String())-1)
			sum += w.fleet.Interference.Pressure(image, filler) * variation * share * float64(to.Sub(from)) / float64(readingWindow)
		}
	}
	return sum
}

// fraction hashes a text to a number from 0 to 1.
func fraction(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum64()%100_000) / 100_000
}

// load returns the load of a service task. The loads of the tasks of a job vary in phase.
func (s *InterferenceModel) load(task fleet.TaskName, at time.Duration) float64 {
	job, _, _ := strings.Cut(string(task), ".")
	sine := math.Sin(2 * math.Pi * (at.Seconds()/s.Period.Seconds() + fraction(job)))
	return s.Load * (1 + s.Amplitude*sine)
}

// baseline returns the headroom of a service task without fillers. Each task has load
// spikes of its own.
func (s *InterferenceModel) baseline(task fleet.TaskName, at time.Duration) float64 {
	headroom := s.IdleHeadroom * (1 - s.load(task, at))
	if fraction(string(task)+(at/spikeTime).String()) < spikeShare {
		headroom -= spikeSize
	}
	return headroom
}

// ServiceState is the present state of a service task.
type ServiceState struct {
	Task fleet.TaskName
	// Headroom is the present headroom, Baseline the headroom without fillers.
	Headroom, Baseline float64
	// BesideFiller means that fillers on the same worker take headroom.
	BesideFiller bool
}

// serviceState returns the state of a service task. The lock is held.
func (w *Worker) serviceState(k *simulatedRun) ServiceState {
	s := w.fleet.Interference
	own := s.baseline(k.ref.Task, w.clock())
	pressure := w.fillerPressure(k.task.Image)
	return ServiceState{Task: k.ref.Task, Headroom: max(own-pressure, minHeadroom), Baseline: own, BesideFiller: pressure > 0}
}

// Services returns the states of all service tasks.
func (f *Workers) Services() []ServiceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ServiceState
	for _, w := range f.workers {
		for _, k := range w.runs {
			if k.task.Target > 0 {
				all = append(all, w.serviceState(k))
			}
		}
	}
	return all
}
