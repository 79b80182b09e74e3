package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

const (
	// leadInterval is the time between two looks at the leader's renewals. It is shorter than the time
	// that a new leader needs to read its tables, after which it calls workers.
	leadInterval = 20 * time.Millisecond
	// maxSilence is the longest time without a renewal after which a leader is replaced, by the design.
	maxSilence = 2150 * time.Millisecond
)

// Lead tells how a run with small hosts was led.
type Lead struct {
	// Terms is the number of terms that began, SmallTerms of those of small hosts.
	Terms      int `json:"terms"`
	SmallTerms int `json:"small_terms"`
	// Silence is the longest time between two renewals, Calm the longest part of one without impairment.
	Silence time.Duration `json:"silence"`
	Calm    time.Duration `json:"calm"`
	// Return is the longest time from the return of the first large host until a large host led.
	Return     time.Duration `json:"return"`
	LargeAtEnd bool          `json:"large_at_end"`
}

// leadWatch records the renewals of leaders.
type leadWatch struct {
	mu       sync.Mutex
	version  uint64
	renewed  time.Time
	silences []fleettest.Span
	returned time.Time // when a large host returned while none led; else zero
	toReturn time.Duration
}

// hostReturns records that a large host returns.
func (l *leadWatch) hostReturns(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.returned.IsZero() {
		l.returned = now
	}
}

// observe records the newest renewal and whether it is of a large host.
func (l *leadWatch) observe(version uint64, large bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.version {
		if l.version != 0 {
			l.silences = append(l.silences, fleettest.Span{From: l.renewed, To: now})
		}
		l.version, l.renewed = version, now
	}
	if large && !l.returned.IsZero() {
		l.toReturn, l.returned = max(l.toReturn, now.Sub(l.returned)), time.Time{}
	}
}

// watchLead observes the renewals of leaders until ctx ends.
func (c *cluster) watchLead(ctx context.Context) {
	last := -1
	for sleepUntil(ctx, time.Now().Add(leadInterval)) {
		now := time.Now()
		node, version := c.newestRenewal()
		if node < 0 {
			continue
		}
		if node != last {
			c.callWorkersFrom(node)
		}
		last = node
		c.lead.observe(version, node < c.large, now)
	}
}

// longest returns the longest of the spans, and the longest part of one in which all was calm.
func longest(spans, calm []fleettest.Span) (length, calmPart time.Duration) {
	for _, s := range spans {
		length = max(length, s.To.Sub(s.From))
		for _, c := range calm {
			calmPart = max(calmPart, earliest(s.To, c.To).Sub(latest(s.From, c.From)))
		}
	}
	return length, calmPart
}

// termBegin is the begin of a term by the log of its node.
type termBegin struct {
	Time           time.Time
	Term           uint64
	FormerLeader   string `json:"former_leader"`
	FormerReleased bool   `json:"former_released"`
	node           int
}

// termBegins returns the terms that began.
func (c *cluster) termBegins() ([]termBegin, error) {
	var begins []termBegin
	err := c.logLines(`"term begins"`, func(node int, line []byte) {
		b := termBegin{node: node}
		if json.Unmarshal(line, &b) == nil {
			begins = append(begins, b)
		}
	})
	return begins, err
}

// replacedInCalm reports whether a term replaced one that was not released, though the silence of its
// leader and the contract's time before it were without impairment.
func (b termBegin) replacedInCalm(calm []fleettest.Span) bool {
	for _, s := range calm {
		if b.FormerLeader != "" && !b.FormerReleased && !b.Time.After(s.To) && b.Time.Sub(s.From) > calmBefore+maxSilence {
			return true
		}
	}
	return false
}

// checkLead waits until a large host leads, for as long as the contract allows for recovery, and judges
// how the run was led.
func (c *callers) checkLead(ctx context.Context) (*Lead, error) {
	deadline := c.cluster.conditions.lastImpairment().Add(recoveryLimit)
	leader := c.cluster.leader()
	for leader >= c.cluster.large && time.Now().Before(deadline) && sleepUntil(ctx, time.Now().Add(pollInterval)) {
		leader = c.cluster.leader()
	}
	lead := &Lead{LargeAtEnd: leader < c.cluster.large}
	if !lead.LargeAtEnd && c.cluster.large > 0 {
		c.addViolation("LEAD: node-%d, a small host, leads %v after the last fault, though large hosts are up", leader, recoveryLimit)
	}
	calm := c.cluster.conditions.calm(fleettest.Span{From: c.startTime, To: time.Now()})
	begins, err := c.cluster.termBegins()
	for _, b := range begins {
		lead.Terms++
		if b.node >= c.cluster.large {
			lead.SmallTerms++
		}
		if b.replacedInCalm(calm) {
			c.addViolation("LEAD: node-%d replaced %s with term %d at %.2f s, though nothing had been impaired", b.node, b.FormerLeader, b.Term,
				b.Time.Sub(c.startTime).Seconds())
		}
	}
	watch := &c.cluster.lead
	watch.mu.Lock()
	defer watch.mu.Unlock()
	lead.Silence, lead.Calm = longest(watch.silences, calm)
	lead.Return = watch.toReturn
	return lead, err
}

// String describes the lead on one line of the report.
func (l Lead) String() string {
	return fmt.Sprintf("%d terms began, %d of small hosts; longest time without a renewal %.2f s, without impairment %.2f s; a large host led %.2f s after its return; at the end: %v",
		l.Terms, l.SmallTerms, l.Silence.Seconds(), l.Calm.Seconds(), l.Return.Seconds(), l.LargeAtEnd)
}

// logLines calls a function with the lines of the nodes' logs that contain a mark.
func (c *cluster) logLines(mark string, visit func(node int, line []byte)) error {
	for i, n := range c.nodes {
		data, err := os.ReadFile(n.logFile.Name())
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(bytes.NewReader(data))
		lines.Buffer(nil, len(data)+1)
		for lines.Scan() {
			if bytes.Contains(lines.Bytes(), []byte(mark)) {
				visit(i, lines.Bytes())
			}
		}
	}
	return nil
}
