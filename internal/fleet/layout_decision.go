package fleet

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of the initial division into cells.
const (
	// layoutWatchWait is how long the store may hold a watch for the layout while there is none; after it, a
	// node checks the claim to decide it again.
	layoutWatchWait = 2000 * time.Millisecond
	// layoutRetryPause is the pause after a failed read of the layout.
	layoutRetryPause = 250 * time.Millisecond
	// layoutJitter bounds the random delay that spreads the nodes that could decide the layout.
	layoutJitter = 400 * time.Millisecond
	// layoutClaimTTL is how long a claim to decide the layout is valid.
	layoutClaimTTL = 8 * time.Second
	// stableReadInterval is the pause between two reads of hosts and workers. Those of a new
	// deployment appear within some seconds, so the division waits for two equal reads.
	stableReadInterval = 900 * time.Millisecond
	// stableReadTimeout bounds that wait, including the wait for a first worker.
	stableReadTimeout = 5 * time.Second
)

// layoutClaim is the claim of a node to decide the layout.
type layoutClaim struct {
	Node    model.NodeID `cbor:"1,keyasint"`
	Process uint64       `cbor:"2,keyasint"`
	// At is the store's monotonic clock at the time of the claim.
	At time.Duration `cbor:"3,keyasint"`
}

// layoutClaimRow returns the id of the claim's row.
func layoutClaimRow() RowID { return RowID{tableHosts, layoutPart, keyLayout} }

// awaitLayout waits until there is a layout and applies it. If there is none after a delay, it
// tries to decide one.
func (n *Node) awaitLayout(ctx context.Context) bool {
	n.wg.Go(func() { n.publishHost(ctx) })
	for first := true; ; first = false {
		s := n.newSource(tableLeader, nil)
		s.parts = []string{layoutPart}
		rows, page, ok := s.listUntil(ctx)
		if !ok {
			return false
		}
		n.recordStoreAnswer()
		n.applyLayoutRows(rows)
		if first && n.cellTable.Load() == nil {
			sleep(ctx, time.Duration(rand.Int64N(int64(layoutJitter)))+n.layoutExtraDelay())
		}
		n.watchLayout(ctx, page.Version)
		if n.cellTable.Load() != nil {
			return true
		}
		sleep(ctx, layoutRetryPause)
	}
}

// watchLayout watches the leaders' table until there is a layout, or a call fails. It tries to decide the
// layout while no other node does.
func (n *Node) watchLayout(ctx context.Context, after uint64) {
	for ctx.Err() == nil && n.cellTable.Load() == nil {
		if n.claimLayout(ctx) {
			n.decideLayout(ctx)
		}
		page, err := watchOnce(ctx, n.cfg.Store, tableLeader, after, layoutWatchWait, layoutWatchWait+watchTimeout)
		if err != nil {
			n.recordStoreFailure(err)
			return
		}
		n.recordStoreAnswer()
		after = page.Version
		n.applyLayoutRows(page.Rows)
	}
}

// applyLayoutRows applies the layout if it is among rows of the leaders' table.
func (n *Node) applyLayoutRows(rows []Row) {
	for _, row := range rows {
		if row.RowID == layoutRow() {
			n.applyLayoutRow(row)
		}
	}
}

// layoutExtraDelay delays the decision on small hosts, so that a large one makes it: its link
// is fast enough for the list of workers.
func (n *Node) layoutExtraDelay() time.Duration {
	if own := n.cfg.Limits.MilliCPU; own > 0 && own < largeHostMilliCPU {
		return min(time.Duration(float64(largeHostMilliCPU)/float64(own)*float64(smallHostDelay)), smallHostDelayMax)
	}
	return 0
}

// publishHost stores the limits of this host, which the division into cells needs.
func (n *Node) publishHost(ctx context.Context) {
	row := Row{RowID: hostRow(n.cfg.Node), Value: encode(hostRecord{n.cfg.Node, n.cfg.Limits.MilliCPU, n.cfg.Limits.LinkBytes})}
	for ctx.Err() == nil && n.cellTable.Load() == nil {
		call, cancel := context.WithTimeout(ctx, campaignTimeout)
		_, err := n.cfg.Store.Commit(call, Transaction{Puts: []Row{row}})
		cancel()
		if err == nil {
			return
		}
		sleep(ctx, readPause+jitter())
	}
}

