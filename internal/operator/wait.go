package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// waitForSequence waits until all members have applied a control sequence; 0 selects the
// newest one at the start of the wait.
func (p *Program) waitForSequence(ctx context.Context, a waitArgs, target uint64) (systemStatus, error) {
	return p.wait(ctx, a, func(s systemStatus) (string, bool, error) {
		if target == 0 {
			target = s.Sequence
		}
		left, done := sequenceProgress(s, target)
		return left, done, nil
	})
}

// sequenceProgress describes how many members have applied target and reports whether
// all have.
func sequenceProgress(s systemStatus, target uint64) (string, bool) {
	applied, example := 0, ""
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		if s.Members[id] >= target {
			applied++
		} else if example == "" {
			example = fmt.Sprintf("%s is at %d", id, s.Members[id])
		}
	}
	text := fmt.Sprintf("%d of %d nodes run sequence %d", applied, len(s.Members), target)
	if example != "" {
		text += "; " + example
	}
	return text, example == "" && applied > 0
}

// waitUntilDrained waits until a data centre has no live attempt. All declared cells must
// be counted: a cell whose owner did not respond may still have work.
func (p *Program) waitUntilDrained(ctx context.Context, a waitArgs, name model.DataCentre) (systemStatus, error) {
	return p.wait(ctx, a, func(s systemStatus) (string, bool, error) { return drainProgress(s, name) })
}

// drainProgress describes the work left in a data centre and reports whether it is
// drained.
func drainProgress(s systemStatus, name model.DataCentre) (string, bool, error) {
	i := slices.IndexFunc(s.DataCentres, func(dc dataCentreTotal) bool { return dc.Name == name })
	if i < 0 {
		return "", false, model.Errorf(model.KindNotFound, "vpier status lists the data centres", "there is no data centre %q", name)
	}
	dc := s.DataCentres[i]
	if !dc.Out {
		return "", false, model.Errorf(model.KindConflict, "take it out with vpier drain "+string(name), "data centre %s is in service, so its work does not end", name)
	}
	text := fmt.Sprintf("%s left in %s, %d of %d cells counted", plural(dc.LiveAttempts, "attempt"), name, dc.Cells, dc.DeclaredCells)
	return text, dc.LiveAttempts == 0 && dc.Cells >= dc.DeclaredCells, nil
}

// wait polls the status until done reports true. Temporary failures to reach the nodes do
// not end the wait; other errors do.
func (p *Program) wait(ctx context.Context, a waitArgs, done func(systemStatus) (string, bool, error)) (systemStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, a.WaitTimeout)
	defer cancel()
	last := ""
	for {
		s, err := p.collectStatus(ctx)
		text := ""
		finished := false
		if err == nil {
			text, finished, err = done(s)
		}
		if err != nil && !canTryNextNode(err) {
			return s, err
		}
		if err != nil {
			text = err.Error()
		}
		if text != last && ctx.Err() == nil {
			p.progress("%s", text)
			last = text
		}
		if finished {
			return s, nil
		}
		if err := p.waitForNextPoll(ctx, last); err != nil {
			return s, err
		}
	}
}

// waitForNextPoll waits for the poll interval. On timeout the error contains last, the
// progress so far.
func (p *Program) waitForNextPoll(ctx context.Context, last string) error {
	select {
	case <-time.After(p.pollInterval):
		return nil
	case <-ctx.Done():
	}
	remedy := "run vpier status, or wait longer with --wait-timeout"
	if errors.Is(ctx.Err(), context.Canceled) {
		remedy = "run vpier status --wait to continue; the change itself stands"
	}
	return failedError{model.Errorf(model.KindUnavailable, remedy, "stopped waiting: %s", last)}
}
