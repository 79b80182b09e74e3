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

// recoverRows returns the state that a new owner would recover from rows.
func recoverRows(rows [][][]byte) (*cell.State, error) {
	owned := &ownership.Owned{Cell: testCell}
	for i, row := range rows {
		owned.Tail = append(owned.Tail, journal.Entry{Sequence: uint64(i + 1), Batch: journal.Batch{Records: row}})
	}
	return recoverState(owned)
}

// checkStatus compares the status of a job from the runtime with that from the journal.
func checkStatus(r *Runtime, durable *cell.State, id model.JobID) error {
	got, err := r.Status(context.Background(), id)
	want, ok := durable.Job(id)
	switch {
	case !ok && !model.IsKind(err, model.KindNotFound):
		return fmt.Errorf("job %s is not durable, but its status is %+v (%v)", id, got, err)
	case ok && (err != nil || !assert.ObjectsAreEqual(want, got)):
		return fmt.Errorf("status of job %s is %+v (%v), the journal has %+v", id, got, err, want)
	}
	return nil
}

// Guards against a status request that blocks on an append, and against a status that
// includes records which are not durable yet. For any mix of records in an append, the
// status must equal the one that a new owner would recover.
func TestStatusDuringAppendIsDurable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, j, d := testRuntime()
		steps := rapid.IntRange(1, 10).Draw(t, "steps")
		var faults []error
		j.beforeAppend = func() {
			durable, err := recoverRows(j.rows)
			faults = append(faults, err)
			for id := range steps {
				if err == nil {
					faults = append(faults, checkStatus(r, durable, model.JobID(fmt.Sprintf("j%d", id))))
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

// Guards against status requests that get no response while a store outage blocks an
// append.
func TestStatusWhileTheStoreIsDown(t *testing.T) {
	r, j, _ := testRuntime()
	submit(r, testJob("a", 1))
	_, err := r.iterate(t.Context())
	require.NoError(t, err)
	blocked, restore := make(chan struct{}), make(chan struct{})
	j.beforeAppend = func() { close(blocked); <-restore }
	reply := submit(r, testJob("b", 1))
	ended := make(chan error, 1)
	go func() { _, err := r.iterate(t.Context()); ended <- err }()
	<-blocked
	a, err := r.Status(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, cell.TaskLive.String(), a.Tasks[0].State)
	_, err = r.Status(t.Context(), "b")
	require.True(t, model.IsKind(err, model.KindNotFound), "a job whose submission is not durable must not be reported")
	require.Empty(t, reply)
	close(restore)
	require.NoError(t, <-ended)
	require.NoError(t, (<-reply).err)
}
