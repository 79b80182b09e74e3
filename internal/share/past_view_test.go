package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// newSettledSim returns a simulation whose nodes hold all slots of 24 runners.
func newSettledSim(nodes int) *sim {
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

// cutOff disconnects nodes from the store.
func cutOff(nodes ...*simNode) {
	for _, n := range nodes {
		n.noStore = true
	}
}

// removeLive removes a live node from the members, as when the host list omits it by mistake.
func (s *sim) removeLive(n *simNode) {
	delete(s.listed, n.id)
	s.removeUnlisted()
}

// Guards against a node that takes a slot while another node may still use it, because the
// holder is unknown to the first node or appears to have departed. Each case fails under
// an earlier or a weakened version of the rules.
func TestPastHoldersKeepSlots(t *testing.T) {
	tests := map[string]func(t *testing.T, s *sim){
		// A node that skips a view must wait for the holders of slots under that view.
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
		// The same applies when a node joined and was removed in the skipped views.
		"unseen member": func(t *testing.T, s *sim) {
			b := s.nodes[1]
			cutOff(b)
			d := s.join(1)
			s.step(t, 100*time.Millisecond)
			s.step(t, 100*time.Millisecond)
			cutOff(d, s.nodes[0])
			s.removeLive(d)
			s.join(1)
			b.noStore = false
			for range 5 {
				s.step(t, 100*time.Millisecond)
			}
		},
		// A removed node that still finds a majority of the old view stays active.
		"majority of the old view": func(t *testing.T, s *sim) {
			cutOff(s.nodes[0], s.nodes[1], s.nodes[2])
			s.removeLive(s.nodes[0])
			for _, a := range s.nodes[:3] {
				for _, b := range s.nodes[3:] {
					s.cut[[2]model.NodeID{b.id, a.id}] = true
				}
			}
			for range 30 {
				s.step(t, 500*time.Millisecond)
			}
		},
		// A peer's acknowledgement of earlier departures does not cover a later one.
		"later departure": func(t *testing.T, s *sim) {
			c := s.nodes[2]
			cutOff(c)
			s.join(1)
			s.step(t, 100*time.Millisecond)
			s.step(t, 100*time.Millisecond)
			s.removeLive(c)
			for range 5 {
				s.step(t, 100*time.Millisecond)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(t, newSettledSim(5)) })
	}
}

// Guards against an uneven assignment of slots. With up to 8 nodes, every node has a slot at
// every runner; from 9 nodes on, each node lacks a slot at some runners.
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
