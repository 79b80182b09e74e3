package owner

import (
	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// recoverState rebuilds the state of a cell from its snapshot and journal tail. It
// returns KindCorrupt if the journal is inconsistent, and never a partial state.
func recoverState(owned *ownership.Owned) (*cell.State, error) {
	state := cell.NewState(owned.Cell)
	if owned.Snapshot != nil {
		if err := state.RestoreSnapshot(owned.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, entry := range owned.Tail {
		if err := applyEntry(state, entry.Records); err != nil {
			return nil, model.Wrap(model.KindCorrupt, err, "keep the journal and report this fault",
				"journal of cell %s at sequence %d", owned.Cell, entry.Sequence)
		}
	}
	owned.Snapshot, owned.Tail = nil, nil
	return state, nil
}

func applyEntry(state *cell.State, records [][]byte) error {
	for _, data := range records {
		rec, err := cell.DecodeRecord(data)
		if err != nil {
			return err
		}
		if err := state.Apply(rec); err != nil {
			return err
		}
	}
	return nil
}

// knownAttempts returns the live attempts of a recovered cell for the dispatcher.
func knownAttempts(state *cell.State) []dispatch.KnownAttempt {
	var known []dispatch.KnownAttempt
	for _, task := range state.Live() {
		known = append(known, dispatch.KnownAttempt{
			AttemptRef: task.Ref(), Worker: task.Worker,
			Evicting: task.State == cell.TaskEvicting,
			Stopping: task.State == cell.TaskCancelling,
		})
	}
	return known
}
