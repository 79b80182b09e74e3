package fleet

import (
	"sync"
	"time"
)

// A leader's calls to its workers share the processor of its host with its renewals. Some hundred that are
// begun at the same time, as when a new term looks at all workers, take a small host seconds: renewals wait
// behind them until another node takes the lead, and the calls time out and are repeated. So a term begins
// only as many calls as its host carries out in maxCallDelay, and the next as these are answered.

const (
	// maxCallDelay bounds the processor time of the calls under way, and by that how long a renewal waits
	// behind them. It is well below the timeout of a renewal.
	maxCallDelay = 100 * time.Millisecond
	// callCost is the processor time of a call on a new connection, see docs/CAPACITY.md.
	callCost = 900 * time.Microsecond
	// minCallSlots is the least number of calls under way.
	minCallSlots = 16
	// plannedSlots times the slots is how many starts one plan may decide, so that they last until the next plan.
	plannedSlots = 4
	// pollCost is the processor time of a poll on an open connection, with what follows from it.
	pollCost = 400 * time.Microsecond
	// pollShare is the share of the host's processor that polls may take while starts wait for it.
	pollShare = 0.3
	// shortPatience is how long starts must have waited for calls before polls give way to them.
	shortPatience = maxCallDelay
	// maxPollPause bounds the pause between two polls of a worker, so that its leases are extended in time.
	maxPollPause = 1200 * time.Millisecond
	// maxWorkShare is the share of the loop's time that plans take at most, and also the regular checks of runs,
	// and maxWorkPause bounds the pause after them.
	maxWorkShare = 0.3
	maxWorkPause = 100 * time.Millisecond
)

// callSlots bounds the calls to workers that are under way by the processor share of the host. A call that has no
// answer for long gives its slot back: it waits for its worker, which takes no processor time here.
type callSlots struct {
	limit int // 0 for no bound
	mu    sync.Mutex
	last  uint64
	open  map[uint64]struct{}
	begun []begunCall // in the order of their begin, with calls that have ended
}

type begunCall struct {
	slot uint64
	at   time.Time
}

// newCallSlots returns the slots of a host with a processor share in thousandths of a core, 0 if unknown.
func newCallSlots(milliCPU int64) *callSlots {
	s := &callSlots{open: map[uint64]struct{}{}}
	if milliCPU > 0 {
		s.limit = max(int(maxCallDelay*time.Duration(milliCPU)/1000/callCost), minCallSlots)
	}
	return s
}

// begin takes a slot for a call, also where none is free: what must be in time does not wait.
func (s *callSlots) begin(now time.Time) uint64 {
	if s.limit == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.open[s.last] = struct{}{}
	s.begun = append(s.begun, begunCall{s.last, now})
	return s.last
}

// end frees the slot of a call; 0 stands for none.
func (s *callSlots) end(slot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, slot)
}

// free returns the number of calls that may begin now, at most most. Calls that began hold ago or earlier have no
// slot any more.
func (s *callSlots) free(now time.Time, hold time.Duration, most int) int {
	if s.limit == 0 {
		return most
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.begun) && now.Sub(s.begun[n].at) >= hold {
		delete(s.open, s.begun[n].slot)
		n++
	}
	s.begun = s.begun[n:]
	return min(max(s.limit-len(s.open), 0), most)
}

// planned returns how many calls a plan may decide on, at most most.
func (s *callSlots) planned(most int) int {
	if s.limit == 0 {
		return most
	}
	return min(plannedSlots*s.limit, most)
}

// freeCalls returns the number of orders that may begin now, at most most. Where answers take long in general, the
// host is behind, and an order without an answer still waits for its processor.
func (t *term) freeCalls(most int) int {
	return t.callSlots.free(t.now, max(maxCallDelay, min(2*t.answerTimeout.typical, answerTimeoutMin)), most)
}

// freePolls returns the number of polls that may begin now, at most most. While the term reads its tables, half of
// the slots are for these reads.
func (t *term) freePolls(most int) int {
	free := t.pollSlots.free(t.now, maxCallDelay, most)
	if half := t.pollSlots.limit / 2; !t.loaded && half > 0 {
		free = min(free, max(t.pollSlots.free(t.now, maxCallDelay, t.pollSlots.limit)-half, 0))
	}
	return free
}

// pollPause returns the least pause before the next poll of a worker that has answered. While starts wait for the
// host's processor, the ends of runs are heard later and several at a time.
func (t *term) pollPause() time.Duration {
	if t.shortSince.IsZero() || t.now.Sub(t.shortSince) < shortPatience || t.cfg.Limits.MilliCPU == 0 {
		return 0
	}
	all := time.Duration(len(t.workers)) * pollCost * 1000 / time.Duration(t.cfg.Limits.MilliCPU)
	return min(time.Duration(float64(all)/pollShare), maxPollPause)
}

// workPause returns the pause after repeated work of the loop that took some time, so that it leaves time
// for events.
func workPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)*(1-maxWorkShare)/maxWorkShare), maxWorkPause)
}
