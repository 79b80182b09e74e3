package routing

// RoundRobin chooses the free runners in turn. It serves as a baseline for comparisons.
type RoundRobin struct{ last int }

// Name returns "round-robin".
func (*RoundRobin) Name() string { return "round-robin" }

// Pick returns the next free runner by position after the last choice.
func (b *RoundRobin) Pick(candidates []*Runner, _ PickContext) int {
	next, first := -1, 0
	for i, r := range candidates {
		if r.position < candidates[first].position {
			first = i
		}
		if r.position > b.last && (next < 0 || r.position < candidates[next].position) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	b.last = candidates[next].position
	return next
}

// PowerOfTwo chooses the less loaded of two random free runners. It serves as a baseline for
// comparisons.
type PowerOfTwo struct{}

// Name returns "power-of-two".
func (PowerOfTwo) Name() string { return "power-of-two" }

// Pick returns the one of two random runners with fewer requests in flight.
func (PowerOfTwo) Pick(candidates []*Runner, s PickContext) int {
	a, b := s.Rand.IntN(len(candidates)), s.Rand.IntN(len(candidates))
	if candidates[b].inFlight < candidates[a].inFlight {
		return b
	}
	return a
}

const (
	// defaultChoices is the number of runners that LeastExpected compares.
	defaultChoices = 6
	// tailWeight is the weight of the tail in the expected latency.
	tailWeight = 0.25
	// loadWeight is the weight of a runner's utilisation in the expected latency.
	loadWeight = 0.5
)

// LeastExpected chooses the runner with the least expected completion time among a few random
// free ones. The estimate covers mean and tail latency and the requests in flight from this
// node and its peers. It never waits for a busy runner. Slow runners are excluded by the
// backoff, because a runner that the balancer avoids after one long request would not be
// measured again.
type LeastExpected struct {
	// Choices is the number of runners that are compared. Default 6.
	Choices int
}

// Name returns "least-expected-completion".
func (LeastExpected) Name() string { return "least-expected-completion" }

// Pick returns the candidate with the least expected completion time of a random selection.
func (b LeastExpected) Pick(candidates []*Runner, s PickContext) int {
	choices := b.Choices
	if choices <= 0 {
		choices = defaultChoices
	}
	return lowestCost(candidates, s, choices)
}

// lowestCost returns the candidate with the least expected completion time among n distinct
// ones. It selects these at equal distances from a random start.
func lowestCost(candidates []*Runner, s PickContext, n int) int {
	size := len(candidates)
	n = min(n, size)
	start := s.Rand.IntN(size)
	stride := max(1, size/n)
	best, cost := -1, 0.0
	for k := range n {
		i := (start + k*stride) % size
		c := expectedCompletion(candidates[i], s)
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

// expectedCompletion returns the expected completion time of a request sent to r now.
func expectedCompletion(r *Runner, s PickContext) float64 {
	mean, tail := blendedLatency(r, s)
	base := mean + tailWeight*(tail-mean)
	inFlight := float64(r.inFlight) + r.peers.inFlight(s.Now)
	return base * (1 + loadWeight*inFlight/float64(max(1, r.limit)+8))
}

// blendedLatency combines own samples with peers' reports, weighted. Without either it returns
// the median latency, so that an unknown runner is neither avoided nor overloaded.
func blendedLatency(r *Runner, s PickContext) (mean, tail float64) {
	mean, tail = r.est.mean, r.est.tail
	peer, weight := r.peers.mean(s.Now)
	own := float64(min(r.est.samples, 8))
	if own == 0 && weight == 0 {
		return float64(s.MedianLatency), float64(s.MedianLatency)
	}
	if weight > 0 {
		mean = (mean*own + peer*weight) / (own + weight)
	}
	return mean, max(mean, tail)
}

// NewBalancer returns the balancer with the given name: least-expected-completion (also for the
// empty name), round-robin or power-of-two. It returns nil for an unknown name.
func NewBalancer(name string) Balancer {
	switch name {
	case "", "least-expected-completion":
		return LeastExpected{}
	case "round-robin":
		return &RoundRobin{last: -1}
	case "power-of-two":
		return PowerOfTwo{}
	}
	return nil
}
