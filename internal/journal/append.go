package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

// AppendStep is the next step of an append.
type AppendStep uint8

const (
	// StepPut writes the row, for the first time or again.
	StepPut AppendStep = iota
	// StepRead reads the row at the sequence and compares the append id.
	StepRead
	// StepWritten ends the append: the row is durable.
	StepWritten
	// StepFenced ends the append: another writer holds the sequence.
	StepFenced
	// StepNotWritten ends the append with an error: nothing was written.
	StepNotWritten
	// StepFailed ends the append with an error that a retry cannot resolve.
	StepFailed
)

// AfterPut returns the step after a put with the given error kind. unresolved is true
// if an earlier put of the same append has an unknown result.
func AfterPut(kind model.Kind, unresolved bool) AppendStep {
	switch {
	case kind == "":
		return StepWritten
	case kind == model.KindConflict || kind == model.KindUnknown:
		return StepRead
	case unresolved:
		return StepRead
	case kind == model.KindUnavailable || kind == model.KindExhausted:
		return StepNotWritten
	}
	return StepFailed
}

// AfterRead returns the step after a read of the row at the sequence. found reports
// whether the row exists and own whether it has the append id. If the row is absent, a
// delayed put may still arrive, so the same put is repeated.
func AfterRead(kind model.Kind, found, own bool) AppendStep {
	switch {
	case kind != "" && kind != model.KindNotFound:
		return StepRead
	case !found:
		return StepPut
	case own:
		return StepWritten
	}
	return StepFenced
}

// Backoff between steps after a failure, with a jitter of 50%.
const (
	retryBackoffInitial = 50 * time.Millisecond
	retryBackoffMax     = time.Second
)

// appendOp is the state of one append until it is resolved.
type appendOp struct {
	log        *Log
	seq        uint64
	id         AppendID
	value      []byte
	unresolved bool
	lastErr    error
	wait       time.Duration
}

func (a *appendOp) run(ctx context.Context) error {
	step := StepPut
	for {
		switch step {
		case StepPut:
			step = a.put(ctx)
		case StepRead:
			step = a.read(ctx)
		case StepWritten:
			return nil
		case StepFenced:
			return model.Errorf(model.KindFenced, "stop; a newer writer has taken over",
				"journal %s, sequence %d holds another append", a.log.partition, a.seq)
		default:
			return a.lastErr
		}
		if ctx.Err() != nil && step < StepWritten {
			return a.unresolvedError(ctx)
		}
	}
}

func (a *appendOp) put(ctx context.Context) AppendStep {
	err := a.log.table.Commit(ctx, external.Write{
		Key:       a.log.key(a.seq),
		Value:     a.value,
		Condition: external.Condition{Absent: true},
	})
	kind := kindOf(err)
	step := AfterPut(kind, a.unresolved)
	a.lastErr = err
	if kind == model.KindUnknown {
		a.unresolved = true
	}
	if step == StepRead && kind != model.KindConflict {
		a.backOff(ctx)
	}
	return step
}

func (a *appendOp) read(ctx context.Context) AppendStep {
	if a.unresolved {
		ctx = storeclient.WithPriority(ctx, storeclient.PriorityFence)
	}
	row, err := a.log.table.Get(ctx, a.log.key(a.seq))
	kind := kindOf(err)
	var own bool
	if err == nil {
		b, decodeErr := DecodeBatch(row.Value)
		own = decodeErr == nil && b.AppendID == a.id
	}
	step := AfterRead(kind, err == nil, own)
	if step == StepRead {
		a.unresolved, a.lastErr = true, err
		a.backOff(ctx)
	}
	return step
}

// kindOf returns the kind of err. An untyped error counts as KindUnknown, which is the
// safe assumption for a write.
func kindOf(err error) model.Kind {
	if err == nil {
		return ""
	}
	if kind := model.KindOf(err); kind != "" {
		return kind
	}
	return model.KindUnknown
}

func (a *appendOp) unresolvedError(ctx context.Context) error {
	err := a.lastErr
	if err == nil {
		err = ctx.Err()
	}
	return model.Wrap(model.KindUnknown, err, "repeat the same append at the same sequence",
		"journal %s, sequence %d: the append is unresolved", a.log.partition, a.seq)
}

// backOff waits before the next step of an append whose result is not known yet.
func (a *appendOp) backOff(ctx context.Context) {
	a.wait = min(max(2*a.wait, retryBackoffInitial), retryBackoffMax)
	timer := time.NewTimer(a.wait/2 + rand.N(a.wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
