package fleettest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// UpkeepTime is how long the upkeep of a machine takes.
const UpkeepTime = 2 * time.Second

// Inventory is the platform's list of machines; each worker of the cluster is one.
type Inventory struct {
	c    *Cluster
	down map[string]time.Time
	// begun lists the machines whose upkeep has begun, in order.
	begun   []string
	highest uint64
	// Unfenced inventories carry out orders of former leaders, too.
	Unfenced bool
	// Delay is the time before an order is carried out.
	Delay    time.Duration
	calls    int
	mostDown int
}

// NewInventory returns the inventory of a cluster.
func NewInventory(c *Cluster) *Inventory { return &Inventory{c: c, down: map[string]time.Time{}} }

// Machines implements fleet.Inventory.
func (i *Inventory) Machines(context.Context) ([]fleet.Machine, error) {
	i.c.Workers.mu.Lock()
	defer i.c.Workers.mu.Unlock()
	var all []fleet.Machine
	listed := map[string]bool{}
	for _, w := range i.c.Fleet {
		id := string(w.Info.Worker)
		_, down := i.down[id]
		if listed[id] || (w.dead && !down) {
			continue
		}
		listed[id] = true
		all = append(all, fleet.Machine{ID: id, Pool: Service, Up: !down, InUpkeep: down, Worker: w.Info.Worker})
	}
	return all, nil
}

// Maintain implements fleet.Inventory.
func (i *Inventory) Maintain(_ context.Context, machine string, _ int, _ string, fence uint64) (fleet.MaintainVerdict, error) {
	i.c.Workers.mu.Lock()
	i.calls++
	i.c.Workers.mu.Unlock()
	time.Sleep(i.Delay)
	i.c.Workers.mu.Lock()
	if fence < i.highest {
		if !i.Unfenced {
			i.c.Workers.mu.Unlock()
			return fleet.MaintainRefused, nil
		}
		i.c.Ledger.Break(fmt.Sprintf("upkeep of %s with fence %d after %d", machine, fence, i.highest))
	}
	i.highest = fence
	var w *Worker
	for _, x := range i.c.Fleet {
		if string(x.Info.Worker) == machine && !x.dead {
			w = x
		}
	}
	if slices.Contains(i.begun, machine) || w == nil {
		i.c.Workers.mu.Unlock()
		return fleet.MaintainBegun, nil
	}
	for _, k := range w.runs {
		if k.task.Lasting {
			i.c.Ledger.Break(fmt.Sprintf("upkeep of %s ends a lasting task", machine))
		}
	}
	i.down[machine] = time.Now()
	i.begun = append(i.begun, machine)
	i.mostDown = max(i.mostDown, len(i.down))
	i.c.Workers.mu.Unlock()
	i.c.Workers.Kill(w)
	i.c.Unlist(w)
	time.AfterFunc(UpkeepTime, func() {
		i.c.Workers.mu.Lock()
		delete(i.down, machine)
		i.c.Workers.mu.Unlock()
		i.c.AddWorker(machine)
	})
	return fleet.MaintainBegun, nil
}

// Calls counts the orders that were given.
func (i *Inventory) Calls() int {
	i.c.Workers.mu.Lock()
	defer i.c.Workers.mu.Unlock()
	return i.calls
}

// MostDown returns the highest number of machines that were down at once.
func (i *Inventory) MostDown() int {
	i.c.Workers.mu.Lock()
	defer i.c.Workers.mu.Unlock()
	return i.mostDown
}

// Begun returns the machines whose upkeep has begun.
func (i *Inventory) Begun() []string {
	i.c.Workers.mu.Lock()
	defer i.c.Workers.mu.Unlock()
	return append([]string(nil), i.begun...)
}

// Wave asks for the upkeep of machines.
func (c *Cluster) Wave(machines []string, limit int) {
	c.write(TableOperator, prefixWave+"1", fleet.Wave{Number: 1, Machines: machines, Within: 20 * time.Second, Cap: limit})
}

// WaveCompleted reports whether the wave is said to be completed.
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
