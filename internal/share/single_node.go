// Package share divides the slots and connections of each runner among the nodes, so that the
// sum over all nodes never exceeds the limits in the declaration.
package share

import (
	"sync"

	"github.com/vanillapier/vanillapier/internal/model"
)

// SingleNode gives all slots of every runner to one node. It is used by deployments with a
// single node and by tests of other packages.
type SingleNode struct {
	// Slots returns the number of slots of each runner of a service.
	Slots func(model.ServiceName) int

	mu   sync.Mutex
	used map[runnerKey]int
}

type runnerKey struct {
	service model.ServiceName
	runner  model.RunnerID
}

// Acquire takes one slot. It returns false if all are in use.
func (s *SingleNode) Acquire(service model.ServiceName, runner model.RunnerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used == nil {
		s.used = map[runnerKey]int{}
	}
	k := runnerKey{service, runner}
	if s.used[k] >= s.Slots(service) {
		return false
	}
	s.used[k]++
	return true
}

// Release returns one slot.
func (s *SingleNode) Release(service model.ServiceName, runner model.RunnerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[runnerKey{service, runner}]--
}

// Limit returns the number of slots of a runner.
func (s *SingleNode) Limit(service model.ServiceName, _ model.RunnerID) int { return s.Slots(service) }
