package tracegen

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// scenario is one recorded trace.
type scenario struct {
	name    string
	minutes float64
	expect  replay.Expectations
	build   func(*generator)
}

// Stated outcomes. They are the targets of the project, not measured values.
const (
	tailTarget     = 1.1
	offlineTarget  = 0.9
	outTarget      = 0.95
	evictionTarget = 2.0 / 3
	urgentTarget   = 1400
)

func expect(change func(*replay.Expectations)) replay.Expectations {
	e := replay.Expectations{MaxTailRatio: tailTarget, MinOfflineShare: offlineTarget, MaxUrgentMs: urgentTarget}
	if change != nil {
		change(&e)
	}
	return e
}

func count(n int) *int { return &n }

var scenarios = []scenario{
	{"day", 40, expect(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget; e.Unrunnable = count(2) }), day},
	{"noisy-waves", 20, expect(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget }), noisyWaves},
	{"dc-out", 25, expect(func(e *replay.Expectations) { e.MinOutShare = outTarget; e.MaxEvictionShare = evictionTarget }), dataCentreOut},
	{"store-outage", 25, expect(func(e *replay.Expectations) { e.MaxEvictionShare = evictionTarget }), storeOutage},
	{"rack-lost", 15, expect(nil), rackLost},
	{"wrong-sizes", 20, expect(nil), wrongSizes},
	{"cancel-wave", 15, expect(nil), cancelWave},
	{"bad-worker", 20, expect(func(e *replay.Expectations) { e.Failed = count(0) }), badWorker},
	{"operators", 15, expect(func(e *replay.Expectations) { e.Refused = count(2) }), operators},
	{"several", 30, expect(func(e *replay.Expectations) { e.MinOutShare = outTarget; e.MaxEvictionShare = evictionTarget }), several},
}

// day is a compressed day: the services' load rises and falls, batch work is
// offered against it, one worker fails, and two jobs can never run.
func day(g *generator) {
	g.daily()
	g.offer(func(at float64) float64 { return 1.35 - 0.6*dayLoad(at) })
	g.workerDown(900, 1, 3, 300)
	g.tooLarge(300)
	g.tooLarge(1500)
}

// tooLarge submits a job that exceeds the largest worker.
func (g *generator) tooLarge(at float64) {
	s := g.submit(at, g.shape.Mix[1])
	s.Tasks, s.Run, s.Gang = 1, s.Run[:1], false
	s.Cores = 2 * g.shape.DataCentres[0].Cores
	s.MemoryGB = g.shape.DataCentres[0].MemoryGB
}

func (g *generator) workerDown(at float64, dc, index int, seconds float64) {
	id := g.workers(dc, index)
	g.add(at, replay.Event{Down: &replay.HostFault{Workers: id, For: replay.Seconds(seconds)}})
}

// workers returns the id of a worker.
func (g *generator) workers(dc, index int) string {
	d := g.shape.DataCentres[dc]
	return fmt.Sprintf("%s/r%d/w%02d", d.Name, index/d.WorkersPerRack, index)
}

// noisyWaves submits waves of the class that slows services most, which also
// becomes twice as noisy for a time.
func noisyWaves(g *generator) {
	g.load(0, 1.1)
	g.offer(constant(0.6))
	part := g.part(g.shape.Noisy)
	for _, at := range []float64{120, 480, 840} {
		g.offerPart(part, 1, at, at+60, constant(1.2))
	}
	g.add(500, replay.Event{Noise: &replay.Noise{Class: g.shape.Noisy, Factor: 2, For: 180}})
}

// dataCentreOut takes a data centre out at short notice under load, and returns it.
func dataCentreOut(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.95))
	g.operate(480, -1, func(o *replay.Operate) { o.Out = g.dc(1) })
	g.operate(960, -1, func(o *replay.Operate) { o.In = g.dc(1) })
}

