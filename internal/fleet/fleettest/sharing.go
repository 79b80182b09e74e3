package fleettest

import (
	"hash/fnv"
	"math"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// Sharing tells how services and fillers on a worker disturb each other. Headroom
// is the latency target of a service divided by its tail.
type Sharing struct {
	// Idle is the headroom of a service without load; it falls to 0 at full load.
	Idle float64
	// Load is the mean load of services; it swings by Swing of it with Period.
	Load, Swing float64
	Period      time.Duration
	// Pressure is the headroom that a whole worker of filler work takes from a
	// service, by their images.
	Pressure func(service, filler string) float64
}

// Constants of the disturbance of services.
const (
	// readingTime is the time that a reading of a tail covers.
	readingTime = 500 * time.Millisecond
	// spikeTime, spikeShare and spikeSize describe loads of single service tasks that
	// rise for a moment: their length, the share of time with one, and the headroom
	// that each takes.
	spikeTime  = 1750 * time.Millisecond
	spikeShare = 0.05
	spikeSize  = 0.8
	// pressureTime and pressureSwing describe how what fillers of an image take on a
	// worker changes: the time from one change to the next, and the largest change.
	pressureTime  = 1500 * time.Millisecond
	pressureSwing = 0.6
	// shareTime is how often processors are shared anew, and grantedStep the change of
	// a share that counts.
	shareTime   = 250 * time.Millisecond
	grantedStep = 0.02
	// leastHeadroom bounds readings of services that stand still.
	leastHeadroom = 0.05
)

// mix is the filler work on a worker from a moment on, as shares of the worker by
// image.
type mix struct {
	from   time.Time
	shares map[string]float64
}

// noteMix records the filler work on w after a change; the lock is held.
func (w *Worker) noteMix() {
	if w.fleet.Sharing == nil {
		return
	}
	now, shares := time.Now(), map[string]float64{}
	w.share()
	for _, k := range w.runs {
		if k.task.Filler {
			shares[k.task.Image] += k.rate() * float64(k.task.Needs.MilliCPU) / float64(w.Info.Capacity.MilliCPU)
		}
	}
	for len(w.mixes) > 1 && now.Sub(w.mixes[1].from) > readingTime {
		w.mixes = w.mixes[1:]
	}
	w.mixes = append(w.mixes, mix{now, shares})
}

// share gives fillers what services and others leave of the processors, and looks
// again soon, as loads swing; the lock is held.
func (w *Worker) share() {
	left, demand := float64(w.Info.Capacity.MilliCPU), 0.0
	var fillers []*work
	for _, k := range w.runs {
		need := float64(k.task.Needs.MilliCPU)
		switch {
		case k.task.Filler:
			fillers = append(fillers, k)
			demand += need * float64(k.pace) / 100
		case k.task.Target > 0:
			left -= need * w.fleet.Sharing.load(k.ref.Task, w.clock())
		default:
			left -= need
		}
	}
	granted := 1.0
	if demand > left {
		granted = max(left, 0) / demand
	}
	if granted != w.granted && (granted == 1 || math.Abs(granted-w.granted) > grantedStep) {
		w.change(fillers, func() { w.granted = granted })
	}
	if len(fillers) > 0 && !w.ticking {
		w.ticking = true
		time.AfterFunc(shareTime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.ticking = false; !w.dead {
				w.share()
			}
		})
	}
}

// pressed returns the headroom that fillers have taken from a service of the image
// during the last reading.
func (w *Worker) pressed(image string) float64 {
	now, sum := time.Now(), 0.0
	begin := now.Add(-readingTime)
	for i, m := range w.mixes {
		from, to := m.from, now
		if i+1 < len(w.mixes) {
			to = w.mixes[i+1].from
		}
		if from.Before(begin) {
			from = begin
		}
		if !to.After(from) {
			continue
		}
		for filler, share := range m.shares {
			swing := 1 + pressureSwing*(2*fraction(w.Info.Addr+filler+(w.clock()/pressureTime).String())-1)
			sum += w.fleet.Sharing.Pressure(image, filler) * swing * share * float64(to.Sub(from)) / float64(readingTime)
		}
	}
	return sum
}

// fraction maps a text to a number from 0 to 1.
func fraction(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum64()%100_000) / 100_000
}

// load returns the load of a service task; the tasks of a job share its swing.
func (s *Sharing) load(task fleet.TaskName, at time.Duration) float64 {
	job, _, _ := strings.Cut(string(task), ".")
	swing := math.Sin(2 * math.Pi * (at.Seconds()/s.Period.Seconds() + fraction(job)))
	return s.Load * (1 + s.Swing*swing)
}

// own returns the headroom of a service task without fillers. Each task has spikes
// of its own.
func (s *Sharing) own(task fleet.TaskName, at time.Duration) float64 {
	headroom := s.Idle * (1 - s.load(task, at))
	if fraction(string(task)+(at/spikeTime).String()) < spikeShare {
		headroom -= spikeSize
	}
	return headroom
}

// ServiceState is the state of a serving task at a moment.
type ServiceState struct {
	Task fleet.TaskName
	// Headroom is the present one, Own the one without fillers.
	Headroom, Own float64
	// Pressed means that fillers work on the same worker.
	Pressed bool
}

// service returns the state of a serving task; the lock is held.
func (w *Worker) service(k *work) ServiceState {
	s := w.fleet.Sharing
	own := s.own(k.ref.Task, w.clock())
	pressure := w.pressed(k.task.Image)
	return ServiceState{Task: k.ref.Task, Headroom: max(own-pressure, leastHeadroom), Own: own, Pressed: pressure > 0}
}

// Services returns the state of all serving tasks.
func (f *Workers) Services() []ServiceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ServiceState
	for _, w := range f.workers {
		for _, k := range w.runs {
			if k.task.Target > 0 {
				all = append(all, w.service(k))
			}
		}
	}
	return all
}
