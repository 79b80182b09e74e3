package fleettest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// MaintenanceTime is how long the maintenance of a machine takes.
const MaintenanceTime = 2 * time.Second

// Inventory simulates the platform's list of machines. Each worker of the cluster is a
// machine.
type Inventory struct {
	cluster *Cluster
	down    map[string]time.Time
	// maintained lists the machines whose maintenance has begun, in order.
	maintained   []string
	highestFence uint64
	// Unfenced makes the inventory accept requests of former leaders, too.
	Unfenced bool
	// Delay is the time before a request takes effect.
	Delay            time.Duration
	calls            int
	maxInMaintenance int
	// lastOrders holds the last order for each machine: by contract two holders of the duty do
	// not take turns within dutyLease.
	lastOrders map[string]maintenanceOrder
	busy       string // a machine that cannot be maintained at present
	// InTouch, if set, reports whether holders are in touch: only orders given in touch are judged
	// for turns. It is called with the fleet's lock held.
	InTouch func() bool
}

// dutyLease is the contract's least time between orders of two holders of the maintenance duty for
// one machine.
const dutyLease = 3 * time.Second

type maintenanceOrder struct {
	fence   uint64
	at      time.Time
	inTouch bool
}

// NewInventory returns the inventory of a cluster.
func NewInventory(c *Cluster) *Inventory {
	return &Inventory{cluster: c, down: map[string]time.Time{}, lastOrders: map[string]maintenanceOrder{}}
}

// Machines implements fleet.Inventory.
func (i *Inventory) Machines(context.Context) ([]fleet.Machine, error) {
	i.cluster.Workers.mu.Lock()
	defer i.cluster.Workers.mu.Unlock()
	var all []fleet.Machine
	listed := map[string]bool{}
	for _, w := range i.cluster.Fleet {
		id := string(w.Info.Worker)
		_, down := i.down[id]
		if listed[id] || (w.dead && !down) {
			continue
		}
		listed[id] = true
		all = append(all, fleet.Machine{ID: id, Pool: Service, Up: !down, InMaintenance: down, Worker: w.Info.Worker})
	}
	return all, nil
}

// Maintain implements fleet.Inventory.
func (i *Inventory) Maintain(_ context.Context, machine string, _ int, _ string, fence uint64) (fleet.MaintainVerdict, error) {
	i.cluster.Workers.mu.Lock()
	i.calls++
	i.cluster.Workers.mu.Unlock()
	time.Sleep(i.Delay)
	i.cluster.Workers.mu.Lock()
	if fence < i.highestFence {
		if !i.Unfenced {
			i.cluster.Workers.mu.Unlock()
			return fleet.MaintainRefused, nil
		}
		i.cluster.Checker.AddViolation(fmt.Sprintf("maintenance of %s with fence %d after %d", machine, fence, i.highestFence))
	}
	i.highestFence = fence
	last, inTouch := i.lastOrders[machine], i.InTouch == nil || i.InTouch()
	if last.inTouch && inTouch && last.fence != fence && time.Since(last.at) < dutyLease {
		i.cluster.Checker.AddViolation(fmt.Sprintf("maintenance of %s ordered with fence %d %v after fence %d", machine, fence, time.Since(last.at), last.fence))
	}
	i.lastOrders[machine] = maintenanceOrder{fence, time.Now(), inTouch}
	if machine == i.busy {
		i.cluster.Workers.mu.Unlock()
		return fleet.MaintainBusy, nil
	}
	var w *Worker
	for _, x := range i.cluster.Fleet {
		if string(x.Info.Worker) == machine && !x.dead {
			w = x
		}
	}
	if slices.Contains(i.maintained, machine) || w == nil {
		i.cluster.Workers.mu.Unlock()
		return fleet.MaintainBegun, nil
	}
	for _, k := range w.runs {
		if k.task.Lasting {
			i.cluster.Checker.AddViolation(fmt.Sprintf("maintenance of %s ends a lasting task", machine))
		}
	}
	i.down[machine] = time.Now()
	i.maintained = append(i.maintained, machine)
	i.maxInMaintenance = max(i.maxInMaintenance, len(i.down))
	i.cluster.Workers.mu.Unlock()
	i.cluster.Workers.Kill(w)
	i.cluster.Unlist(w)
	time.AfterFunc(MaintenanceTime, func() {
		i.cluster.Workers.mu.Lock()
		delete(i.down, machine)
		i.cluster.Workers.mu.Unlock()
		i.cluster.AddWorker(machine)
	})
	return fleet.MaintainBegun, nil
}

// SetBusy names a machine that cannot be maintained; empty for none.
func (i *Inventory) SetBusy(machine string) {
	i.cluster.Workers.mu.Lock()
	defer i.cluster.Workers.mu.Unlock()
	i.busy = machine
}

// Calls returns the number of maintenance requests.
func (i *Inventory) Calls() int {
	i.cluster.Workers.mu.Lock()
	defer i.cluster.Workers.mu.Unlock()
	return i.calls
}

// MaxInMaintenance returns the highest number of machines in maintenance at once.
func (i *Inventory) MaxInMaintenance() int {
	i.cluster.Workers.mu.Lock()
	defer i.cluster.Workers.mu.Unlock()
	return i.maxInMaintenance
}

// Maintained returns the machines whose maintenance has begun.
func (i *Inventory) Maintained() []string {
	i.cluster.Workers.mu.Lock()
	defer i.cluster.Workers.mu.Unlock()
	return append([]string(nil), i.maintained...)
}

// RequestWave requests the maintenance of machines, at most limit at once.
func (c *Cluster) RequestWave(machines []string, limit int) {
	c.write(TableOperator, prefixWave+"1", fleet.Wave{Number: 1, Machines: machines, Within: 20 * time.Second, Cap: limit})
}

// WaveCompleted reports whether the stored status of the wave is completed.
func (c *Cluster) WaveCompleted() bool {
	for _, row := range c.Store.Rows(tableStatus) {
		if string(row.Value) == "completed" {
			return true
		}
	}
	return false
}

const (
	prefixWave  = "wave/"
	tableStatus = "status"
)

// WaveStatus implements fleet.Decoder.
func (Decoder) WaveStatus(_ int, completed bool) fleet.Row {
	value := "running"
	if completed {
		value = "completed"
	}
	return fleet.Row{RowID: fleet.RowID{Table: tableStatus, Key: prefixWave + "1"}, Value: []byte(value)}
}
