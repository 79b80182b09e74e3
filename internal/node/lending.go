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

// Methods between nodes for lending slots.
const (
	methodLend   = "share.lend"
	methodReturn = "share.return"
)

const (
	// lendingTick is the interval at which waiting requests are looked at while
	// slots are borrowed, lendingIdleTick otherwise: an idle node spends most of its
	// processor time on timers.
	lendingTick     = 50 * time.Millisecond
	lendingIdleTick = 150 * time.Millisecond
	// lendingTries is the number of peers asked in one tick.
	lendingTries = 2
	// lendingBatch bounds the slots asked for at once.
	lendingBatch = 16
	// lendingTimeout bounds one call; a borrowed slot is of use for a second only.
	lendingTimeout = 200 * time.Millisecond
	// returnTries bounds the calls that give one lease back. After them the lender
	// counts the lease until its end.
	returnTries = 20
)

// lendParams ask a peer for idle slots of a service.
type lendParams struct {
	Service model.ServiceName `json:"service"`
	Waiting int               `json:"waiting"`
}

// returnParams give back the unused slots of a lease.
type returnParams struct {
	Lease   share.Lease      `json:"lease"`
	Runners []model.RunnerID `json:"runners"`
}

// borrowed is a lease that this node has to give back.
type borrowed struct {
	lease share.Lease
	addr  string
	until time.Time
	tries int
}

// lendingLoop borrows slots while requests wait, and gives leases back when they
// end. One goroutine owns the list of leases.
func (n *Node) lendingLoop(ctx context.Context) error {
	timer := time.NewTimer(lendingIdleTick)
	defer timer.Stop()
	var leases []*borrowed
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		leases = n.giveBack(ctx, leases, time.Now())
		leases = append(leases, n.borrow(ctx)...)
		if len(leases) > 0 {
			timer.Reset(lendingTick)
		} else {
			timer.Reset(lendingIdleTick)
		}
	}
}

// borrow asks peers for slots of each service whose requests wait.
func (n *Node) borrow(ctx context.Context) []*borrowed {
	var leases []*borrowed
	for service, load := range n.chain.Load().Services {
		if load.Waiting == 0 {
			continue
		}
		peers := n.somePeers(lendingTries)
		for _, m := range peers {
			if b := n.borrowFrom(ctx, m, service, min(load.Waiting, lendingBatch)); b != nil {
				leases = append(leases, b)
				break
			}
		}
	}
	return leases
}

// somePeers returns up to count random members other than this node.
func (n *Node) somePeers(count int) []control.Member {
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

func (n *Node) borrowFrom(ctx context.Context, m control.Member, service model.ServiceName, waiting int) *borrowed {
	ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
	defer cancel()
	requested := time.Now()
	var lease share.Lease
	if err := n.peers.Call(ctx, m.Addr, methodLend, lendParams{service, waiting}, &lease); err != nil || len(lease.Runners) == 0 {
		return nil
	}
	n.shares.Borrow(lease, requested)
	return &borrowed{lease: lease, addr: m.Addr, until: requested.Add(lease.For)}
}

// giveBack returns the leases that have ended, and keeps those whose slots are
// still in use.
func (n *Node) giveBack(ctx context.Context, leases []*borrowed, now time.Time) []*borrowed {
	var kept []*borrowed
	for _, b := range leases {
		if now.Before(b.until) || !n.returnLease(ctx, b) {
			kept = append(kept, b)
		}
	}
	return kept
}

// returnLease tells the lender which slots are free and reports whether nothing
// is left to return.
func (n *Node) returnLease(ctx context.Context, b *borrowed) bool {
	b.tries++
	if free := n.shares.ReturnLease(b.lease); len(free) > 0 {
		ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, b.addr, methodReturn, returnParams{b.lease, free}, nil); err != nil {
			n.log.WithError(err).Debug("lease not returned; its lender counts it until its end")
		}
		b.lease.Runners = without(b.lease.Runners, free)
	}
	return len(b.lease.Runners) == 0 || b.tries >= returnTries
}

// without removes each runner of gone once from list.
func without(list, gone []model.RunnerID) []model.RunnerID {
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

// holdsSlots reports whether this node may use a slot of every service that has
// runners.
func (n *Node) holdsSlots() bool {
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
