// Package routing chooses the runner for a request. It takes the time as an argument and
// performs no I/O, so that tests, replay and production run the same code. Nothing
// in it is safe for concurrent use; the caller holds a lock.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// PickContext holds the inputs of a Balancer in addition to the candidates.
type PickContext struct {
	// Now is the time of the decision.
	Now time.Time
	// MedianLatency is the median of the runners' mean latencies; 0 when unknown.
	MedianLatency time.Duration
	// Rand is the source of random choices.
	Rand *rand.Rand
}

// Balancer chooses among runners with a free slot.
type Balancer interface {
	// Name identifies the balancer in decision logs.
	Name() string
	// Pick returns an index into candidates, which is not empty and is in no
	// particular order.
	Pick(candidates []*Runner, s PickContext) int
}

// Runner is a node's state of one runner.
type Runner struct {
	// ID, Addr and DataCentre come from the host list.
	ID         model.RunnerID
	Addr       string
	DataCentre model.DataCentre

	// position is the index in Pool.order and the order for round robin.
	position int
	leaving  bool
	limit    int
	inFlight int
	est      Estimator
	peers    peerReports
	backoff  backoffState
	// freeIndex is the index in Pool.free, or -1.
	freeIndex int
}

// InFlight returns the number of this node's requests in flight at r.
func (r *Runner) InFlight() int { return r.inFlight }

// Limit returns the number of slots that this node may use at r.
func (r *Runner) Limit() int { return r.limit }

// Leaving reports whether r receives no new requests because it is leaving.
func (r *Runner) Leaving() bool { return r.leaving }

// BackedOff reports whether r is backed off as an outlier.
func (r *Runner) BackedOff() bool { return r.backoff.active }

// Latency returns the estimate of r's mean and tail latency; 0 when unknown.
func (r *Runner) Latency() (mean, tail time.Duration) { return r.est.Mean(), r.est.Tail() }