func (g *generator) operate(at float64, saw int64, change func(*replay.Operate)) {
	o := &replay.Operate{Actor: "board", Saw: saw}
	change(o)
	g.add(at, replay.Event{Operate: o})
}

// storeOutage stops the store for ten minutes; a worker fails meanwhile.
func storeOutage(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.6))
	g.add(360, replay.Event{Store: &replay.StoreOutage{For: 600}})
	g.workerDown(600, 0, 5, 120)
}

// rackLost stops a rack for five minutes.
func rackLost(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.75))
	rack := fmt.Sprintf("%s/r1/", g.dc(0))
	g.add(300, replay.Event{Down: &replay.HostFault{Workers: rack, For: 300}})
}

// wrongSizes declares run times and processors wrong by ten times both ways.
func wrongSizes(g *generator) {
	g.load(0, 1)
	n := 0
	g.tweak = func(s *replay.Submit) {
		n++
		switch n % 4 {
		case 0:
			s.Declared *= 10
		case 1:
			s.Declared = max(s.Declared/10, 1)
		case 2:
			s.Needs = s.Cores / 10
		case 3:
			s.Needs = s.Cores * 10
			s.Run[0] = max(s.Run[0]/10, 2)
		}
	}
	g.offer(constant(0.7))
}

// cancelWave cancels a tenth of the jobs so far at once, twice.
func cancelWave(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.9))
	jobs := g.sorted()
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

// badWorker has two workers that fail what they start, one of them for good.
func badWorker(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.75))
	g.add(60, replay.Event{Bad: &replay.HostFault{Workers: g.workers(0, 2), For: 100000}})
	g.add(120, replay.Event{Bad: &replay.HostFault{Workers: g.workers(1, 7), For: 300}})
}

// operators has two operators who race: of two commands that saw the same
// control sequence, the second is refused.
func operators(g *generator) {
	g.load(0, 1)
	g.offer(constant(0.5))
	g.operate(200, 1, func(o *replay.Operate) { o.Actor, o.Out = "ann", g.dc(0) })
	g.operate(200.2, 1, func(o *replay.Operate) { o.Actor, o.Out = "ben", g.dc(1) })
	g.operate(400, 2, func(o *replay.Operate) { o.Actor, o.In = "ben", g.dc(0) })
	g.operate(400.1, 2, func(o *replay.Operate) { o.Actor, o.Teams = "ann", g.shape.Teams[:1] })
	g.operate(420, 3, func(o *replay.Operate) { o.Actor, o.Teams = "ann", g.shape.Teams })
}

// several has a data centre out while a rack fails, a store outage, a noisy
// wave, an owner that dies, and cancellations.
func several(g *generator) {
	g.daily()
	g.offer(constant(0.6))
	g.operate(300, -1, func(o *replay.Operate) { o.Out = g.dc(0) })
	g.add(330, replay.Event{Down: &replay.HostFault{Workers: fmt.Sprintf("%s/r0/", g.dc(1)), For: 240}})
	g.add(420, replay.Event{Restart: &replay.Restart{DataCentre: g.dc(1)}})
	g.operate(700, -1, func(o *replay.Operate) { o.In = g.dc(0) })
	g.add(900, replay.Event{Store: &replay.StoreOutage{For: 120}})
	g.offerPart(g.part(g.shape.Noisy), 1, 1080, 1140, constant(0.8))
	g.add(1100, replay.Event{Bad: &replay.HostFault{Workers: g.workers(2, 1), For: 300}})
	g.add(1200, replay.Event{Restart: &replay.Restart{DataCentre: g.dc(2)}})
	var wave []model.JobID
	for _, e := range g.sorted() {
		if e.Submit != nil && e.At > 1100 && e.At < 1290 && g.rng.IntN(3) == 0 {
			wave = append(wave, e.Submit.Job)
		}
	}
	g.add(1300, replay.Event{Cancel: &replay.Cancel{Jobs: wave}})
}
