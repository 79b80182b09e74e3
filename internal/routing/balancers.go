package routing

// RoundRobin takes the free runners in turn. It is a baseline.
type RoundRobin struct{ last int }

// Name returns "round-robin".
func (*RoundRobin) Name() string { return "round-robin" }

// Pick returns the free runner that follows the last choice.
func (b *RoundRobin) Pick(candidates []*Runner, _ Situation) int {
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

// PowerOfTwo takes the less loaded of two random free runners. It is a baseline.
type PowerOfTwo struct{}

// Name returns "power-of-two".
func (PowerOfTwo) Name() string { return "power-of-two" }

// Pick compares the in-flight counts of two random runners.
func (PowerOfTwo) Pick(candidates []*Runner, s Situation) int {
	a, b := s.Rand.IntN(len(candidates)), s.Rand.IntN(len(candidates))
	if candidates[b].inFlight < candidates[a].inFlight {
		return b
	}
	return a
}

const (
	// defaultChoices is the number of runners that LeastExpected compares.
	defaultChoices = 6
	// tailPart is the weight of the tail in the expected latency.
	tailPart = 0.25
	// loadPart scales the growth of latency with a runner's utilisation.
	loadPart = 0.5
)

// LeastExpected takes the runner with the least expected completion among a few
// random free ones. It weighs latency, tail, own and peers' requests in flight. It
// never waits for a busy runner: slow runners are left to the back-off, and a
// runner shunned for one long request would never be measured again.
type LeastExpected struct {
	// Choices is the number of runners compared. Default 6.
	Choices int
}

// Name returns "least-expected-completion".
func (LeastExpected) Name() string { return "least-expected-completion" }

// Pick returns the best of a few random candidates.
func (b LeastExpected) Pick(candidates []*Runner, s Situation) int {
	choices := b.Choices
	if choices <= 0 {
		choices = defaultChoices
	}
	return cheapest(candidates, s, choices)
}

// cheapest returns the best of n distinct random candidates. Distinctness comes
// from stepping through the list with a stride from a random start.
func cheapest(candidates []*Runner, s Situation, n int) int {
	size := len(candidates)
	n = min(n, size)
	start := s.Rand.IntN(size)
	stride := max(1, size/n)
	best, cost := -1, 0.0
	for k := range n {
		i := (start + k*stride) % size
		c := expected(candidates[i], s)
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

// expected returns the expected completion time of a request sent to r now.
func expected(r *Runner, s Situation) float64 {
	mean, tail := latency(r, s)
	base := mean + tailPart*(tail-mean)
	inFlight := float64(r.inFlight) + r.peers.inFlight(s.Now)
	return base * (1 + loadPart*inFlight/float64(max(1, r.limit)+8))
}

// latency blends own samples with peers' reports; without either it assumes the
// typical latency, so that an unknown runner is neither shunned nor flooded.
func latency(r *Runner, s Situation) (mean, tail float64) {
	mean, tail = r.est.mean, r.est.tail
	peer, weight := r.peers.mean(s.Now)
	own := float64(min(r.est.samples, 8))
	if own == 0 && weight == 0 {
		return float64(s.Typical), float64(s.Typical)
	}
	if weight > 0 {
		mean = (mean*own + peer*weight) / (own + weight)
	}
	return mean, max(mean, tail)
}

// New returns the balancer of the given name: least-expected-completion (also
// for the empty name), round-robin or power-of-two. Nil means an unknown name.
func New(name string) Balancer {
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
