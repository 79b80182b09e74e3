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
	// defaultQueueLimit and defaultRetryPercent apply when the declaration sets no values.
	defaultQueueLimit   = 128
	defaultRetryPercent = 10
	// limitsInterval is the longest time until a change of shares is noticed.
	limitsInterval = 100 * time.Millisecond
	// updateInterval is the longest time until the expiry of a leaving mark is noticed.
	updateInterval = time.Second
)

// pool is the admission state of one service with its lock and the inputs it depends on.
type pool struct {
	chain *Chain
	mu    sync.Mutex
	admission

	// hosts, hostsLen, view and leavingVersion identify the inputs of the last update.
	hosts          *external.Host
	hostsLen       int
	view           *control.View
	leavingVersion uint64
	limitsAt       time.Time
	updatedAt      time.Time
}

// pool returns the pool of svc and creates it on first use.
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
		service:            svc.Name,
		router:             routing.NewPool(balancer(), routing.OutlierConfig{}, c.deps.Seed),
		queue:              newQueue(),
		budget:             routing.NewBudget(defaultRetryPercent),
		shares:             c.deps.Shares,
		callerSharePercent: c.cfg.PerCallerShare,
	}}
	actual, _ := c.pools.LoadOrStore(svc.Name, p)
	if q, ok := actual.(*pool); ok {
		return q
	}
	return p
}

// refresh applies changed hosts, declaration, leaving marks and shares.
func (p *pool) refresh(now time.Time) {
	hosts, view, leavingVersion := p.chain.deps.Hosts(), p.chain.deps.View(), p.chain.leaving.version()
	changed := p.hostsChanged(hosts) || view != p.view || leavingVersion != p.leavingVersion || now.Sub(p.updatedAt) >= updateInterval
	if changed {
		p.updatedAt = now
		if p.hostsChanged(hosts) {
			p.chain.closeUnlistedRunners(hosts)
		}
		p.applyInputs(hosts, view, leavingVersion)
		p.chain.leaving.observe(now, hosts)
		p.router.Update(p.targets(now, hosts, view))
	}
	if changed || now.Sub(p.limitsAt) >= limitsInterval {
		p.limitsAt = now
		p.router.SetLimits(func(id model.RunnerID) int { return p.shares.Limit(p.service, id) })
	}
	if changed {
		p.shedIfNoRunners()
	}
}

// hostsChanged reports whether hosts is a different list from that of the last update.
func (p *pool) hostsChanged(hosts []external.Host) bool {
	if len(hosts) == 0 {
		return p.hostsLen != 0 || p.hosts != nil
	}
	return p.hostsLen != len(hosts) || p.hosts != &hosts[0]
}

// applyInputs stores the inputs of an update and sets the queue limit and retry budget from
// the declaration.
func (p *pool) applyInputs(hosts []external.Host, view *control.View, leavingVersion uint64) {
	p.hosts, p.hostsLen, p.view, p.leavingVersion = nil, len(hosts), view, leavingVersion
	if len(hosts) > 0 {
		p.hosts = &hosts[0]
	}
	p.queueLimit = defaultQueueLimit
	percent := defaultRetryPercent
	if svc := declaredService(view, p.service); svc != nil {
		if svc.QueueLimit > 0 {
			p.queueLimit = svc.QueueLimit
		}
		if svc.RetryBudgetPercent != nil {
			percent = *svc.RetryBudgetPercent
		}
	}
	p.budget.SetPercent(percent)
}

// declaredService returns the service in v, or nil.
func declaredService(v *control.View, name model.ServiceName) *declaration.Service {
	if v == nil || v.Declaration == nil {
		return nil
	}
	return serviceOf(v, name)
}

// targets returns the runners of the service, with those marked as leaving.
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
	return p.router.Serving() > 0
}

// closeUnlistedRunners closes connections to runners that the host list no longer contains.
func (c *Chain) closeUnlistedRunners(hosts []external.Host) {
	listed := make(map[model.RunnerID]bool, len(hosts))
	for _, h := range hosts {
		listed[model.RunnerID(h.ID)] = true
	}
	c.up.closeUnlisted(func(id model.RunnerID) bool { return listed[id] })
}
