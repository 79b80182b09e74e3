package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

// Step is what an append does next.
type Step uint8

const (
	// StepPut writes the row, for the first time or again.
	StepPut Step = iota
	// StepRead reads the row at the sequence and compares the append id.
	StepRead
	// StepWritten ends the append: the row is durable.
	StepWritten
	// StepFenced ends the append: another writer holds the sequence.
	StepFenced
	// StepNothing ends the append: nothing was written.
	StepNothing
	// StepFailed ends the append with an error that a repetition cannot change.
	StepFailed
)

// AfterPut decides what follows a put with the given error kind. unresolved is
// true when an earlier put of the same append has an unknown result.
func AfterPut(kind model.Kind, unresolved bool) Step {
	switch {
	case kind == "":
		return StepWritten
	case kind == model.KindConflict || kind == model.KindUnknown:
		return StepRead
	case unresolved:
		return StepRead
	case kind == model.KindUnavailable || kind == model.KindExhausted:
		return StepNothing
	}
	return StepFailed
}

// AfterRead decides what follows a read of the sequence. found tells whether the
// row exists and own whether it carries the append id. An absent row does not
// prove that a delayed put will not arrive, so the same put is repeated.
func AfterRead(kind model.Kind, found, own bool) Step {
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

// Backoff between steps after a failure; each wait is randomised by half.
const (
	resolveInitial = 50 * time.Millisecond
	resolveMax     = time.Second
)

// appendOp is one append until it is resolved.
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
			return a.givenUp(ctx)
		}
	}
}

func (a *appendOp) put(ctx context.Context) Step {
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
		a.pause(ctx)
	}
	return step
}

func (a *appendOp) read(ctx context.Context) Step {
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
		a.pause(ctx)
	}
	return step
}

// kindOf treats an untyped error as an unknown result, the safe reading for a write.
func kindOf(err error) model.Kind {
	if err == nil {
		return ""
	}
	if kind := model.KindOf(err); kind != "" {
		return kind
	}
	return model.KindUnknown
}

func (a *appendOp) givenUp(ctx context.Context) error {
	err := a.lastErr
	if err == nil {
		err = ctx.Err()
	}
	return model.Wrap(model.KindUnknown, err, "repeat the same append at the same sequence",
		"journal %s, sequence %d: the append is unresolved", a.log.partition, a.seq)
}

// pause waits before the next step of an append whose result is not yet known.
func (a *appendOp) pause(ctx context.Context) {
	a.wait = min(max(2*a.wait, resolveInitial), resolveMax)
	timer := time.NewTimer(a.wait/2 + rand.N(a.wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
