// Package routing chooses the runner for a request. Its functions are pure: they
// take the time as an argument and perform no input or output, so that tests,
// replay and production run the same code. Nothing here is safe for concurrent
// use; the caller holds a lock.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Situation is what a Balancer knows besides the candidates.
type Situation struct {
	// Now is the time of the decision.
	Now time.Time
	// Typical is the median of the runners' latency estimates; 0 when unknown.
	Typical time.Duration
	// Rand is the source of random choices.
	Rand *rand.Rand
}

// Balancer chooses among runners with a free slot.
type Balancer interface {
	// Name identifies the balancer in decision logs.
	Name() string
	// Pick returns an index into candidates, which is not empty and is in no
	// particular order.
	Pick(candidates []*Runner, s Situation) int
}

// Runner is the state that a node keeps about one runner.
type Runner struct {
	// ID, Addr and DataCentre come from the host list.
	ID         model.RunnerID
	Addr       string
	DataCentre model.DataCentre

	// position orders runners for round robin.
	position int
	leaving  bool
	limit    int
	inFlight int
	est      Estimator
	peers    peerReports
	out      outage
	// free is the index in the pool's list of free runners, or -1.
	free int
}

// InFlight returns this node's requests in execution at r.
func (r *Runner) InFlight() int { return r.inFlight }

// Limit returns the number of slots that this node may use at r.
func (r *Runner) Limit() int { return r.limit }

// Leaving reports whether r receives no new requests because it is leaving.
func (r *Runner) Leaving() bool { return r.leaving }

// Out reports whether r is backed off as an outlier.
func (r *Runner) Out() bool { return r.out.active }

// Latency returns the estimate of r's mean and tail latency; 0 when unknown.
func (r *Runner) Latency() (mean, tail time.Duration) { return r.est.Mean(), r.est.Tail() }
