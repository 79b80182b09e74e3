package tracegen

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// scenario describes one recorded trace.
type scenario struct {
	name    string
	minutes float64
	expect  replay.Expectations
	build   func(*generator)
}

// Expected outcomes. They are the targets of the project, not measured values.
const (
	tailTarget     = 1.1
	offlineTarget  = 0.9
	outTarget      = 0.95
	evictionTarget = 2.0 / 3
	urgentTarget   = 1400
)

func expectations(change func(*replay.Expectations)) replay.Expectations {
	e := replay.Expectations{MaxTailRatio: tailTarget, MinOfflineShare: offlineTarget, MaxUrgentMs: urgentTarget}
	if change != nil {
		change(&e)
	}
	return e
}

func intPtr(n int) *int { return &n }

var scenarios = []scenario{
	{"day", 40, expectations(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget; e.Unrunnable = intPtr(2) }), dailyCycle},
	{"noisy-waves", 20, expectations(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget }), noisyWaves},
	{"dc-out", 25, expectations(func(e *replay.Expectations) { e.MinOutShare = outTarget; e.MaxEvictionShare = evictionTarget }), dataCentreOut},
	{"store-outage", 25, expectations(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget }), storeOutage},
	{"rack-lost", 15, expectations(nil), rackDown},
	{"wrong-sizes", 20, expectations(nil), wrongSizes},
	{"cancel-wave", 15, expectations(nil), cancelWave},
	{"bad-worker", 20, expectations(func(e *replay.Expectations) { e.Failed = intPtr(0) }), badWorker},
	{"operators", 15, expectations(func(e *replay.Expectations) { e.Refused = intPtr(2) }), concurrentOperators},
	{"several", 30, expectations(func(e *replay.Expectations) { e.MinOutShare = outTarget; e.MaxEvictionShare = evictionTarget }), severalFaults},
}

// dailyCycle is a compressed day: the load of the services rises and falls, batch work is
// offered in the opposite phase, one worker fails, and two jobs can never run.
func dailyCycle(g *generator) {
	g.varyLoadDaily()
	g.submitMix(func(at float64) float64 { return 1.35 - 0.6*dailyLoad(at) })
	g.workerDown(900, 1, 3, 300)
	g.submitTooLarge(300)
	g.submitTooLarge(1500)
}

// submitTooLarge submits a job that exceeds the largest worker.
func (g *generator) submitTooLarge(at float64) {
	s := g.submitJob(at, g.shape.Mix[1])
	s.Tasks, s.RunTimes, s.Gang = 1, s.RunTimes[:1], false
	s.Cores = 2 * g.shape.DataCentres[0].Cores
	s.MemoryGB = g.shape.DataCentres[0].MemoryGB
}

func (g *generator) workerDown(at float64, dc, index int, seconds float64) {
	id := g.workerID(dc, index)
	g.add(at, replay.Event{HostDown: &replay.HostFault{Workers: id, Duration: replay.Seconds(seconds)}})
}

// workerID returns the ID of a worker.
func (g *generator) workerID(dc, index int) string {
	d := g.shape.DataCentres[dc]
	return fmt.Sprintf("%s/r%d/w%02d", d.Name, index/d.WorkersPerRack, index)
}

// noisyWaves submits bursts of the class that slows services down most. For a time its effect
// on services doubles.
func noisyWaves(g *generator) {
	g.setLoad(0, 1.1)
	g.submitMix(constant(0.6))
	part := g.jobKindOf(g.shape.NoisyClass)
	for _, at := range []float64{120, 480, 840} {
		g.submitJobs(part, 1, at, at+60, constant(1.2))
	}
	g.add(500, replay.Event{Noise: &replay.Noise{Class: g.shape.NoisyClass, Factor: 2, Duration: 180}})
}

// dataCentreOut takes a data centre out of service under load, and returns it.
func dataCentreOut(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.95))
	g.addCommand(480, -1, func(o *replay.Operate) { o.Out = g.dc(1) })
	g.addCommand(960, -1, func(o *replay.Operate) { o.In = g.dc(1) })
}

func (g *generator) addCommand(at float64, saw int64, change func(*replay.Operate)) {
	o := &replay.Operate{Actor: "board", ExpectedSequence: saw}
	change(o)
	g.add(at, replay.Event{Operate: o})
}

// storeOutage makes the store unavailable for ten minutes. A worker fails meanwhile.
func storeOutage(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.6))
	g.add(360, replay.Event{Store: &replay.StoreOutage{Duration: 600}})
	g.workerDown(600, 0, 5, 120)
}

// rackDown stops a rack for five minutes.
func rackDown(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.75))
	rack := fmt.Sprintf("%s/r1/", g.dc(0))
	g.add(300, replay.Event{HostDown: &replay.HostFault{Workers: rack, Duration: 300}})
}

// wrongSizes declares run times and cores that are wrong by a factor of ten in both
// directions.
func wrongSizes(g *generator) {
	g.setLoad(0, 1)
	n := 0
	g.adjust = func(s *replay.Submit) {
		n++
		switch n % 4 {
		case 0:
			s.DeclaredRun *= 10
		case 1:
			s.DeclaredRun = max(s.DeclaredRun/10, 1)
		case 2:
			s.NeededCores = s.Cores / 10
		case 3:
			s.NeededCores = s.Cores * 10
			s.RunTimes[0] = max(s.RunTimes[0]/10, 2)
		}
	}
	g.submitMix(constant(0.7))
}

// cancelWave cancels about a third of the recently submitted jobs at once, twice.
func cancelWave(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.9))
	jobs := g.sortedEvents()
	for _, at := range []float64{300, 600} {
		var wave []model.JobID
		for _, e := range jobs {
			if e.Submit != nil && float64(e.At) < at-1 && float64(e.At) > at-200 && g.rng.IntN(3) == 0 {
				wave = append(wave, e.Submit.Job)
			}
		}
		g.add(at, replay.Event{Cancel: &replay.Cancel{Jobs: wave}})
	}
}

// badWorker has two workers that fail every task they start, one of them permanently.
func badWorker(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.75))
	g.add(60, replay.Event{BadWorker: &replay.HostFault{Workers: g.workerID(0, 2), Duration: 100000}})
	g.add(120, replay.Event{BadWorker: &replay.HostFault{Workers: g.workerID(1, 7), Duration: 300}})
}

// concurrentOperators has two operators who send conflicting commands: of two commands with
// the same expected control sequence, the second is refused.
func concurrentOperators(g *generator) {
	g.setLoad(0, 1)
	g.submitMix(constant(0.5))
	g.addCommand(200, 1, func(o *replay.Operate) { o.Actor, o.Out = "ann", g.dc(0) })
	g.addCommand(200.2, 1, func(o *replay.Operate) { o.Actor, o.Out = "ben", g.dc(1) })
	g.addCommand(400, 2, func(o *replay.Operate) { o.Actor, o.In = "ben", g.dc(0) })
	g.addCommand(400.1, 2, func(o *replay.Operate) { o.Actor, o.Teams = "ann", g.shape.Teams[:1] })
	g.addCommand(420, 3, func(o *replay.Operate) { o.Actor, o.Teams = "ann", g.shape.Teams })
}

// severalFaults combines a data centre out of service with a rack failure, owner restarts, a
// store outage, a burst of the noisy class, a faulty worker and cancellations.
func severalFaults(g *generator) {
	g.varyLoadDaily()
	g.submitMix(constant(0.6))
	g.addCommand(300, -1, func(o *replay.Operate) { o.Out = g.dc(0) })
	g.add(330, replay.Event{HostDown: &replay.HostFault{Workers: fmt.Sprintf("%s/r0/", g.dc(1)), Duration: 240}})
	g.add(420, replay.Event{OwnerRestart: &replay.Restart{DataCentre: g.dc(1)}})
	g.addCommand(700, -1, func(o *replay.Operate) { o.In = g.dc(0) })
	g.add(900, replay.Event{Store: &replay.StoreOutage{Duration: 120}})
	g.submitJobs(g.jobKindOf(g.shape.NoisyClass), 1, 1080, 1140, constant(0.8))
	g.add(1100, replay.Event{BadWorker: &replay.HostFault{Workers: g.workerID(2, 1), Duration: 300}})
	g.add(1200, replay.Event{OwnerRestart: &replay.Restart{DataCentre: g.dc(2)}})
	var wave []model.JobID
	for _, e := range g.sortedEvents() {
		if e.Submit != nil && e.At > 1100 && e.At < 1290 && g.rng.IntN(3) == 0 {
			wave = append(wave, e.Submit.Job)
		}
	}
	g.add(1300, replay.Event{Cancel: &replay.Cancel{Jobs: wave}})
}
