package node

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

// sweepInterval is the time between the sweeps of two partitions of claims. A single node takes
// about four hours for all partitions, which is short compared to a retention of days. Several
// members divide the partitions among them.
const sweepInterval = time.Minute

// sweepLoop deletes expired claims. Its store operations have the lowest priority.
func (n *Node) sweepLoop(ctx context.Context) error {
	sweeper := request.Sweeper{Table: n.store, Objects: n.objects}
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityBulk)
	round := 0
	return every(ctx, sweepInterval, func(ctx context.Context) {
		view := n.control.View()
		if !n.joined.Load() || view.Declaration == nil {
			return
		}
		members := max(1, len(view.Members))
		index := (round*members + n.rank(view)) % request.ClaimPartitions
		round++
		deleted, err := sweeper.Sweep(ctx, index, view.Declaration.Limits.ClaimRetention.D())
		if err != nil {
			n.log.WithError(err).Debug("failed to sweep claims; retrying in a later round")
			return
		}
		if deleted > 0 {
			n.log.WithField("claims", deleted).Info("expired claims deleted")
		}
	})
}
