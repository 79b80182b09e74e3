package request

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// maxAttempts limits the attempts for one idempotent request.
const maxAttempts = 3

// attemptSet is the set of attempts for one idempotent request.
type attemptSet struct {
	chain      *Chain
	cl         *call
	results    chan attempt
	cancels    []context.CancelFunc
	sent       int
	pending    int
	lastRunner model.RunnerID
}

// run sends the request and returns the first complete response, or the last failure. Other
// attempts are cancelled and their responses discarded.
func (f *attemptSet) run() attempt {
	hedge := time.NewTimer(f.earnBudget())
	f.start(f.cl.grant)
	f.cl.grant = nil
	defer hedge.Stop()
	for {
		select {
		case a := <-f.results:
			f.pending--
			if a.response != nil {
				f.cancelOthers(a.response)
				return a
			}
			if f.retry(a) || f.pending > 0 {
				continue
			}
			return a
		case <-hedge.C:
			f.sendExtra("hedge")
		case <-f.cl.ctx.Done():
			f.cancelOthers(nil)
			return attempt{}
		}
	}
}

// start sends the request on g in the background.
func (f *attemptSet) start(g *grant) {
	ctx, cancel := context.WithCancel(f.cl.ctx)
	index := len(f.cancels)
	f.cancels = append(f.cancels, cancel)
	f.sent++
	f.pending++
	f.lastRunner = g.choice.Runner.ID
	go func() {
		a := f.chain.send(ctx, f.cl, g, false)
		if a.response != nil {
			a.response.attemptIndex = index
		}
		f.results <- a
	}()
}

// cancelOthers cancels all attempts except the winner, if there is one, and discards their
// responses.
func (f *attemptSet) cancelOthers(winner *response) {
	for i, cancel := range f.cancels {
		if winner == nil || i != winner.attemptIndex {
			cancel()
		}
	}
	if f.pending == 0 {
		return
	}
	pending := f.pending
	go func() {
		for range pending {
			if a := <-f.results; a.response != nil {
				a.response.cleanUp()
			}
		}
	}()
}

// retry sends the request again after a failure, if the retry budget allows it.
func (f *attemptSet) retry(a attempt) bool {
	if f.cl.ctx.Err() != nil {
		return false
	}
	f.lastRunner = a.grant.choice.Runner.ID
	return f.sendExtra("retry")
}

// sendExtra sends a retry or hedge to another runner if the attempt limit, the retry budget
// and a free slot allow it.
func (f *attemptSet) sendExtra(kind string) bool {
	if f.sent >= maxAttempts {
		return false
	}
	p := f.chain.pool(f.cl.svc)
	p.mu.Lock()
	now := f.chain.deps.Clock()
	p.refresh(now)
	if !p.budget.Spend() {
		p.mu.Unlock()
		return false
	}
	choice := p.tryAcquireExtra(now, f.lastRunner)
	if choice.Runner == nil {
		p.budget.Refund()
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	f.chain.logRoute(f.cl, kind, choice)
	f.start(&grant{pool: p, choice: choice, started: now})
	return true
}

// earnBudget adds the first attempt to the retry budget and returns the delay before a hedge.
func (f *attemptSet) earnBudget() time.Duration {
	p := f.cl.grant.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Earn()
	if f.chain.cfg.HedgeAfter < 0 {
		return time.Hour
	}
	return p.router.HedgeDelay(f.cl.grant.choice.Runner, f.chain.cfg.HedgeAfter)
}
