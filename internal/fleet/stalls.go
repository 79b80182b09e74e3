package fleet

import "time"

// Times without a sign of progress after which a run counts as hung.
const (
	// hungTimeout is the least such time of a run that uses no processor time. Progress is
	// reported once a second, and a run that resumes from a checkpoint makes none for some hundred
	// milliseconds.
	hungTimeout = 1500 * time.Millisecond
	// maxHungTimeout is the longest such time of a run that uses no processor time.
	maxHungTimeout = 10 * time.Second
	// busyHungTimeout is the least such time of a run that uses processor time.
	busyHungTimeout = 5 * time.Second
	// shownPercents is the number of percents, at the rate that the run has shown, in whose time a
	// run that uses processor time must make progress.
	shownPercents = 4
	// estimatedPercents is the same for a run that has shown no rate yet, at the rate that the
	// estimate of its duration implies. Estimates may be several times too short.
	estimatedPercents = 10
	// maxBusyStalls bounds task.busyStalls.
	maxBusyStalls = 8
)

// observeProgress applies the progress and the processor use in a report. Progress is a whole
// percent; a new checkpoint is a sign of progress too.
func (r *run) observeProgress(s RunStatus, now time.Time) {
	if r.reading = s.Reading; s.Reading > 0 {
		r.busyAt, r.busyFrom = now, r.paceClock.latest(now)
	}
	saved := s.Checkpoint != "" && s.Checkpoint != r.checkpoint
	if saved {
		r.checkpoint = s.Checkpoint
	}
	if saved || s.Percent != r.percent || r.progressAt.IsZero() {
		r.progressAt, r.paceRepeated, r.stillFrom = now, false, r.paceClock.latest(now)
	}
	if s.Percent == r.percent {
		return
	}
	// The first report shows where the run has resumed, the first change the rest of a percent.
	if gained := s.Percent - r.percent; gained > 0 && !r.percentAt.IsZero() {
		r.percentTime = max(r.percentTime, now.Sub(r.percentAt)/time.Duration(gained))
	}
	if r.listed {
		r.percentAt = now
	}
	r.percent = s.Percent
}

// percentTime returns how long a run takes for one percent of its progress: the longest time that
// it has shown, at whatever pace, or, before that, what the estimate of its duration implies.
func (t *term) percentTime(r *run) (d time.Duration, shown bool) {
	if r.percentTime > 0 {
		return r.percentTime, true
	}
	return t.expectedRunTime(r.job, r.step) / 100, false
}

// stillTime returns how long the run had shown no progress at the worker's last answered poll, and
// no processor use either. The time of a filler is that of its pace clock.
func (r *run) stillTime(w *worker) (still, idle time.Duration) {
	if r.step.Filler {
		read := r.paceClock.earliest(w.lastPollSent)
		return read - r.stillFrom, read - max(r.stillFrom, r.busyFrom)
	}
	still = w.lastPollSent.Sub(r.progressAt)
	return still, min(still, w.lastPollSent.Sub(r.busyAt))
}

// showsNoUse reports whether a report may show no processor use although the run works.
func (r *run) showsNoUse() bool {
	if r.step.Filler {
		return r.step.Needs.MilliCPU*int64(r.paceClock.pace) < 100
	}
	return r.step.Needs.MilliCPU == 0
}

// isStalled reports whether a run without progress counts as hung at the worker's last answered
// poll.
func (t *term) isStalled(w *worker, r *run) bool {
	percentTime, shown := t.percentTime(r)
	still, idle := r.stillTime(w)
	slow := 3*percentTime > hungTimeout
	if r.reading > 0 || slow && r.showsNoUse() {
		return still > t.busyStallTimeout(r, percentTime, shown)
	}
	if !slow {
		return still > hungTimeout
	}
	// A percent takes so long that only lasting idleness tells a run that hangs.
	return idle > min(max(percentTime, hungTimeout), maxHungTimeout)
}

// busyStallTimeout returns the time without progress after which a run that uses processor time
// counts as hung. It doubles with each run of the task that was stopped for that, so that a task
// whose estimate is far too short completes.
func (t *term) busyStallTimeout(r *run, percentTime time.Duration, shown bool) time.Duration {
	limit := estimatedPercents * percentTime
	if shown {
		limit = shownPercents * percentTime
	}
	limit = max(limit, busyHungTimeout)
	if _, tk := r.job.task(r.key); tk != nil {
		limit <<= tk.busyStalls
	}
	return limit
}
