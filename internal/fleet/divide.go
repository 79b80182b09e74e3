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

// Times of the first division into cells.
const (
	// layoutPause is the pause between two looks for a layout.
	layoutPause = 250 * time.Millisecond
	// authorSpread spreads the nodes that could decide it.
	authorSpread = 400 * time.Millisecond
	// authorPatience is how long the node that decides it may take.
	authorPatience = 8 * time.Second
	// settlePause is the pause between two reads of hosts and workers: those of a new
	// deployment appear within some seconds. The division waits for two equal reads.
	settlePause = 900 * time.Millisecond
	// settleLimit bounds that wait, and that for a first worker.
	settleLimit = 5 * time.Second
)

// authorRecord is the claim of the node that decides the layout.
type authorRecord struct {
	Node    model.NodeID `cbor:"1,keyasint"`
	Process uint64       `cbor:"2,keyasint"`
	// At is the store's steady clock at the claim.
	At time.Duration `cbor:"3,keyasint"`
}

// authorRow addresses the claim.
func authorRow() RowID { return RowID{tableHosts, layoutPart, keyLayout} }

// findLayout waits until there is a layout, and decides it where there is none. It
// returns the version to watch from.
func (n *Node) findLayout(ctx context.Context) (uint64, bool) {
	n.wait.Go(func() { n.tellHost(ctx) })
	for first := true; ; first = false {
		s := n.source(tableLeader, nil)
		s.parts = []string{layoutPart}
		rows, page, ok := s.listUntil(ctx)
		if !ok {
			return 0, false
		}
		n.storeAnswered()
		for _, row := range rows {
			n.takeLayout(row)
		}
		switch {
		case n.division.Load() != nil:
			return page.Version, true
		case first:
			sleep(ctx, time.Duration(rand.Int64N(int64(authorSpread)))+n.authorHandicap())
		default:
			if n.claimLayout(ctx) {
				n.decideLayout(ctx)
			}
			sleep(ctx, layoutPause)
		}
	}
}

// authorHandicap leaves the decision to large hosts, whose links carry the list of
// workers.
func (n *Node) authorHandicap() time.Duration {
	if own := n.cfg.Limits.MilliCPU; own > 0 && own < largeHost {
		return min(time.Duration(float64(largeHost)/float64(own)*float64(sizeHandicap)), sizeHandicapMax)
	}
	return 0
}

// tellHost stores what the division into cells needs to know of this host.
func (n *Node) tellHost(ctx context.Context) {
	row := Row{RowID: hostRow(n.cfg.Node), Value: encode(hostRecord{n.cfg.Node, n.cfg.Limits.MilliCPU, n.cfg.Limits.LinkBytes})}
	for ctx.Err() == nil && n.division.Load() == nil {
		call, cancel := context.WithTimeout(ctx, campaignTimeout)
		_, err := n.cfg.Store.Commit(call, Transaction{Puts: []Row{row}})
		cancel()
		if err == nil {
			return
		}
		sleep(ctx, readPause+jitter())
	}
}

// claimLayout makes this node the one that decides the layout, unless another has
// claimed that a short time ago.
func (n *Node) claimLayout(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableHosts, layoutPart, "", "", 1)
	if err != nil {
		n.storeUnread(err)
		return false
	}
	version := uint64(0)
	for _, row := range page.Rows {
		var a authorRecord
		version = row.Version
		if decodeRecord(row, &a) == nil && page.Now-a.At < authorPatience && (a.Node != n.cfg.Node || a.Process == n.cfg.Process) {
			return false
		}
	}
	claim := authorRecord{n.cfg.Node, n.cfg.Process, page.Now}
	_, err = n.cfg.Store.Commit(call, Transaction{Expect: []Expectation{{authorRow(), version}}, Puts: []Row{{RowID: authorRow(), Value: encode(claim)}}})
	return err == nil
}

// decideLayout divides the fleet and stores the result, unless another node was
// faster. A deployment that an earlier version led keeps its one cell.
func (n *Node) decideLayout(ctx context.Context) {
	l, err := n.proposeLayout(ctx)
	if err != nil {
		n.storeUnread(err)
		return
	}
	tx := Transaction{Expect: []Expectation{{layoutRow(), 0}}, Puts: []Row{{RowID: layoutRow(), Value: encode(l)}}}
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	_, err = n.cfg.Store.Commit(call, tx)
	n.log.WithFields(logrus.Fields{"decision": "layout", "cells": l.Cells, "racks": len(l.Racks), "choice": outcome(err)}).Info("fleet is divided")
}

func (n *Node) proposeLayout(ctx context.Context) (*layout, error) {
	fences, _, err := listAll(ctx, n.cfg.Store, tableFence, leaderPart)
	if err != nil {
		return nil, err
	}
	if len(fences) > 0 {
		return oneCell(), nil
	}
	hosts, racks, err := n.settledFleet(ctx)
	if err != nil {
		return nil, err
	}
	cells := n.cfg.Cells
	if cells == 0 {
		cells = cellCount(hosts, racks)
	}
	return newLayout(cells, racks), nil
}

// settledFleet reads hosts and workers until two reads are equal.
func (n *Node) settledFleet(ctx context.Context) ([]Limits, map[string]int, error) {
	var hosts []Limits
	var racks map[string]int
	for begun := time.Now(); ctx.Err() == nil; sleep(ctx, settlePause) {
		h, r, err := n.readFleet(ctx)
		if err != nil {
			return nil, nil, err
		}
		same := len(h) == len(hosts) && maps.Equal(r, racks) && len(r) > 0
		hosts, racks = h, r
		if same || time.Since(begun) > settleLimit {
			return hosts, racks, nil
		}
	}
	return nil, nil, ctx.Err()
}

// readFleet reads the hosts' limits, and the workers of each rack.
func (n *Node) readFleet(ctx context.Context) ([]Limits, map[string]int, error) {
	table, _ := n.cfg.Decoder.Tables()
	hosts, _, errHosts := listAll(ctx, n.cfg.Store, tableHosts, "")
	workers, _, errWorkers := listAll(ctx, n.cfg.Store, table, "")
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
