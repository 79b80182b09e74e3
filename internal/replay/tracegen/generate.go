package tracegen

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// shape describes the hardware, the services and the usual batch jobs of a deployment.
type shape struct {
	Name        string              `json:"name"`
	DataCentres []replay.DataCentre `json:"data_centres"`
	Services    []replay.Service    `json:"services"`
	Classes     []replay.Class      `json:"classes"`
	Teams       []replay.Team       `json:"teams"`
	Mix         []jobKind           `json:"mix"`
	// NoisyClass is the class with the largest slowdown of services.
	NoisyClass model.ClassName `json:"noisy"`
}

// jobKind is one kind of job in the mix.
type jobKind struct {
	Class model.ClassName `json:"class"`
	Team  model.TeamName  `json:"team"`
	// Share is the share of the offered core-seconds.
	Share float64 `json:"share"`
	// Tasks is the mean number of tasks of a job.
	Tasks     int       `json:"tasks"`
	Gang      bool      `json:"gang"`
	Cores     []float64 `json:"cores"`
	GBPerCore float64   `json:"gb_per_core"`
	// MedianRun is the median run time in seconds.
	MedianRun float64 `json:"run_s"`
}

type generator struct {
	shape    shape
	header   replay.Header
	events   []replay.Event
	rng      *rand.Rand
	jobCount int
	// adjust modifies each submission before it is added.
	adjust func(*replay.Submit)
}

func newGenerator(s shape, sc scenario, seed uint64) *generator {
	g := &generator{shape: s, rng: rand.New(rand.NewPCG(seed, 7))}
	g.header = replay.Header{
		Format: replay.Format, Name: s.Name + "-" + sc.name, Seed: seed,
		Horizon: replay.Seconds(sc.minutes * 60), Settle: 3600,
		DataCentres: s.DataCentres, Services: s.Services, Classes: s.Classes, Teams: s.Teams,
		Expect: sc.expect,
	}
	return g
}

func (g *generator) add(at float64, e replay.Event) {
	e.At = replay.Seconds(math.Round(at*100) / 100)
	g.events = append(g.events, e)
}

func (g *generator) sortedEvents() []replay.Event {
	slices.SortStableFunc(g.events, func(a, b replay.Event) int { return cmp.Compare(a.At, b.At) })
	return g.events
}

func (g *generator) horizon() float64 { return float64(g.header.Horizon) }

// cores returns the total number of cores of the deployment.
func (g *generator) cores() float64 {
	sum := 0.0
	for _, dc := range g.shape.DataCentres {
		sum += float64(dc.Racks*dc.WorkersPerRack) * dc.Cores
	}
	return sum
}

// submitMix submits the usual mix over the whole trace. rate returns the offered work, as a
// share of the cores of the deployment, at a relative time from 0 to 1.
func (g *generator) submitMix(rate func(at float64) float64) {
	for _, part := range g.shape.Mix {
		g.submitJobs(part, part.Share, 0, g.horizon(), rate)
	}
}

// submitJobs submits jobs of one kind between two times.
func (g *generator) submitJobs(part jobKind, share, from, to float64, rate func(float64) float64) {
	perJob := float64(part.Tasks) * mean(part.Cores) * part.MedianRun * runMean
	for at := from; ; {
		jobsPerSecond := rate(at/g.horizon()) * share * g.cores() / perJob
		at += g.rng.ExpFloat64() / max(jobsPerSecond, 1e-6)
		if at >= to {
			return
		}
		g.submitJob(at, part)
	}
}

// runSigma is the log-normal standard deviation of run times. runMean is their mean as a
// multiple of the median.
const (
	runSigma = 0.6
	runMean  = 1.197
)

func (g *generator) submitJob(at float64, part jobKind) *replay.Submit {
	g.jobCount++
	tasks := 1 + g.rng.IntN(2*part.Tasks-1)
	cores := part.Cores[g.rng.IntN(len(part.Cores))]
	s := &replay.Submit{
		Job: model.JobID(fmt.Sprintf("j%05d", g.jobCount)), Team: part.Team, Class: part.Class,
		Tasks: tasks, Gang: part.Gang && tasks > 1, Cores: cores, MemoryGB: cores * part.GBPerCore,
	}
	base := part.MedianRun * math.Exp(runSigma*g.rng.NormFloat64())
	s.RunTimes = []replay.Seconds{replay.Seconds(math.Round(base))}
	s.DeclaredRun = replay.Seconds(math.Round(base * math.Exp(0.4*g.rng.NormFloat64())))
	if g.adjust != nil {
		g.adjust(s)
	}
	g.add(at, replay.Event{Submit: s})
	return s
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// jobKindOf returns the job kind of a class.
func (g *generator) jobKindOf(class model.ClassName) jobKind {
	i := slices.IndexFunc(g.shape.Mix, func(p jobKind) bool { return p.Class == class })
	return g.shape.Mix[i]
}

func (g *generator) dc(i int) model.DataCentre { return g.shape.DataCentres[i].Name }

// setLoad sets the load of the services in all data centres.
func (g *generator) setLoad(at, factor float64) {
	for _, dc := range g.shape.DataCentres {
		g.add(at, replay.Event{Load: &replay.LoadChange{DataCentre: dc.Name, Factor: math.Round(factor*100) / 100}})
	}
}

// varyLoadDaily varies the load of the services as over a day.
func (g *generator) varyLoadDaily() {
	const steps = 24
	for i := range steps {
		g.setLoad(g.horizon()*float64(i)/steps, dailyLoad(float64(i)/steps))
	}
}

// dailyLoad returns the load at a relative time of the day: low at night, with its peak after
// noon.
func dailyLoad(at float64) float64 { return 0.75 + 0.45*math.Sin(2*math.Pi*(at-0.3)) }

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }
