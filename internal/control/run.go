package control

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/waiting"
)

// checkJitter spreads the checks of the nodes: each interval is multiplied by a
// factor between 1-checkJitter and 1+checkJitter.
const checkJitter = 0.2

// maxEarly is the share of CheckAge by which a check that is due by age may be
// early. Few nodes check much earlier, so that their peers learn the newer age
// before their own check; with a spread of only 0.2, 130 nodes made 70 reads a
// second instead of 48.
const maxEarly = 0.8

// retryDelay is the shortest time between two checks that fail.
const retryDelay = 250 * time.Millisecond

// nextCheck returns how long after now the node checks the store: its share of
// the checks of all members, or earlier when its view would become too old.
// jitter is between -1 and 1.
func nextCheck(cfg Config, v *View, lastCheck, now time.Time, jitter float64) time.Duration {
	factor := 1 + checkJitter*jitter
	share := time.Duration(float64(max(1, len(v.Members))) * float64(cfg.CheckEvery) * factor)
	byShare := lastCheck.Add(share).Sub(now)
	early := 1 - maxEarly*max(jitter, -jitter)*jitter*jitter
	byAge := v.ConfirmedAt.Add(time.Duration(float64(cfg.CheckAge) * early)).Sub(now)
	return max(0, min(byShare, byAge))
}

// Run checks the store at a bounded rate until ctx ends: once a second divided
// over the members while peers keep the view confirmed, and otherwise when the
// view reaches CheckAge. A failed check is repeated with backoff.
//
// With g responses of peers a second, about g*exp(-g*CheckAge/2) checks a second
// and node are due by age in addition: 0.37 for two a second. A view is confirmed
// only by the response to an own request, because the age that a request carries
// says nothing about the time that the request was under way.
func (s *Store) Run(ctx context.Context) error {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.cfg.Node))
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	var lastCheck time.Time
	delay := retryDelay
	for {
		jitter := 2*random.Float64() - 1
		if !s.waitUntilDue(ctx, lastCheck, jitter) {
			return ctx.Err()
		}
		lastCheck = s.cfg.Now()
		err := s.Refresh(ctx)
		if err == nil {
			delay = retryDelay
			s.checksOK.Add(1)
			s.saveDueSnapshot(ctx)
			continue
		}
		s.checksFailed.Add(1)
		if s.cfg.OnError != nil && ctx.Err() == nil {
			s.cfg.OnError(err)
		}
		// While the store fails, nodes spread their checks over a growing delay.
		if !waiting.Sleep(ctx, delay/2+time.Duration(random.Float64()*float64(delay))) {
			return ctx.Err()
		}
		delay = min(2*delay, s.cfg.CheckEvery)
	}
}

// saveDueSnapshot saves a snapshot when one is due. A failure is not repeated;
// the next one is due after SnapshotEvery further records.
func (s *Store) saveDueSnapshot(ctx context.Context) {
	s.mu.Lock()
	due := s.snapshotDue
	s.snapshotDue = false
	s.mu.Unlock()
	if due {
		_ = s.saveSnapshot(ctx)
	}
}

// waitUntilDue sleeps until the next check. Confirmations by peers postpone it.
func (s *Store) waitUntilDue(ctx context.Context, lastCheck time.Time, jitter float64) bool {
	for {
		wait := nextCheck(s.cfg, s.View(), lastCheck, s.cfg.Now(), jitter)
		if wait <= 0 {
			return ctx.Err() == nil
		}
		if !waiting.Sleep(ctx, wait) {
			return false
		}
	}
}
