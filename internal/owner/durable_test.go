package owner

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// recovered returns the state that a successor would find.
func recovered(rows [][][]byte) (*cell.State, error) {
	owned := &ownership.Owned{Cell: testCell}
	for i, row := range rows {
		owned.Tail = append(owned.Tail, journal.Entry{Sequence: uint64(i + 1), Batch: journal.Batch{Records: row}})
	}
	return recoverState(owned)
}

// sameStatus compares what the runtime shows of a job with what the journal holds.
func sameStatus(r *Runtime, durable *cell.State, id model.JobID) error {
	got, err := r.Status(context.Background(), id)
	want, ok := durable.Job(id)
	switch {
	case !ok && !model.IsKind(err, model.KindNotFound):
		return fmt.Errorf("job %s is not durable, but shown as %+v (%v)", id, got, err)
	case ok && (err != nil || !assert.ObjectsAreEqual(want, got)):
		return fmt.Errorf("job %s is shown as %+v (%v), the journal has %+v", id, got, err, want)
	}
	return nil
}

// Guards against a status that waits for a blocked append, and against one that
// shows what the append has not made durable: for whatever mix of records is on
// its way, the answer is what a successor would find.
func TestStatusDuringAppendIsDurable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, j, d := testRuntime()
		steps := rapid.IntRange(1, 10).Draw(t, "steps")
		var faults []error
		j.before = func() {
			durable, err := recovered(j.rows)
			faults = append(faults, err)
			for id := range steps {
				if err == nil {
					faults = append(faults, sameStatus(r, durable, model.JobID(fmt.Sprintf("j%d", id))))
				}
			}
		}
		for step := range steps {
			submit(r, testJob(fmt.Sprintf("j%d", step), rapid.IntRange(1, 4).Draw(t, "tasks")))
			if rapid.IntRange(0, 2).Draw(t, "cancel") == 0 {
				r.requests <- request{cancel: model.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, step).Draw(t, "job")))}
			}
			if rapid.IntRange(0, 2).Draw(t, "transfer") == 0 {
				spec := testJob(fmt.Sprintf("j%d", rapid.IntRange(0, steps-1).Draw(t, "of")), 6).Tasks[5]
				r.requests <- request{transfer: &cell.TransferIn{Spec: spec, Hop: 1}}
			}
			d.events = drawEnds(t, r)
			_, err := r.iterate(context.Background())
			require.NoError(t, err)
		}
		require.NoError(t, errors.Join(faults...))
	})
}

// Guards against callers that learn nothing of their orders for as long as a store
// outage blocks an append.
func TestStatusWhileTheStoreIsDown(t *testing.T) {
	r, j, _ := testRuntime()
	submit(r, testJob("a", 1))
	_, err := r.iterate(t.Context())
	require.NoError(t, err)
	blocked, restore := make(chan struct{}), make(chan struct{})
	j.before = func() { close(blocked); <-restore }
	reply := submit(r, testJob("b", 1))
	ended := make(chan error, 1)
	go func() { _, err := r.iterate(t.Context()); ended <- err }()
	<-blocked
	a, err := r.Status(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, cell.TaskLive.String(), a.Tasks[0].State)
	_, err = r.Status(t.Context(), "b")
	require.True(t, model.IsKind(err, model.KindNotFound), "a job whose submission is not durable is not shown")
	require.Empty(t, reply)
	close(restore)
	require.NoError(t, <-ended)
	require.NoError(t, (<-reply).err)
}
