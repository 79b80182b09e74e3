package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// settledSim returns nodes that hold all slots of 24 runners.
func settledSim(nodes int) *sim {
	s := newSim(nodes, []float64{1})
	s.runners = nil
	for i := range 24 {
		s.runners = append(s.runners, model.RunnerID(fmt.Sprintf("r%d", i)))
	}
	s.heal()
	return s
}

// step passes time, lets nodes confirm and gossip, and checks all runners. It
// starts no requests, which would delay the acknowledgements.
func (s *sim) step(t *testing.T, d time.Duration) {
	s.advance(d)
	each(s.nodes, s.confirm)
	s.gossipAll(false)
	s.check(t)
}

// cutOff separates nodes from the store.
func cutOff(nodes ...*simNode) {
	for _, n := range nodes {
		n.noStore = true
	}
}

// drop removes a live node, as when the host list is wrong.
func (s *sim) drop(n *simNode) {
	delete(s.listed, n.id)
	s.removeUnlisted()
}

// Guards against a slot that is taken while a holder that the taker does not know
// of, or that looks departed, may still use it. Each case broke an earlier or a
// deliberately weakened rule.
func TestFormerHolders(t *testing.T) {
	tests := map[string]func(t *testing.T, s *sim){
		// A node that skips a view must wait for the holders under that view.
		"skipped view": func(t *testing.T, s *sim) {
			b := s.nodes[1]
			cutOff(b)
			d := s.join(1)
			s.step(t, 100*time.Millisecond)
			s.step(t, 100*time.Millisecond)
			cutOff(d, s.nodes[0])
			b.noStore = false
			s.join(1)
			for range 5 {
				s.step(t, 100*time.Millisecond)
			}
		},
		// The same when a node joined and was removed unseen in between.
		"unseen member": func(t *testing.T, s *sim) {
			b := s.nodes[1]
			cutOff(b)
			d := s.join(1)
			s.step(t, 100*time.Millisecond)
			s.step(t, 100*time.Millisecond)
			cutOff(d, s.nodes[0])
			s.drop(d)
			s.join(1)
			b.noStore = false
			for range 5 {
				s.step(t, 100*time.Millisecond)
			}
		},
		// A removed node that still finds a majority of the old view stays active.
		"majority of the old view": func(t *testing.T, s *sim) {
			cutOff(s.nodes[0], s.nodes[1], s.nodes[2])
			s.drop(s.nodes[0])
			for _, a := range s.nodes[:3] {
				for _, b := range s.nodes[3:] {
					s.cut[[2]model.NodeID{b.id, a.id}] = true
				}
			}
			for range 30 {
				s.step(t, 500*time.Millisecond)
			}
		},
		// A peer's statement about earlier departures says nothing about a later one.
		"later departure": func(t *testing.T, s *sim) {
			c := s.nodes[2]
			cutOff(c)
			s.join(1)
			s.step(t, 100*time.Millisecond)
			s.step(t, 100*time.Millisecond)
			s.drop(c)
			for range 5 {
				s.step(t, 100*time.Millisecond)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(t, settledSim(5)) })
	}
}

// Guards against an uneven division, and documents where subsets become partial:
// up to 8 nodes every node has a slot at every runner, from 9 nodes on it has not.
func TestOrderDividesSlots(t *testing.T) {
	for _, nodes := range []int{1, 5, 8, 9, 16, 40} {
		var members []model.NodeID
		for i := range nodes {
			members = append(members, model.NodeID(fmt.Sprintf("n%d", i)))
		}
		partial, total := 0, 0
		for r := range 200 {
			order := Order(model.RunnerID(fmt.Sprintf("r%d", r)), members)
			held := map[model.NodeID]int{}
			for i := range testSlots {
				held[owner(order, i)]++
			}
			for _, m := range members {
				total += held[m]
				require.LessOrEqual(t, held[m], (testSlots+nodes-1)/nodes)
				if held[m] == 0 {
					partial++
				}
			}
		}
		require.Equal(t, 200*testSlots, total)
		require.Equal(t, nodes > testSlots, partial > 0, "%d nodes", nodes)
	}
}
