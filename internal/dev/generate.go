package dev

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Parameters of generated traces, in milliseconds unless stated otherwise.
const (
	traceLength        = 34_000
	idempotentPerSec   = 180
	nonIdempotentEvery = 450
	orderEvery         = 350
	takeOutAt          = 9_000
	returnAt           = 19_000
	acceptAt           = 6_000
	runnerLeavesAt     = 12_000
	runnerSlowAt       = 4_000
	storeDownAt        = 15_000
	storeDownFor       = 2_500
	stopNodeAt         = 21_000
	killNodeAt         = 25_000
	startNodeAfter     = 1_500
	lastOrderAt        = 27_000
)

// Generate returns a trace for a declaration: steady idempotent and non-idempotent
// requests, orders of all its classes, and each kind of operator action and fault. The
// same seed gives the same trace.
func Generate(d *declaration.Declaration, seed uint64) *Trace {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 1)), decl: d}
	g.idempotentRequests()
	g.nonIdempotentRequests()
	g.orders()
	g.actions()
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return &Trace{Header: g.header(seed), Events: g.events}
}

type generator struct {
	rng    *rand.Rand
	decl   *declaration.Declaration
	events []Event
}

func (g *generator) add(e Event) { g.events = append(g.events, e) }

func (g *generator) header(seed uint64) Header {
	h := Header{
		Format: TraceFormat, Name: g.decl.Deployment, Seed: seed, DurationMS: traceLength,
		ServiceMedianMS: 18, ServiceSigma: 0.4,
		Slowdown: map[model.ClassName]float64{},
		Expect: Expectations{
			MaxP99MS:    float64(g.decl.Services[0].TargetP99.D().Milliseconds()),
			MinAnswered: 0.999, MinDone: 1, MaxUrgentMS: 1400, MaxConfigMS: 4000,
		},
	}
	for i, c := range g.decl.BatchClasses {
		h.Slowdown[c.Name] = 0.02 * float64(i+1)
	}
	return h
}

// idempotentRequests adds idempotent requests as a Poisson process whose rate increases
// during the trace.
func (g *generator) idempotentRequests() {
	service := g.decl.Services[0].Name
	for at := 0.0; at < traceLength; {
		rate := idempotentPerSec * (0.7 + 0.6*at/traceLength)
		at += g.rng.ExpFloat64() * 1000 / rate
		g.add(Event{At: int64(at), Idempotent: &IdempotentRequest{Service: service, Bytes: 64 + g.rng.IntN(2000)}})
	}
}

func (g *generator) nonIdempotentRequests() {
	service := g.decl.Services[0].Name
	for at := 500; at < traceLength; at += nonIdempotentEvery {
		g.add(Event{At: int64(at + g.rng.IntN(100)), NonIdempotent: &NonIdempotentRequest{
			Service: service, Bytes: 1000 + g.rng.IntN(20_000), Twice: g.rng.IntN(3) == 0,
		}})
	}
}

func (g *generator) orders() {
	i := 0
	for at := 300; at < lastOrderAt; at += orderEvery {
		g.add(Event{At: int64(at + g.rng.IntN(100)), Order: g.order(i)})
		i++
	}
}

// order returns a job of the next class. Every ninth declares a tenth of its true run
// time, every twelfth is urgent, every fifteenth is cancelled, and one does not fit on any
// worker.
func (g *generator) order(i int) *Order {
	class := g.decl.BatchClasses[i%len(g.decl.BatchClasses)]
	worker := g.decl.DataCentres[0].Worker
	run := int64(1000 + g.rng.IntN(5000))
	o := &Order{
		Team: g.decl.Teams[i%len(g.decl.Teams)].Name, Class: class.Name,
		Tasks: 1 + g.rng.IntN(6), Cores: class.Resources.Cores, Memory: class.Resources.MemoryGB,
		RunMS: run, DeclaredMS: run,
	}
	switch {
	case i == 17:
		o.Unschedulable, o.Cores = true, worker.Cores*4
	case i%15 == 14:
		o.CancelAfterMS = 800
	case i%12 == 11:
		o.Urgency, o.Tasks, o.RunMS = "urgent", 1, 1000
	case i%9 == 8:
		o.DeclaredMS = run / 10
	}
	return o
}

func (g *generator) actions() {
	dc := g.decl.DataCentres[0].Name
	// Runners are numbered by data centre. These two are not in the first data centre,
	// which gets no requests while it is out of service.
	runners := g.decl.Services[0].Runners
	g.add(Event{At: runnerSlowAt, RunnerSlow: runners / 2})
	g.add(Event{At: acceptAt, Accept: true})
	g.add(Event{At: takeOutAt, Out: dc})
	g.add(Event{At: runnerLeavesAt, RunnerLeaves: runners - 2})
	g.add(Event{At: storeDownAt, StoreDownMS: storeDownFor})
	g.add(Event{At: returnAt, In: dc})
	g.add(Event{At: stopNodeAt, StopNode: 2})
	g.add(Event{At: stopNodeAt + 5*startNodeAfter, StartNode: 2})
	g.add(Event{At: killNodeAt, KillNode: 3})
	g.add(Event{At: killNodeAt + startNodeAfter, StartNode: 3})
}
