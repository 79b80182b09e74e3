package fleet

import "time"

// paceDelay is how long after an answered pace order the run works at its new pace.
const paceDelay = 100 * time.Millisecond

// paceClock measures the time of a run as time at full pace. It goes at the least pace that the run
// may have: from a reading of latest to a later one of earliest the run had at least that time.
type paceClock struct {
	elapsed time.Duration // at since
	since   time.Time
	pace    int // from since on, in percent
}

// earliest returns the least that the clock may show at x. Before since it may have run at full pace.
func (c *paceClock) earliest(x time.Time) time.Duration {
	d := x.Sub(c.since)
	if d < 0 {
		return max(c.elapsed+d, 0)
	}
	return c.elapsed + d*time.Duration(c.pace)/100
}

// latest returns the most that the clock may show at x.
func (c *paceClock) latest(x time.Time) time.Duration {
	if x.Before(c.since) {
		x = c.since
	}
	return c.earliest(x)
}

// order records that an order for a pace is sent: it may be carried out now, later or never.
func (c *paceClock) order(percent int, now time.Time) { c.set(min(c.pace, percent), now) }

// answer records that an order for a pace was carried out.
func (c *paceClock) answer(percent int, now time.Time) { c.set(percent, now.Add(paceDelay)) }

// set changes the pace from x on.
func (c *paceClock) set(percent int, x time.Time) {
	c.elapsed, c.since, c.pace = c.earliest(x), x, percent
}
