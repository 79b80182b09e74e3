package storeclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// New wraps table and objects. Both share the node's read and write budgets;
// each has its own circuit breaker, because they fail separately.
//
// Errors keep the kinds of package platform. In addition KindUnavailable is
// returned when the breaker is open or the budget was not granted in time, and
// KindExhausted when too many operations wait.
func New(table external.Table, objects external.Objects, cfg Config) (*Table, *Objects) {
	cfg = cfg.withDefaults()
	reads := newBudget("read", cfg.ReadsPerSecond, cfg.Burst, cfg.MaxWaiting)
	writes := newBudget("write", cfg.WritesPerSecond, cfg.Burst, cfg.MaxWaiting)
	random := rand.New(rand.NewPCG(cfg.Seed, 0x73746f7265))
	t := &Table{next: table, caller: newCaller("table", cfg, reads, writes, random.Float64())}
	o := &Objects{next: objects, caller: newCaller("objects", cfg, reads, writes, random.Float64())}
	return t, o
}

// caller runs operations against one of the two services.
type caller struct {
	cfg     Config
	reads   *budget
	writes  *budget
	breaker *gobreaker.TwoStepCircuitBreaker[any]
}

func newCaller(name string, cfg Config, reads, writes *budget, spread float64) caller {
	c := caller{cfg: cfg, reads: reads, writes: writes}
	c.breaker = gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:         name,
		MaxRequests:  1,
		Timeout:      cfg.BreakerOpen + time.Duration(spread*float64(cfg.BreakerOpen)/2),
		ReadyToTrip:  func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= cfg.BreakerFailures },
		IsSuccessful: func(err error) bool { return !storeFailed(err) },
		OnStateChange: func(_ string, from, to gobreaker.State) {
			if from == gobreaker.StateHalfOpen && to == gobreaker.StateClosed {
				reads.drain()
				writes.drain()
			}
		},
	})
	return c
}

// storeFailed reports whether err says that the store did not answer properly.
func storeFailed(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnavailable, model.KindUnknown:
		return true
	}
	return false
}

// operation is one kind of call and what may be done when it fails.
type operation struct {
	name  string
	write bool
	// repeatUnknown allows a retry after a lost answer.
	repeatUnknown bool
}

// call runs op with retries where they are safe. A write with an unknown result
// is repeated only when op allows it; a later failure of such a repetition does
// not turn the unknown result into a known one.
func call[T any](ctx context.Context, c *caller, op operation, do func(context.Context) (T, error)) (T, error) {
	unknown := false
	attempt := func() (T, error) {
		v, err := once(ctx, c, op, do)
		if err == nil || !storeFailed(err) {
			return v, permanent(err)
		}
		if model.IsKind(err, model.KindUnknown) {
			unknown = true
		}
		if ctx.Err() != nil || (model.IsKind(err, model.KindUnknown) && !op.repeatUnknown) {
			return v, permanent(err)
		}
		return v, err
	}
	v, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(c.newBackOff()),
		backoff.WithMaxTries(c.cfg.RetryTries),
		backoff.WithMaxElapsedTime(0))
	return v, finalError(err, op, unknown)
}

func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

func (c *caller) newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.cfg.RetryInitial
	b.MaxInterval = c.cfg.RetryMax
	b.RandomizationFactor = 0.5
	return b
}

// finalError gives err a kind. An earlier unknown result of the same write
// outweighs a later "unavailable", and also a later conflict, which the earlier
// write itself may have caused.
func finalError(err error, op operation, unknown bool) error {
	if err == nil {
		return nil
	}
	var p *backoff.PermanentError
	if errors.As(err, &p) {
		err = p.Unwrap()
	}
	kind := model.KindOf(err)
	switch {
	case op.write && unknown && (kind == model.KindUnavailable || kind == model.KindConflict || kind == ""):
		return model.Wrap(model.KindUnknown, err, "read the row before repeating the write", "%s may have taken effect", op.name)
	case kind == "":
		return model.Wrap(model.KindUnavailable, err, "retry later", "%s was given up", op.name)
	}
	return err
}

// once sends op a single time, after breaker and budget have admitted it.
func once[T any](ctx context.Context, c *caller, op operation, do func(context.Context) (T, error)) (T, error) {
	var zero T
	start := time.Now()
	if c.breaker.State() == gobreaker.StateOpen {
		return zero, notSent(op, gobreaker.ErrOpenState)
	}
	if err := c.budgetFor(op).acquire(ctx, PriorityFrom(ctx)); err != nil {
		return zero, err
	}
	done, err := c.breaker.Allow()
	if err != nil {
		return zero, notSent(op, err)
	}
	sent := time.Now()
	opCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	v, err := do(opCtx)
	err = classify(err, op)
	done(err)
	c.observe(ctx, op, start, sent, err)
	return v, err
}

func notSent(op operation, err error) error {
	return model.Wrap(model.KindUnavailable, err, "wait until the store answers again", "%s was not sent", op.name)
}

func (c *caller) budgetFor(op operation) *budget {
	if op.write {
		return c.writes
	}
	return c.reads
}

// classify gives an untyped error, such as an expired deadline, the kind that
// is safe for the operation.
func classify(err error, op operation) error {
	if err == nil || model.KindOf(err) != "" {
		return err
	}
	if op.write {
		return model.Wrap(model.KindUnknown, err, "read the row before repeating the write", "%s may have taken effect", op.name)
	}
	return model.Wrap(model.KindUnavailable, err, "retry later", "%s failed", op.name)
}

func (c *caller) observe(ctx context.Context, op operation, start, sent time.Time, err error) {
	if c.cfg.Observe == nil {
		return
	}
	c.cfg.Observe(Operation{
		Name: op.name, Write: op.write, Priority: PriorityFrom(ctx),
		Waited: sent.Sub(start), Took: time.Since(sent), Kind: model.KindOf(err),
	})
}
