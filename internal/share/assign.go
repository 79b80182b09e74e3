package share

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Order returns members sorted by hash(runner, node). Slot i of the runner belongs
// to Order[i mod N].
//
// With at most as many nodes as slots, every node has a slot at every runner.
// From one node more (9 nodes at 8 slots) the subsets are partial: a node has a
// slot at slots/N of the runners.
func Order(runner model.RunnerID, members []model.NodeID) []model.NodeID {
	type ranked struct {
		node model.NodeID
		hash uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{m, hash(runner, m)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.node), string(b.node))
	})
	order := make([]model.NodeID, len(list))
	for i, r := range list {
		order[i] = r.node
	}
	return order
}

// hash combines a runner and a node; the zero byte keeps pairs distinct.
func hash(runner model.RunnerID, node model.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(runner)) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}

// owner returns the owner of slot i under an order; empty without members.
func owner(order []model.NodeID, i int) model.NodeID {
	if len(order) == 0 {
		return ""
	}
	return order[i%len(order)]
}

// Connections returns the connections that a node with held of a runner's slots
// may have open to it.
func Connections(held, slotsPerRunner, connectionsPerRunner int) int {
	if slotsPerRunner <= 0 {
		return 0
	}
	return held * (connectionsPerRunner / slotsPerRunner)
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