// claimLayout stores this node's claim to decide the layout and reports whether it succeeded.
// It makes none while a claim of another node or of this process is valid. The claim of an
// earlier process of this node does not count.
func (n *Node) claimLayout(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableHosts, layoutPart, "", "", 1)
	if err != nil {
		n.recordStoreFailure(err)
		return false
	}
	version := uint64(0)
	for _, row := range page.Rows {
		var a layoutClaim
		version = row.Version
		if decodeRecord(row, &a) == nil && page.Now-a.At < layoutClaimTTL && (a.Node != n.cfg.Node || a.Process == n.cfg.Process) {
			return false
		}
	}
	claim := layoutClaim{n.cfg.Node, n.cfg.Process, page.Now}
	_, err = n.cfg.Store.Commit(call, Transaction{Expect: []Expectation{{layoutClaimRow(), version}}, Puts: []Row{{RowID: layoutClaimRow(), Value: encode(claim)}}})
	return err == nil
}

// decideLayout divides the fleet into cells and stores the layout, unless another node has
// stored one.
func (n *Node) decideLayout(ctx context.Context) {
	l, f, err := n.proposeLayout(ctx)
	if err != nil {
		n.recordStoreFailure(err)
		return
	}
	tx := Transaction{Expect: []Expectation{{layoutRow(), 0}}, Puts: []Row{{RowID: layoutRow(), Value: encode(l)}}}
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	_, err = n.cfg.Store.Commit(call, tx)
	n.log.WithFields(logrus.Fields{"decision": "layout", "cells": l.Cells, "racks": len(l.Racks), "choice": resultLabel(err),
		"hosts": len(f.hosts), "workers": workersIn(f.racks), "stable": f.stable, "waited_ms": f.waited.Milliseconds()}).Info("proposed a layout")
}

// proposeLayout returns the layout for a deployment without one. A deployment that was led by
// a version without cells keeps its single cell.
func (n *Node) proposeLayout(ctx context.Context) (*layout, knownFleet, error) {
	fences, _, err := listAll(ctx, n.cfg.Store, tableFence, singleCellPart, nil)
	if err != nil {
		return nil, knownFleet{}, err
	}
	if len(fences) > 0 {
		return singleCellLayout(), knownFleet{}, nil
	}
	f, err := n.readStableFleet(ctx)
	if err != nil {
		return nil, knownFleet{}, err
	}
	cells := n.cfg.Cells
	if cells == 0 {
		cells = cellCount(f.hosts, f.racks)
	}
	return newLayout(cells, f.racks), f, nil
}

// knownFleet is what a division is made for: the limits of the hosts and the number of workers of each
// rack that were known then.
type knownFleet struct {
	hosts []Limits
	racks map[string]int
	// stable means that two reads in succession showed as many hosts and the same racks; waited is the time
	// until the last of them.
	stable bool
	waited time.Duration
}

// readStableFleet reads hosts and workers until two reads are equal or stableReadTimeout has
// passed.
func (n *Node) readStableFleet(ctx context.Context) (knownFleet, error) {
	var f knownFleet
	for start := time.Now(); ctx.Err() == nil; sleep(ctx, stableReadInterval) {
		hosts, racks, err := n.readFleet(ctx)
		if err != nil {
			return knownFleet{}, err
		}
		stable := len(hosts) == len(f.hosts) && maps.Equal(racks, f.racks) && len(racks) > 0
		f = knownFleet{hosts, racks, stable, time.Since(start)}
		if stable || f.waited > stableReadTimeout {
			return f, nil
		}
	}
	return knownFleet{}, ctx.Err()
}

// readFleet reads the hosts' limits and the number of workers of each rack.
func (n *Node) readFleet(ctx context.Context) ([]Limits, map[string]int, error) {
	table, _ := n.cfg.Decoder.Tables()
	hosts, _, errHosts := listAll(ctx, n.cfg.Store, tableHosts, "", nil)
	workers, _, errWorkers := listAll(ctx, n.cfg.Store, table, "", nil)
	if err := errors.Join(errHosts, errWorkers); err != nil {
		return nil, nil, err
	}
	racks := map[string]int{}
	for _, row := range workers {
		if info, err := n.cfg.Decoder.Worker(row); err == nil {
			racks[rackGroup(info)]++
		}
	}
	return hostLimits(hosts), racks, nil
}
