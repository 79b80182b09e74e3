package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// serviceBatch returns the steps of services that are submitted together, as at the start of a
// deployment: images of unequal demand, tasks of about a fifth of a worker, and every second
// step with a limit per worker. They reserve about four fifths of the workers.
func serviceBatch(random *rand.Rand, workers []*worker, images int) []*waitingStep {
	capacity, used := 0.0, 0.0
	for _, w := range workers {
		capacity += float64(w.info.Capacity.MilliCPU)
	}
	var waiting []*waitingStep
	for used < 0.8*capacity {
		image := min(random.IntN(images), random.IntN(images))
		s := &Step{Count: 3 + random.IntN(7), Lasting: true, Image: fmt.Sprint("image", image), LatencyTarget: 100 * time.Millisecond,
			Needs: model.Resources{MilliCPU: int64(9500 + random.IntN(7000)), MemoryMB: 20_000}}
		if random.IntN(2) == 0 {
			s.PerWorker = 1 + random.IntN(2)
		}
		used += float64(s.Count) * float64(s.Needs.MilliCPU)
		j := newJob(fmt.Sprintf("%04x", random.IntN(1<<16)), jobRecord{Spec: Spec{Steps: []Step{*s}}}, 1, epoch)
		w := &waitingStep{job: j, occurrence: &occurrence{}, step: &j.spec.Steps[0], image: s.Image, perWorkerLimit: s.perWorker()}
		for i := range s.Count {
			w.tasks = append(w.tasks, i)
		}
		waiting = append(waiting, w)
	}
	return waiting
}

// largeWorkers returns workers with 64 cores; every third has 96.
func largeWorkers(n int) []*worker {
	workers := make([]*worker, n)
	for i := range workers {
		workers[i] = testWorker(fmt.Sprintf("w%02d", i))
		workers[i].info.Capacity = model.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		if i%3 == 2 {
			workers[i].info.Capacity.MilliCPU = 96_000
		}
	}
	return workers
}

// multiImageWorkers returns the number of workers that run more than one image.
func multiImageWorkers(workers []*worker) int {
	n := 0
	for _, w := range workers {
		images := map[string]bool{}
		for _, r := range w.runs {
			images[r.step.Image] = true
		}
		if len(images) > 1 {
			n++
		}
	}
	return n
}

// Services that arrive together must be placed by image. A filler may take headroom from one
// image and not from another, so a worker with two images can run fewer fillers than one with
// either of them. The last worker of each image may be shared, and as many again due to the
// limits per worker: at most 2 workers per image.
func TestServicesAreGatheredByImage(t *testing.T) {
	const images = 5
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		workers := largeWorkers(48)
		h := newInterference()
		p := &placement{now: epoch, workers: workers, interference: &h}
		waiting := serviceBatch(random, workers, images)
		sortWaitingSteps(waiting)
		index := 0
		for _, w := range waiting {
			on := map[*worker]int{}
			for range w.tasks {
				chosen := p.chooseWorker(taskRequest{step: w.step, tasksPerWorker: on})
				if chosen == nil {
					continue // no worker is feasible under the limit per worker
				}
				testRun(chosen, w.step, index).job = w.job
				on[chosen]++
				index++
			}
		}
		require.LessOrEqual(t, multiImageWorkers(workers), 2*images, "seed %d: workers with several images", seed)
	}
}

// modelOf returns a model that has learnt the given pressures, by filler image, for whole workers.
func modelOf(highest float64, pressures map[string]float64) *pressureModel {
	m := newPressureModel()
	m.highestHeadroom = highest
	for image, pressure := range pressures {
		for range 4000 {
			m.observe(pressure*0.1, map[string]float64{image: 0.1})
		}
	}
	return m
}

// At the peak of a service's load, fillers with low pressure must keep their full pace. Those
// with high pressure must be slowed down so far that the service meets its target even if their
// pressure is a third higher than learnt.
func TestPaceAtPeakLoad(t *testing.T) {
	const highest, learnt, worst = 6.0, 1e-2, 4.0 / 3
	now := at(100)
	for _, c := range []struct {
		name     string
		headroom float64 // without fillers
		pressure float64 // of a whole worker; the filler uses a tenth
		full     bool
	}{
		{"slight", 1.5, 1.2, true},
		{"slight, little headroom", 1.35, 1.2, true},
		{"heavy, much headroom", 3, 7, true},
		{"heavy", 1.5, 7, false},
		{"medium", 1.3, 3, false},
		{"nothing left", 1.02, 3, false},
	} {
		h := newInterference()
		h.models["s"] = modelOf(highest, map[string]float64{"f": c.pressure})
		require.InEpsilon(t, c.pressure, h.models["s"].pressure("f", now), learnt)
		w := testWorker("w")
		s := testRun(w, &Step{Count: 1, Lasting: true, Image: "s", LatencyTarget: 100 * time.Millisecond, Needs: model.Resources{MilliCPU: 4000}}, 0)
		s.lastSample = headroomSample{reportedAt: now, headroom: c.headroom, baseline: c.headroom}
		f := testRun(w, &Step{Count: 1, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1600}}, 1)
		f.job = nil // only its image and share count here
		tm := &term{now: now, interference: h}
		v := tm.interference.viewOf(w, now)
		pace := tm.paceFor(v, f, map[*serviceState]float64{v.services["s"]: max(v.services["s"].headroomSoon, 0)}, 1)
		require.Equal(t, c.full, pace == 100, "%s: pace %d", c.name, pace)
		left := c.headroom - worst*c.pressure*0.1*float64(pace)/100
		require.GreaterOrEqual(t, left, 1.0, "%s: headroom left at pace %d", c.name, pace)
	}
}

// Headroom goes first to fillers with low pressure, as it is enough for many of them. In order
// of urgency alone, one urgent filler with high pressure would use all of it.
func TestLowPressureFillersGetHeadroomFirst(t *testing.T) {
	now := at(100)
	h := newInterference()
	h.models["s"] = modelOf(6, map[string]float64{"heavy": 7, "light": 0.8})
	w := testWorker("w")
	s := testRun(w, &Step{Count: 1, Lasting: true, Image: "s", LatencyTarget: 100 * time.Millisecond, Needs: model.Resources{MilliCPU: 4000}}, 0)
	s.lastSample = headroomSample{reportedAt: now, headroom: 2, baseline: 2}
	tm := &term{now: now, interference: h, queues: map[string]Queue{"": {Stretch: 2, Objective: time.Second}}}
	filler := func(index int, image string, estimate time.Duration) *run {
		r := testRun(w, &Step{Count: 1, Filler: true, Image: image, Estimate: estimate, Needs: model.Resources{MilliCPU: 1600}}, index)
		r.job = newJob(fmt.Sprint("j", index), jobRecord{Spec: Spec{Steps: []Step{*r.step}}}, 1, now)
		r.job.openDue(now, 0, nil)
		return r
	}
	heavy := filler(1, "heavy", time.Second) // least work, so the most urgent
	for i := 2; i < 6; i++ {
		filler(i, "light", 10*time.Second)
	}
	v := tm.interference.viewOf(w, now)
	headroom := map[*serviceState]float64{v.services["s"]: v.services["s"].headroomSoon}
	require.Equal(t, heavy, tm.fillersByUrgency(w)[0])
	for _, r := range tm.fillersByHeadroomOrder(v, w) {
		pace := tm.paceFor(v, r, headroom, 1)
		if r == heavy {
			require.Less(t, pace, 100, "the heavy one gets only what the others leave")
		} else {
			require.Equal(t, 100, pace)
		}
	}
}
