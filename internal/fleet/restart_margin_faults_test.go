package fleet_test

import (
	"context"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Faults of a leader. Cuts last 2, 4 or 8 s.
const (
	leaderWell         = "well"
	leaderBackSoon     = "killed for 0.5 s"
	leaderBack         = "killed for 1.5 s"
	leaderGone         = "gone for good"
	leaderFrozen2      = "frozen 2 s"
	leaderFrozen4      = "frozen 4 s"
	leaderFrozen8      = "frozen 8 s"
	leaderCutStore     = "cut from the store"
	leaderCutPeers     = "cut from its peers"
	leaderCutCentre    = "cut off with its data centre"
	leaderReleased     = "released"
	leaderHandedOn     = "handed on twice"
	handedOnAfter      = 20 * time.Millisecond
	drainLimit         = time.Second
	workerBackTime     = 3 * time.Second
	workerDrainTime    = 6 * time.Second
	storeImpairedTime  = 4 * time.Second
	slowStoreLatency   = 300 * time.Millisecond
	usualStoreLatency  = 4 * time.Millisecond
	storeWell          = "well"
	storeSilent2       = "silent 2 s"
	storeSilent4       = "silent 4 s"
	storeSlow          = "slow"
	storeAnswersCut    = "answers cut"
	workerKilled       = "killed"
	workerDark         = "dark"
	workerGone         = "gone for good"
	workerReborn       = "reborn at once"
	workerCutLeader    = "cut from the leader"
	workerRack         = "rack gone"
	workerDrained      = "drained"
	marginCentreOthers = 2 // workers in the data centre of the leader beside those with runs
)

var (
	marginLeaders     = []string{leaderWell, leaderBackSoon, leaderBack, leaderGone, leaderFrozen2, leaderFrozen4, leaderFrozen8, leaderCutStore, leaderCutPeers, leaderCutCentre, leaderReleased, leaderHandedOn}
	marginWorkerKinds = []string{workerKilled, workerDark, workerGone, workerReborn, workerCutLeader, workerRack, workerDrained}
	marginStores      = []string{storeWell, storeSilent2, storeSilent4, storeSlow, storeAnswersCut}
)

// marginLinks is what does not reach what. It holds for processes that start later, too.
type marginLinks struct {
	// leader leads when the play begins.
	leader      *fleettest.Member
	storeSilent bool
	// fromStore and fromPeers are the nodes that are cut off.
	fromStore, fromPeers map[*fleettest.Member]bool
	// dark and fromLeader are the addresses of workers that reach nobody, or not leader.
	dark, fromLeader map[string]bool
	// centre is the node that is cut off with the workers at centreWorkers.
	centre        *fleettest.Member
	centreWorkers map[string]bool
}

func newMarginLinks() marginLinks {
	return marginLinks{fromStore: map[*fleettest.Member]bool{}, fromPeers: map[*fleettest.Member]bool{}, dark: map[string]bool{}, fromLeader: map[string]bool{}}
}

// applyLinks sets the faults of all nodes.
func (p *marginPlay) applyLinks() {
	l := &p.links
	for _, m := range p.c.Nodes {
		if !m.Up() {
			continue
		}
		fault := fleettest.Healthy
		if l.storeSilent || l.fromStore[m] || l.centre == m {
			fault = fleettest.Silent
		}
		m.Store.SetFault(fault)
		m.Peers.Cut(l.fromPeers[m] || l.centre == m)
		for _, w := range p.c.AllWorkers() {
			m.Workers.Cut(w, l.cut(m, w.Info.Addr))
		}
	}
}

// cut reports whether a node does not reach the worker at an address.
func (l *marginLinks) cut(m *fleettest.Member, addr string) bool {
	return l.dark[addr] || (m == l.leader && l.fromLeader[addr]) || (l.centre != nil && (l.centre == m) != l.centreWorkers[addr])
}

// plan draws when the faults begin.
func (p *marginPlay) plan(f marginFaults) {
	p.after(p.offset(), func() { p.strikeLeader(f.leader) })
	p.after(p.offset()+time.Millisecond, func() { p.strikeWorker(f.worker) })
	if f.store != storeWell {
		p.after(p.offset()+2*time.Millisecond, func() { p.strikeStore(f.store) })
	}
}

func (p *marginPlay) strikeLeader(kind string) {
	leader := p.c.Leader()
	if leader == nil {
		p.after(handedOnAfter, func() { p.strikeLeader(kind) })
		return
	}
	cutTime := p.pick(2*time.Second, 4*time.Second, 8*time.Second)
	switch kind {
	case leaderBackSoon:
		p.killLeader(leader, 500*time.Millisecond)
	case leaderBack:
		p.killLeader(leader, 1500*time.Millisecond)
	case leaderGone:
		p.impair()
		p.c.Kill(leader)
	case leaderFrozen2:
		p.freezeLeader(leader, 2*time.Second)
	case leaderFrozen4:
		p.freezeLeader(leader, 4*time.Second)
	case leaderFrozen8:
		p.freezeLeader(leader, 8*time.Second)
	case leaderCutStore:
		p.cutFor(cutTime, func(cut bool) { p.links.fromStore[leader] = cut })
	case leaderCutPeers:
		p.cutFor(cutTime, func(cut bool) { p.links.fromPeers[leader] = cut })
	case leaderCutCentre:
		p.cutCentre(leader, cutTime)
	case leaderReleased:
		p.release(leader, func() {})
	case leaderHandedOn:
		p.release(leader, func() { p.after(handedOnAfter, p.releaseNext) })
	}
}

func (p *marginPlay) killLeader(leader *fleettest.Member, down time.Duration) {
	p.c.Kill(leader)
	p.impairFor(down, func() {
		p.c.Start(leader)
		p.applyLinks()
	})
}

func (p *marginPlay) freezeLeader(leader *fleettest.Member, d time.Duration) {
	leader.Freeze(true)
	p.impairFor(d, func() { leader.Freeze(false) })
}

// cutFor sets a cut for d.
func (p *marginPlay) cutFor(d time.Duration, set func(cut bool)) {
	set(true)
	p.applyLinks()
	p.impairFor(d, func() {
		set(false)
		p.applyLinks()
	})
}

// cutCentre cuts a leader off from all but some workers, which reach no other node. In half of the plays
// the first victim is one of them.
func (p *marginPlay) cutCentre(leader *fleettest.Member, d time.Duration) {
	first := p.random.IntN(2)
	near := p.victims[first : first+2]
	for _, w := range p.c.AllWorkers() {
		if !slices.Contains(p.victims, w) && len(near) < 2+marginCentreOthers {
			near = append(slices.Clone(near), w)
		}
	}
	p.cutFor(d, func(cut bool) {
		p.links.centre, p.links.centreWorkers = nil, map[string]bool{}
		if !cut {
			return
		}
		p.links.centre = leader
		for _, w := range near {
			p.links.centreWorkers[w.Info.Addr] = true
		}
	})
}

// release stops a leader gracefully, then calls next. Its process does not come back.
func (p *marginPlay) release(leader *fleettest.Member, next func()) {
	p.impair()
	node, drained := leader.Node, make(chan struct{})
	go func() {
		defer close(drained)
		ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
		defer cancel()
		node.Drain(ctx)
	}()
	p.whenClosed(drained, func() {
		p.c.Kill(leader)
		next()
	})
}

// whenClosed calls do when a channel is closed.
func (p *marginPlay) whenClosed(closed <-chan struct{}, do func()) {
	select {
	case <-closed:
		do()
	default:
		p.after(time.Millisecond, func() { p.whenClosed(closed, do) })
	}
}

// releaseNext releases the leader that follows.
func (p *marginPlay) releaseNext() {
	if next := p.c.Leader(); next != nil {
		p.release(next, func() {})
		return
	}
	p.after(handedOnAfter, p.releaseNext)
}

func (p *marginPlay) strikeWorker(kind string) {
	w := p.victims[0]
	cutTime := p.pick(5*time.Second, 6*time.Second, 8*time.Second)
	switch kind {
	case workerKilled:
		p.c.Workers.Kill(w)
		p.impairFor(workerBackTime, func() { p.addWorker(w) })
	case workerDark:
		p.cutFor(cutTime, func(cut bool) { p.links.dark[w.Info.Addr] = cut })
	case workerGone:
		p.loseForGood(w)
	case workerReborn:
		p.impair()
		p.addWorker(w)
	case workerCutLeader:
		p.cutFor(cutTime, func(cut bool) { p.links.fromLeader[w.Info.Addr] = cut })
	case workerRack:
		p.loseForGood(w)
		p.loseForGood(p.victims[1])
	case workerDrained:
		p.impair()
		p.c.Drain(w)
		p.after(workerDrainTime, func() { leave(p.c, w) })
	}
}

// addWorker starts the next lifetime of a worker.
func (p *marginPlay) addWorker(w *fleettest.Worker) {
	p.c.AddWorker(string(w.Info.Worker))
	p.applyLinks()
}

// loseForGood ends a machine, which answers nobody any more.
func (p *marginPlay) loseForGood(w *fleettest.Worker) {
	p.impair()
	p.c.Workers.Kill(w)
	p.links.dark[w.Info.Addr] = true
	p.applyLinks()
	p.after(entryLifetime, func() { p.c.Unlist(w) })
}

func (p *marginPlay) strikeStore(kind string) {
	silent := func(cut bool) { p.links.storeSilent = cut }
	switch kind {
	case storeSilent2:
		p.cutFor(2*time.Second, silent)
	case storeSilent4:
		p.cutFor(4*time.Second, silent)
	case storeSlow:
		p.c.Store.SetLatency(slowStoreLatency)
		p.impairFor(storeImpairedTime, func() { p.c.Store.SetLatency(usualStoreLatency) })
	case storeAnswersCut:
		p.c.Store.SetTransactionFaults(1, 0)
		p.impairFor(storeImpairedTime, func() { p.c.Store.SetTransactionFaults(0, 0) })
	}
}
