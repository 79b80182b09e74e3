package share

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Order returns the N members sorted by hash(runner, node). Slot i of the runner is assigned
// to the member at index i mod N.
//
// With at most as many nodes as slots, every node has a slot at every runner. With more nodes
// (such as 9 nodes at 8 slots), each node has a slot at only slots/N of the runners.
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

// hash returns the hash of a runner and a node. The zero byte separates the two ids.
func hash(runner model.RunnerID, node model.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(runner)) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}

// owner returns the member that slot i is assigned to under order, or "" without members.
func owner(order []model.NodeID, i int) model.NodeID {
	if len(order) == 0 {
		return ""
	}
	return order[i%len(order)]
}

// Connections returns the number of connections to a runner that a node may have open when it
// holds held of the runner's slots.
func Connections(held, slotsPerRunner, connectionsPerRunner int) int {
	if slotsPerRunner <= 0 {
		return 0
	}
	return held * (connectionsPerRunner / slotsPerRunner)
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
