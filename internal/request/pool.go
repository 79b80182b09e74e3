package request

import (
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

const (
	// defaultQueueLimit and defaultRetryPercent apply when the declaration states nothing.
	defaultQueueLimit   = 128
	defaultRetryPercent = 10
	// limitsEvery bounds how long a change of shares goes unnoticed.
	limitsEvery = 100 * time.Millisecond
	// updateEvery bounds how long the end of a leaving sign goes unnoticed.
	updateEvery = time.Second
)

// pool is the admission state of one service with its lock and its inputs.
type pool struct {
	chain *Chain
	mu    sync.Mutex
	admission

	// hosts, view and marks identify the inputs of the last update.
	hosts     *external.Host
	hostsLen  int
	view      *control.View
	marks     uint64
	limitsAt  time.Time
	updatedAt time.Time
}

// pool returns the pool of svc, which is created on first use.
func (c *Chain) pool(svc *declaration.Service) *pool {
	if p, ok := c.pools.Load(svc.Name); ok {
		if q, ok := p.(*pool); ok {
			return q
		}
	}
	balancer := c.cfg.Balancer
	if balancer == nil {
		balancer = func() routing.Balancer { return routing.LeastExpected{} }
	}
	p := &pool{chain: c, admission: admission{
		service:     svc.Name,
		route:       routing.NewPool(balancer(), routing.OutlierConfig{}, c.deps.Seed),
		queue:       newQueue(),
		budget:      routing.NewBudget(defaultRetryPercent),
		shares:      c.deps.Shares,
		callerShare: c.cfg.PerCallerShare,
	}}
	actual, _ := c.pools.LoadOrStore(svc.Name, p)
	if q, ok := actual.(*pool); ok {
		return q
	}
	return p
}

// refresh takes over changed hosts, declaration, leaving marks and shares.
func (p *pool) refresh(now time.Time) {
	hosts, view, marks := p.chain.deps.Hosts(), p.chain.deps.View(), p.chain.leaving.version()
	changed := p.differs(hosts) || view != p.view || marks != p.marks || now.Sub(p.updatedAt) >= updateEvery
	if changed {
		p.updatedAt = now
		if p.differs(hosts) {
			p.chain.forgetRunners(hosts)
		}
		p.remember(hosts, view, marks)
		p.chain.leaving.observe(now, hosts)
		p.route.Update(p.targets(now, hosts, view))
	}
	if changed || now.Sub(p.limitsAt) >= limitsEvery {
		p.limitsAt = now
		p.route.SetLimits(func(id model.RunnerID) int { return p.shares.Limit(p.service, id) })
	}
	if changed {
		p.shed()
	}
}

// differs reports whether hosts is another list than the last one seen.
func (p *pool) differs(hosts []external.Host) bool {
	if len(hosts) == 0 {
		return p.hostsLen != 0 || p.hosts != nil
	}
	return p.hostsLen != len(hosts) || p.hosts != &hosts[0]
}

// remember notes the inputs of an update.
func (p *pool) remember(hosts []external.Host, view *control.View, marks uint64) {
	p.hosts, p.hostsLen, p.view, p.marks = nil, len(hosts), view, marks
	if len(hosts) > 0 {
		p.hosts = &hosts[0]
	}
	p.queueLimit = defaultQueueLimit
	percent := defaultRetryPercent
	if svc := declared(view, p.service); svc != nil {
		if svc.QueueLimit > 0 {
			p.queueLimit = svc.QueueLimit
		}
		if svc.RetryBudgetPercent != nil {
			percent = *svc.RetryBudgetPercent
		}
	}
	p.budget.SetPercent(percent)
}

// declared returns the service in v, or nil.
func declared(v *control.View, name model.ServiceName) *declaration.Service {
	if v == nil || v.Declaration == nil {
		return nil
	}
	return serviceOf(v, name)
}

// targets lists the runners of the service with the leaving signs applied.
func (p *pool) targets(now time.Time, hosts []external.Host, view *control.View) []routing.Target {
	var targets []routing.Target
	for _, h := range hosts {
		if h.Role != external.RoleRunner || h.Service != p.service {
			continue
		}
		out := view != nil && view.IsOut(h.DataCentre)
		marked := p.chain.leaving.marked(now, h.ID)
		targets = append(targets, routing.Target{
			ID: model.RunnerID(h.ID), Addr: h.Addr, DataCentre: h.DataCentre,
			Leaving: h.State == external.HostLeaving || out || marked,
		})
	}
	return targets
}

// usable reports whether any runner of the service takes requests.
func (p *pool) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(p.chain.deps.Clock())
	return p.route.Serving() > 0
}

// forgetRunners closes connections to runners that the host list no longer contains.
func (c *Chain) forgetRunners(hosts []external.Host) {
	listed := make(map[model.RunnerID]bool, len(hosts))
	for _, h := range hosts {
		listed[model.RunnerID(h.ID)] = true
	}
	c.up.forget(func(id model.RunnerID) bool { return listed[id] })
}
