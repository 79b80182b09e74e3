package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

func TestInventoryFindsHoldersThatTakeTurns(t *testing.T) {
	for name, test := range map[string]struct {
		pause         time.Duration
		first, second bool // whether the holders are in touch
		violations    int
	}{
		"at once":                 {time.Second, true, true, 1},
		"after the lease":         {dutyLease, true, true, 0},
		"former one out of touch": {time.Second, false, true, 0},
		"next one out of touch":   {time.Second, true, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewCluster(1, 0, 1, func(fleet.TaskName) Task { return Task{Needs: model.Resources{MilliCPU: 1}} })
				i := NewInventory(c)
				machine := string(c.Fleet[0].Info.Worker)
				i.SetBusy(machine)
				inTouch := test.first
				i.InTouch = func() bool { return inTouch }
				_, err := i.Maintain(t.Context(), machine, 1, "", 1)
				require.NoError(t, err)
				time.Sleep(test.pause)
				inTouch = test.second
				_, err = i.Maintain(t.Context(), machine, 1, "", 2)
				require.NoError(t, err)
				require.Len(t, c.Checker.Violations(), test.violations)
			})
		})
	}
}
