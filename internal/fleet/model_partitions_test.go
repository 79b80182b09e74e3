package fleet_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// maxPartition bounds the time for which a leader is cut off, longer than any lease of it reaches.
const maxPartition = 12 * time.Second

// TestLeaderModelWithPartitions plays the model with leaders that are cut off from the store and their peers, not from some workers, while
// later terms hand the lead on.
func TestLeaderModelWithPartitions(t *testing.T) { checkModel(t, modelVariant{partitions: true}) }

// cutOffLeader cuts a leader off with some of the workers from the store and all other nodes. The terms
// that follow are short: they hand the lead on, or end without notice.
func (m *leaderModel) cutOffLeader(rt *rapid.T) {
	if rapid.Bool().Draw(rt, "submit") {
		m.submit(rt)
		time.Sleep(upTo(rt, "age of runs", time.Second))
	}
	length := maxPartition * time.Duration(1+pick(rt, "quarters", 4)) / 4
	terms := 1 + pick(rt, "terms", 3)
	former, cutOff := m.c.Leader(), m.some(rt)
	if former == nil {
		return
	}
	m.log("%s cut off for %v with %d workers, %d short terms", former.Name, length, len(cutOff), terms)
	cut := func(n *fleettest.Member, length time.Duration) {
		view := n.Workers
		for _, w := range cutOff {
			view.Cut(w, true)
			time.AfterFunc(length, func() { view.Cut(w, false) })
		}
	}
	for _, n := range m.c.Nodes {
		if n != former {
			cut(n, length)
		}
	}
	m.storeFault(former, fleettest.Silent, length)
	peers := former.Peers
	peers.Cut(true)
	time.AfterFunc(length, func() { peers.Cut(false) })
	end := time.Now().Add(length)
	for range terms {
		graceful, age := pick(rt, "graceful", 4) > 0, upTo(rt, "age", time.Second)
		next := m.nextLeader(former, end)
		if next == nil {
			return
		}
		time.Sleep(age)
		m.log("leader %s ends after %v, graceful %t", next.Name, age, graceful)
		if graceful {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			next.Node.Drain(ctx)
			cancel()
		}
		m.c.Kill(next)
		m.c.Start(next)
		if left := time.Until(end); left > 0 {
			cut(next, left)
		}
	}
	if rapid.Bool().Draw(rt, "wait") {
		time.Sleep(time.Until(end))
	}
}

// nextLeader waits until end for a leader beside former; nil if there is none.
func (m *leaderModel) nextLeader(former *fleettest.Member, end time.Time) *fleettest.Member {
	for ; time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, n := range m.c.Nodes {
			if n != former && n.Up() && n.Node.Leading() {
				return n
			}
		}
	}
	return nil
}
