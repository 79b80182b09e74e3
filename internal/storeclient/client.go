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

// New wraps table and objects. Both share the read and write budgets of the node. Each has its
// own circuit breaker, because they fail independently.
//
// Errors keep the kinds that table and objects return. In addition, KindUnavailable is
// returned when the circuit breaker is open or the budget was not granted before the deadline,
// and KindExhausted when too many operations wait.
func New(table external.Table, objects external.Objects, cfg Config) (*Table, *Objects) {
	cfg = cfg.withDefaults()
	reads := newBudget("read", cfg.ReadsPerSecond, cfg.Burst, cfg.MaxWaiting)
	writes := newBudget("write", cfg.WritesPerSecond, cfg.Burst, cfg.MaxWaiting)
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x73746f7265))
	t := &Table{next: table, client: newServiceClient("table", cfg, reads, writes, rng.Float64())}
	o := &Objects{next: objects, client: newServiceClient("objects", cfg, reads, writes, rng.Float64())}
	return t, o
}

// serviceClient runs operations against the table service or the object store.
type serviceClient struct {
	cfg     Config
	reads   *budget
	writes  *budget
	breaker *gobreaker.TwoStepCircuitBreaker[any]
}

func newServiceClient(name string, cfg Config, reads, writes *budget, jitter float64) serviceClient {
	c := serviceClient{cfg: cfg, reads: reads, writes: writes}
	c.breaker = gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:         name,
		MaxRequests:  1,
		Timeout:      cfg.BreakerOpen + time.Duration(jitter*float64(cfg.BreakerOpen)/2),
		ReadyToTrip:  func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= cfg.BreakerFailures },
		IsSuccessful: func(err error) bool { return !isStoreFailure(err) },
		OnStateChange: func(_ string, from, to gobreaker.State) {
			if from == gobreaker.StateHalfOpen && to == gobreaker.StateClosed {
				reads.discardTokens()
				writes.discardTokens()
			}
		},
	})
	return c
}

// isStoreFailure reports whether err means that the store failed or did not respond.
func isStoreFailure(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnavailable, model.KindUnknown:
		return true
	}
	return false
}

// operation is a kind of call and its retry rules.
type operation struct {
	name  string
	write bool
	// retryUnknown allows a retry after a lost response.
	retryUnknown bool
}

// callWithRetry runs op and retries it where that is safe. A write with an unknown result is
// retried only when op allows it. A later failure of such a retry does not make the unknown
// result a known one.
func callWithRetry[T any](ctx context.Context, c *serviceClient, op operation, do func(context.Context) (T, error)) (T, error) {
	unknown := false
	attempt := func() (T, error) {
		v, err := sendOnce(ctx, c, op, do)
		if err == nil || !isStoreFailure(err) {
			return v, permanent(err)
		}
		if model.IsKind(err, model.KindUnknown) {
			unknown = true
		}
		if ctx.Err() != nil || (model.IsKind(err, model.KindUnknown) && !op.retryUnknown) {
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

func (c *serviceClient) newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.cfg.RetryInitial
	b.MaxInterval = c.cfg.RetryMax
	b.RandomizationFactor = 0.5
	return b
}

// finalError ensures that err has a kind. An earlier unknown result of the same write takes
// precedence over a later KindUnavailable, and over a later conflict, which the earlier write
// itself may have caused.
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

// sendOnce sends op once, after the circuit breaker and the budget have admitted it.
func sendOnce[T any](ctx context.Context, c *serviceClient, op operation, do func(context.Context) (T, error)) (T, error) {
	var zero T
	start := time.Now()
	if c.breaker.State() == gobreaker.StateOpen {
		return zero, notSentError(op, gobreaker.ErrOpenState)
	}
	if err := c.budgetFor(op).acquire(ctx, PriorityFrom(ctx)); err != nil {
		return zero, err
	}
	done, err := c.breaker.Allow()
	if err != nil {
		return zero, notSentError(op, err)
	}
	sent := time.Now()
	opCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	v, err := do(opCtx)
	err = classifyError(err, op)
	done(err)
	c.observe(ctx, op, start, sent, err)
	return v, err
}

func notSentError(op operation, err error) error {
	return model.Wrap(model.KindUnavailable, err, "wait until the store answers again", "%s was not sent", op.name)
}

func (c *serviceClient) budgetFor(op operation) *budget {
	if op.write {
		return c.writes
	}
	return c.reads
}

// classifyError gives an error without a kind, such as an expired deadline, the kind that is
// safe for the operation.
func classifyError(err error, op operation) error {
	if err == nil || model.KindOf(err) != "" {
		return err
	}
	if op.write {
		return model.Wrap(model.KindUnknown, err, "read the row before repeating the write", "%s may have taken effect", op.name)
	}
	return model.Wrap(model.KindUnavailable, err, "retry later", "%s failed", op.name)
}

func (c *serviceClient) observe(ctx context.Context, op operation, start, sent time.Time, err error) {
	if c.cfg.Observe == nil {
		return
	}
	c.cfg.Observe(Operation{
		Name: op.name, Write: op.write, Priority: PriorityFrom(ctx),
		Waited: sent.Sub(start), Took: time.Since(sent), Kind: model.KindOf(err),
	})
}
