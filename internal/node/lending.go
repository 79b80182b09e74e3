package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/share"
)

// RPC methods for lending slots.
const (
	methodLend   = "share.lend"
	methodReturn = "share.return"
)

const (
	// lendingTick is the interval of checks for waiting requests while slots are borrowed,
	// lendingIdleTick otherwise. The latter is longer because timers take most of the CPU time
	// of an idle node.
	lendingTick     = 50 * time.Millisecond
	lendingIdleTick = 150 * time.Millisecond
	// lendersPerTick is the number of peers asked for slots of a service in one tick.
	lendersPerTick = 2
	// maxBorrowBatch limits the slots requested at once.
	maxBorrowBatch = 16
	// lendingTimeout limits one call. It is short because a slot is lent for one second only.
	lendingTimeout = 200 * time.Millisecond
	// maxReturnAttempts limits the attempts to return one lease. After them the lender
	// counts the slots as lent until the lease expires.
	maxReturnAttempts = 20
)

// lendParams request idle slots of a service from a peer.
type lendParams struct {
	Service model.ServiceName `json:"service"`
	Waiting int               `json:"waiting"`
}

// returnParams return the unused slots of a lease.
type returnParams struct {
	Lease   share.Lease      `json:"lease"`
	Runners []model.RunnerID `json:"runners"`
}

// borrowedLease is a lease that this node has to return.
type borrowedLease struct {
	lease          share.Lease
	addr           string
	until          time.Time
	returnAttempts int
	// unsent lists slots that are free here, but of which the lender has not heard.
	unsent []model.RunnerID
}

// lendingLoop borrows slots while requests wait, and returns leases when they end. Only this
// goroutine accesses the list of leases.
func (n *Node) lendingLoop(ctx context.Context) error {
	timer := time.NewTimer(lendingIdleTick)
	defer timer.Stop()
	var leases []*borrowedLease
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		leases = n.returnEndedLeases(ctx, leases, time.Now())
		leases = append(leases, n.borrow(ctx)...)
		if len(leases) > 0 {
			timer.Reset(lendingTick)
		} else {
			timer.Reset(lendingIdleTick)
		}
	}
}

// borrow asks peers for slots of each service that has waiting requests.
func (n *Node) borrow(ctx context.Context) []*borrowedLease {
	var leases []*borrowedLease
	for service, load := range n.chain.Load().Services {
		if load.Waiting == 0 {
			continue
		}
		peers := n.randomPeers(lendersPerTick)
		for _, m := range peers {
			if b := n.borrowFrom(ctx, m, service, min(load.Waiting, maxBorrowBatch)); b != nil {
				leases = append(leases, b)
				break
			}
		}
	}
	return leases
}

// randomPeers returns up to count random members that are not suspected, without this node.
func (n *Node) randomPeers(count int) []control.Member {
	var out []control.Member
	suspects := n.suspects()
	for _, m := range n.members() {
		if m.ID != n.id && !suspects[m.ID] {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

func (n *Node) borrowFrom(ctx context.Context, m control.Member, service model.ServiceName, waiting int) *borrowedLease {
	ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
	defer cancel()
	requested := time.Now()
	var lease share.Lease
	if err := n.peers.Call(ctx, m.Addr, methodLend, lendParams{service, waiting}, &lease); err != nil || len(lease.Runners) == 0 {
		return nil
	}
	n.shares.Borrow(lease, requested)
	return &borrowedLease{lease: lease, addr: m.Addr, until: requested.Add(lease.For)}
}

// returnEndedLeases returns the leases that have ended to their lenders. The result holds the
// leases that have not ended or whose slots are still in use.
func (n *Node) returnEndedLeases(ctx context.Context, leases []*borrowedLease, now time.Time) []*borrowedLease {
	var kept []*borrowedLease
	for _, b := range leases {
		if now.Before(b.until) || !n.returnLease(ctx, b) {
			kept = append(kept, b)
		}
	}
	return kept
}

// returnLease returns the free slots of a lease to the lender. It reports true if no slots are
// left to return, or after maxReturnAttempts. Slots may be returned twice, as the lender knows
// the lease.
func (n *Node) returnLease(ctx context.Context, b *borrowedLease) bool {
	b.returnAttempts++
	free := n.shares.ReturnLease(b.lease)
	b.lease.Runners = subtractRunners(b.lease.Runners, free)
	b.unsent = append(b.unsent, free...)
	if len(b.unsent) > 0 {
		ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, b.addr, methodReturn, returnParams{b.lease, b.unsent}, nil); err != nil {
			n.log.WithError(err).Debug("failed to return slots; the lender counts them as lent until they are returned or the lease expires")
		} else {
			b.unsent = nil
		}
	}
	return len(b.lease.Runners)+len(b.unsent) == 0 || b.returnAttempts >= maxReturnAttempts
}

// subtractRunners returns list with one occurrence removed for each element of gone.
func subtractRunners(list, gone []model.RunnerID) []model.RunnerID {
	count := map[model.RunnerID]int{}
	for _, id := range gone {
		count[id]++
	}
	var out []model.RunnerID
	for _, id := range list {
		if count[id] > 0 {
			count[id]--
			continue
		}
		out = append(out, id)
	}
	return out
}

func (n *Node) handleLend(_ context.Context, p lendParams) (any, error) {
	load := n.chain.Load().Services[p.Service]
	if load.Waiting > 0 {
		return share.Lease{}, nil
	}
	return n.shares.Lend(p.Service, share.LendAmount(load.Free, p.Waiting)), nil
}

func (n *Node) handleReturn(_ context.Context, p returnParams) (any, error) {
	n.shares.AcceptReturn(p.Lease, p.Runners)
	return struct{}{}, nil
}

// hasSlotsOfAllServices reports whether this node may use a slot of every service that has live
// runners.
func (n *Node) hasSlotsOfAllServices() bool {
	held := map[model.ServiceName]bool{}
	for _, h := range n.hosts.Hosts() {
		if h.Role != external.RoleRunner || h.State != external.HostLive || held[h.Service] {
			continue
		}
		held[h.Service] = n.shares.Limit(h.Service, model.RunnerID(h.ID)) > 0
	}
	for _, s := range n.control.View().Declaration.Services {
		if holds, listed := held[s.Name]; listed && !holds {
			return false
		}
	}
	return true
}
