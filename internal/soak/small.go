package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of hosts in a run with small hosts, beside largeHostCPU. No node gets more than its settings say.
const (
	narrowHostCPU = 0.19
	largeMbps     = 200.0 // bandwidth of the link
	smallMbps     = 10.0
	bytesPerMbit  = 1e6 / 8
	// longText is the length of the text of a job: the tables of 3,000 jobs take some seconds of a narrow
	// link, as in incident 0034.
	longText = 1000
)

// largeHosts returns the number of large hosts, which are the first nodes, of a run that aims at
// leaders.
func largeHosts(o Options) int {
	if o.Small > 0 {
		return o.Nodes - o.Small
	}
	return max(minLargeHosts, int(largeHostShare*float64(o.Nodes)))
}

// Times of a schedule with small hosts.
const (
	// maxLossStep bounds the time between the losses of two large hosts, minSeriesStep is the least.
	maxLossStep = 6 * time.Second
	// maxUntilKill bounds the time from the last loss until all processes are killed: the small host's
	// first term may have read its tables by then.
	maxUntilKill           = 6 * time.Second
	minPowerOff            = time.Second
	maxPowerOff            = 3 * time.Second
	minSmallLead           = calmBefore + maxWithoutRun + judgedTime // time in which small hosts lead, without further faults
	maxSmallLead           = minSmallLead + 4*time.Second
	maxReturnStep          = 3 * time.Second
	powerLossShare float64 = 0.5
)

// SmallSchedule returns the faults of a seed in a run with small hosts, in order of their start: the
// large hosts are lost one after the other, the last one beside workers, then power is lost at all nodes
// in some seeds, and the large hosts return. It is deterministic.
func SmallSchedule(seed uint64, large, workers int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 18))
	var faults []Fault
	for at := firstSeries; at < length; {
		losses := make([]Fault, large)
		for i := range losses {
			losses[i] = Fault{At: at, Kind: LoseLarge}
			at += drawDuration(random, minSeriesStep, maxLossStep)
		}
		var power []Fault
		if random.Float64() < powerLossShare || large == 0 {
			power = []Fault{{At: at + drawDuration(random, 0, maxUntilKill), Kind: PowerLoss, Duration: drawDuration(random, minPowerOff, maxPowerOff)}}
			at = power[0].At + power[0].Duration
		}
		at += drawDuration(random, minSmallLead, maxSmallLead)
		for i := range losses {
			losses[i].Duration = at - losses[i].At
			at += drawDuration(random, 0, maxReturnStep)
			if i == large-1 {
				group := drawGroup(random, workers)
				losses[i].Workers = group[:min(len(group), maxLostWorkers)]
			}
		}
		faults = append(append(faults, losses...), power...)
		at += drawDuration(random, minSeriesPause, maxSeriesPause)
	}
	return faults
}

// largeTarget returns the large host that is lost next: the leader, or the first one that could take
// the lead; if none is left, the leader.
func (c *cluster) largeTarget(leader int) int {
	if leader < c.large && !c.nodes[leader].lost.Load() {
		return leader
	}
	for i, n := range c.nodes[:c.large] {
		if !n.lost.Load() {
			return i
		}
	}
	return leader
}

// pacer forwards bytes at a limited rate, in the order in which they come.
type pacer struct {
	rate float64 // bytes per second

	mu   sync.Mutex
	free time.Time // when all bytes before are forwarded
}

// wait returns once the bytes are forwarded. A nil pacer forwards at once.
func (p *pacer) wait(bytes int) {
	if p == nil || bytes == 0 {
		return
	}
	p.mu.Lock()
	p.free = latest(p.free, time.Now()).Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// hostLink is the link of a host in both directions, which all its connections share.
type hostLink struct{ out, in *pacer }

func newHostLink(mbps float64) hostLink {
	return hostLink{&pacer{rate: mbps * bytesPerMbit}, &pacer{rate: mbps * bytesPerMbit}}
}

// narrowLinks gives each node a link of its own. A call between nodes counts on that of the called one.
func (c *cluster) narrowLinks(nodes int) {
	for i := range nodes {
		_, mbps := c.hostSize(i)
		c.hostLinks = append(c.hostLinks, newHostLink(mbps))
	}
	for i, called := range c.hostLinks {
		for _, l := range c.links {
			l.peers[i].link.Store(&hostLink{out: called.in, in: called.out})
		}
	}
	for zone := range min(zones, nodes) {
		c.callWorkersFrom(zone)
	}
}

// callWorkersFrom lets the workers' connections to a data centre share the link of its node that leads,
// as only leaders call workers.
func (c *cluster) callWorkersFrom(node int) {
	for _, p := range c.links[node%zones].workers {
		p.link.Store(&c.hostLinks[node])
	}
}

const (
	// shareInterval is the time between two looks at the processor time of the nodes' processes.
	shareInterval = 2 * time.Millisecond
	// sharePeriod is the period over which a process may use its share at once.
	sharePeriod = 100 * time.Millisecond
)

// budget is the processor time that a process has left.
type budget struct {
	pid  int
	used time.Duration
	left time.Duration
}

// spend takes the time that a process has used since the last call and adds its share of the time that
// has passed. It reports whether the budget is spent.
func (b *budget) spend(pid int, used, passed time.Duration, share float64) bool {
	full := time.Duration(share * float64(sharePeriod))
	if pid != b.pid {
		*b = budget{pid: pid, left: full}
	}
	b.left = min(b.left+time.Duration(share*float64(passed)), full) - (used - b.used)
	b.used = used
	return b.left <= 0
}

// limitShares holds the nodes' processes to their processor shares until ctx ends.
func (c *cluster) limitShares(ctx context.Context) {
	budgets := make([]budget, len(c.nodes))
	for before := time.Now(); sleepUntil(ctx, before.Add(shareInterval)); {
		now := time.Now()
		for i, n := range c.nodes {
			pid, stops := n.process()
			used, ok := processTime(pid)
			if !ok {
				continue
			}
			if spent := budgets[i].spend(pid, used, now.Sub(before), n.share); spent != (stops&stoppedByShare != 0) {
				n.pause(stoppedByShare, spent)
			}
		}
		before = now
	}
}

// process returns the id of the node's process, 0 if it has ended, and why it is stopped.
func (n *node) process() (int, stopReason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return 0, 0
	default:
		return n.cmd.Process.Pid, n.stops
	}
}

// processTime returns the processor time that a process has used; ok is false if it has ended.
func processTime(pid int) (used time.Duration, ok bool) {
	const clockOfProcess = 2 // CPUCLOCK_SCHED of Linux
	var t unix.Timespec
	if pid == 0 || unix.ClockGettime(int32(^pid<<3|clockOfProcess), &t) != nil {
		return 0, false
	}
	return time.Duration(syscall.TimespecToNsec(syscall.Timespec{Sec: t.Sec, Nsec: t.Nsec})), true
}
