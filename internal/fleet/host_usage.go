package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/usage"
)

const (
	// usageInterval is the interval of the measurements of the use of the host.
	usageInterval = time.Second
	// usageLimitShare is the share of a limit above which a node is over its budget. Cells are
	// sized for cellBudgetShare of the limit, which leaves capacity for bursts.
	usageLimitShare = 0.9
	// overBudgetIntervals is the number of consecutive intervals over budget that is logged.
	overBudgetIntervals = 3
)

// monitorUsage measures which share of its host's limits this process uses, until ctx ends.
func (n *Node) monitorUsage(ctx context.Context) {
	if n.cfg.Usage == nil {
		return
	}
	limits := usage.Limits{MilliCPU: n.cfg.Limits.MilliCPU, MemoryMB: n.cfg.Limits.MemoryMB, LinkBytes: n.cfg.Limits.LinkBytes}
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	before, at, over := n.cfg.Usage(), time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		after, now := n.cfg.Usage(), time.Now()
		s := usage.UtilizationBetween(before, after, now.Sub(at), limits)
		before, at = after, now
		n.recordUsage(s)
		if max(s.CPU, s.Memory, s.Link) <= usageLimitShare {
			over = 0
			continue
		}
		if over++; over == overBudgetIntervals {
			n.log.WithFields(logrus.Fields{"event": "over-budget", "processor": s.CPU, "memory": s.Memory, "link": s.Link, "cells": n.ledCells()}).
				Warn("node uses more than the budget of its host")
		}
	}
}

// overloaded reports whether this process used its processor share or its link up in the last interval.
func (n *Node) overloaded() bool {
	u := n.hostUse()
	return max(u.CPU, u.Link) > usageLimitShare
}

// hostUse returns the use of the host in the last interval, zero before the first one has ended.
func (n *Node) hostUse() usage.Utilization {
	if u := n.usage.Load(); u != nil {
		return *u
	}
	return usage.Utilization{}
}

func (n *Node) recordUsage(s usage.Utilization) {
	n.usage.Store(&s)
	for of, share := range map[string]float64{"processor": s.CPU, "memory": s.Memory, "link": s.Link} {
		n.metrics.hostShare.WithLabelValues(of).Set(share)
	}
}
