// Package share divides the slots and connections of each runner over the nodes,
// so that the sum over all nodes never exceeds what the declaration allows.
package share

import (
	"sync"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Solo gives all slots of every runner to one node. It serves a deployment with a
// single node and tests of other packages.
type Solo struct {
	// Slots returns the slots of each runner of a service.
	Slots func(model.ServiceName) int

	mu   sync.Mutex
	used map[soloKey]int
}

type soloKey struct {
	service model.ServiceName
	runner  model.RunnerID
}

// Acquire takes one slot unless all are in use.
func (s *Solo) Acquire(service model.ServiceName, runner model.RunnerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used == nil {
		s.used = map[soloKey]int{}
	}
	k := soloKey{service, runner}
	if s.used[k] >= s.Slots(service) {
		return false
	}
	s.used[k]++
	return true
}

// Release returns one slot.
func (s *Solo) Release(service model.ServiceName, runner model.RunnerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[soloKey{service, runner}]--
}

// Limit returns the slots of a runner.
func (s *Solo) Limit(service model.ServiceName, _ model.RunnerID) int { return s.Slots(service) }
