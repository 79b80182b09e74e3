package adminapi

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Rate limit of failed authentications, over all clients.
const (
	failuresPerSecond = 5
	failuresBurst     = 20
)

// limits holds a rate limiter for each operator. Its size is bounded by the number of
// operators, because only authenticated names enter the map.
type limits struct {
	perSecond rate.Limit
	burst     int
	failures  *rate.Limiter

	mu        sync.Mutex
	operators map[string]*rate.Limiter
}

func newLimits(perSecond rate.Limit, burst int) *limits {
	return &limits{
		perSecond: perSecond, burst: burst,
		failures:  rate.NewLimiter(failuresPerSecond, failuresBurst),
		operators: map[string]*rate.Limiter{},
	}
}

// allow returns an error when the operator exceeds the rate limit.
func (l *limits) allow(actor string) error {
	l.mu.Lock()
	limiter, ok := l.operators[actor]
	if !ok {
		limiter = rate.NewLimiter(l.perSecond, l.burst)
		l.operators[actor] = limiter
	}
	l.mu.Unlock()
	if limiter.Allow() {
		return nil
	}
	return model.Errorf(model.KindExhausted, "wait a second and repeat the command; its request id keeps it from running twice",
		"operator %s sends more than %.0f requests a second", actor, float64(l.perSecond))
}
