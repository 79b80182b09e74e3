package request

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// maxAttempts bounds the exchanges for one idempotent request.
const maxAttempts = 3

// flight is the set of exchanges for one idempotent request.
type flight struct {
	chain   *Chain
	cl      *call
	results chan attempt
	cancels []context.CancelFunc
	sent    int
	pending int
	last    model.RunnerID
}

// run sends the request and returns the first complete answer, or the last
// failure. Other exchanges are cancelled and their answers dropped.
func (f *flight) run() attempt {
	hedge := time.NewTimer(f.begin())
	f.start(f.cl.grant)
	f.cl.grant = nil
	defer hedge.Stop()
	for {
		select {
		case a := <-f.results:
			f.pending--
			if a.answer != nil {
				f.end(a.answer)
				return a
			}
			if f.retry(a) || f.pending > 0 {
				continue
			}
			return a
		case <-hedge.C:
			f.extra("hedge")
		case <-f.cl.ctx.Done():
			f.end(nil)
			return attempt{}
		}
	}
}

// start sends the request on g in the background.
func (f *flight) start(g *grant) {
	ctx, cancel := context.WithCancel(f.cl.ctx)
	index := len(f.cancels)
	f.cancels = append(f.cancels, cancel)
	f.sent++
	f.pending++
	f.last = g.choice.Runner.ID
	go func() {
		a := f.chain.send(ctx, f.cl, g, false)
		if a.answer != nil {
			a.answer.index = index
		}
		f.results <- a
	}()
}

// end cancels the exchanges other than the one that won and drops their answers.
func (f *flight) end(won *answer) {
	for i, cancel := range f.cancels {
		if won == nil || i != won.index {
			cancel()
		}
	}
	if f.pending == 0 {
		return
	}
	pending := f.pending
	go func() {
		for range pending {
			if a := <-f.results; a.answer != nil {
				a.answer.drop()
			}
		}
	}()
}

// retry sends the request again after a failure, if the budget allows it.
func (f *flight) retry(a attempt) bool {
	if f.cl.ctx.Err() != nil {
		return false
	}
	f.last = a.grant.choice.Runner.ID
	return f.extra("retry")
}

// extra sends the request to another runner if attempts, budget and a free slot
// allow it.
func (f *flight) extra(kind string) bool {
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
	choice := p.extra(now, f.last)
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

// begin earns the budget for the first exchange and returns how long to wait for
// its answer before a hedge.
func (f *flight) begin() time.Duration {
	p := f.cl.grant.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Earn()
	if f.chain.cfg.HedgeAfter < 0 {
		return time.Hour
	}
	return p.route.HedgeDelay(f.cl.grant.choice.Runner, f.chain.cfg.HedgeAfter)
}
