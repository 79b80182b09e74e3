package control

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/waiting"
)

// checkJitter is the relative jitter of the check interval: each interval is multiplied by
// a random factor between 1-checkJitter and 1+checkJitter.
const checkJitter = 0.2

// maxEarlyShare is the largest share of CheckAge by which a check that is due by age is
// brought forward. A few nodes check much earlier, so that their peers learn the newer
// confirmation by gossip before their own check is due. With a spread of only 0.2, 130 nodes
// make 70 reads per second instead of 48.
const maxEarlyShare = 0.8

// minRetryDelay is the initial backoff after a failed check.
const minRetryDelay = 250 * time.Millisecond

// checkDelay returns the time from now until the node's next check of the store. The
// members share the checks evenly; a check is due earlier when the view would become older
// than CheckAge. jitter is between -1 and 1.
func checkDelay(cfg Config, v *View, lastCheck, now time.Time, jitter float64) time.Duration {
	factor := 1 + checkJitter*jitter
	interval := time.Duration(float64(max(1, len(v.Members))) * float64(cfg.CheckEvery) * factor)
	dueByInterval := lastCheck.Add(interval).Sub(now)
	early := 1 - maxEarlyShare*max(jitter, -jitter)*jitter*jitter
	dueByAge := v.ConfirmedAt.Add(time.Duration(float64(cfg.CheckAge) * early)).Sub(now)
	return max(0, min(dueByInterval, dueByAge))
}

// Run checks the store at a bounded rate until ctx ends. While peers keep the view
// confirmed, all members together check once per CheckEvery; otherwise a node checks when
// its view reaches CheckAge. A failed check is retried with exponential backoff.
//
// With g peer responses per second, about g*exp(-g*CheckAge/2) further checks per second and
// node are due by age: 0.37 for two responses per second. Only the response to the node's
// own request confirms its view, because the age in an incoming request does not include the
// time that the request was in transit.
func (s *Store) Run(ctx context.Context) error {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.cfg.Node))
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	var lastCheck time.Time
	delay := minRetryDelay
	for {
		jitter := 2*rng.Float64() - 1
		if !s.waitForCheck(ctx, lastCheck, jitter) {
			return ctx.Err()
		}
		lastCheck = s.cfg.Now()
		err := s.Refresh(ctx)
		if err == nil {
			delay = minRetryDelay
			s.checksOK.Add(1)
			s.saveDueSnapshot(ctx)
			continue
		}
		s.checksFailed.Add(1)
		if s.cfg.OnError != nil && ctx.Err() == nil {
			s.cfg.OnError(err)
		}
		// While the store fails, the nodes retry with a growing, jittered delay.
		if !waiting.Sleep(ctx, delay/2+time.Duration(rng.Float64()*float64(delay))) {
			return ctx.Err()
		}
		delay = min(2*delay, s.cfg.CheckEvery)
	}
}

// saveDueSnapshot saves a snapshot when one is due. A failure is not retried; the next
// snapshot is due after SnapshotEvery further records.
func (s *Store) saveDueSnapshot(ctx context.Context) {
	s.mu.Lock()
	due := s.snapshotDue
	s.snapshotDue = false
	s.mu.Unlock()
	if due {
		_ = s.saveSnapshot(ctx)
	}
}

// waitForCheck sleeps until the next check is due. Confirmations from peers postpone it. It
// returns false when ctx ends.
func (s *Store) waitForCheck(ctx context.Context, lastCheck time.Time, jitter float64) bool {
	for {
		wait := checkDelay(s.cfg, s.View(), lastCheck, s.cfg.Now(), jitter)
		if wait <= 0 {
			return ctx.Err() == nil
		}
		if !waiting.Sleep(ctx, wait) {
			return false
		}
	}
}
