package request

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// maxSlowReports limits the runners reported for each service, so that the summary fits into a
// gossip digest.
const maxSlowReports = 4

// Load summarises this node's use of its slots.
type Load struct {
	Services map[model.ServiceName]ServiceLoad `json:"services,omitempty"`
}

// ServiceLoad is a node's use of its slots of one service.
type ServiceLoad struct {
	// Used is the number of slots in use, Free the number of unused slots, and Waiting the
	// number of queued requests.
	Used    int `json:"used"`
	Free    int `json:"free"`
	Waiting int `json:"waiting,omitempty"`
	// Slow lists up to maxSlowReports runners that this node has backed off from.
	Slow []routing.PeerReport `json:"slow,omitempty"`
}

// Load returns the current summary for the gossip digest.
func (c *Chain) Load() Load {
	l := Load{Services: map[model.ServiceName]ServiceLoad{}}
	c.pools.Range(func(_, v any) bool {
		if p, ok := v.(*pool); ok {
			l.Services[p.service] = p.load()
		}
		return true
	})
	return l
}

// load returns the summary of one service.
func (p *pool) load() ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, busy := p.router.Slots()
	s := ServiceLoad{Used: busy, Free: max(0, usable-busy), Waiting: p.queue.len()}
	for _, r := range p.router.Runners() {
		if !r.BackedOff() || len(s.Slow) == maxSlowReports {
			continue
		}
		mean, _ := r.Latency()
		s.Slow = append(s.Slow, routing.PeerReport{Runner: r.ID, InFlight: r.InFlight(), Mean: mean, BackedOff: true})
	}
	return s
}

// Observe applies a peer's summary that was age old when it arrived.
func (c *Chain) Observe(peer model.NodeID, age time.Duration, l Load) {
	now := c.deps.Clock()
	for name, s := range l.Services {
		v, _ := c.pools.Load(name)
		p, ok := v.(*pool)
		if !ok {
			continue
		}
		p.mu.Lock()
		p.router.Report(peer, now, age, s.Slow)
		p.mu.Unlock()
	}
}
