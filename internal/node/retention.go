package node

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

// sweepTick is the time between two partitions of claims that a node sweeps. One
// node alone takes about four hours for all of them, which is short against a
// retention of days; with more members each takes its part.
const sweepTick = time.Minute

// sweepLoop deletes expired claims, at the lowest priority of the store budget.
func (n *Node) sweepLoop(ctx context.Context) error {
	sweeper := request.Sweeper{Table: n.store, Objects: n.objects}
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityBulk)
	turn := 0
	return every(ctx, sweepTick, func(ctx context.Context) {
		view := n.control.View()
		if !n.joined.Load() || view.Declaration == nil {
			return
		}
		members := max(1, len(view.Members))
		index := (turn*members + n.rank(view)) % request.ClaimPartitions
		turn++
		deleted, err := sweeper.Sweep(ctx, index, view.Declaration.Limits.ClaimRetention.D())
		if err != nil {
			n.log.WithError(err).Debug("claims not swept; it is tried again in a later turn")
			return
		}
		if deleted > 0 {
			n.log.WithField("claims", deleted).Info("expired claims deleted")
		}
	})
}
