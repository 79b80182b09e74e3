package main

import (
	"sort"
	"time"
)

// span is one run of a task on one life of a runner, as the runner saw it.
type span struct {
	worker     string
	born       int64
	attempt    int
	start, end time.Time
	how        string // empty while it runs
	acked      bool   // the end was taken note of
	lapsed     bool   // the runner's lease lapsed after the end, before that
}

// spans derives the runs of all tasks from the events.
func spans(events []event) map[string][]*span {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	byTask := map[string][]*span{}
	type runKey struct {
		worker  string
		task    string
		attempt int
	}
	type endKey struct {
		worker string
		born   int64
	}
	open, ends := map[runKey]*span{}, map[endKey]map[uint64]*span{}
	for _, e := range events {
		at, key, life := time.Unix(0, e.At), runKey{e.Worker, e.Task, e.Attempt}, endKey{e.Worker, e.Born}
		switch e.Kind {
		case "start":
			r := &span{worker: e.Worker, born: e.Born, attempt: e.Attempt, start: at}
			open[key] = r
			byTask[e.Task] = append(byTask[e.Task], r)
		case "end":
			if r := open[key]; r != nil {
				r.end, r.how = at, e.How
				delete(open, key)
				if ends[life] == nil {
					ends[life] = map[uint64]*span{}
				}
				ends[life][e.Number] = r
			}
		case "ack":
			for n, r := range ends[life] {
				if n <= e.Number && !r.lapsed {
					r.acked = true // for good
				}
			}
		case "lapse":
			for _, r := range ends[life] {
				r.lapsed = r.lapsed || !r.acked
			}
		case "killed":
			for k, r := range open {
				if k.worker == e.Worker {
					r.end, r.how = at, "gone"
					delete(open, k)
				}
			}
		}
	}
	return byTask
}

// least is the least overlap of two runs that counts here; the rule sets none.
const least = 100 * time.Millisecond

// checkTwice checks the rule TWICE and records what breaks it.
func (s *site) checkTwice() (broken bool) {
	now, count := time.Now(), 0
	for task, runs := range spans(s.allEvents()) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				endA, endB := a.end, b.end
				if a.how == "" {
					endA = now
				}
				if b.how == "" {
					endB = now
				}
				from, until := b.start, endA
				if endB.Before(until) {
					until = endB
				}
				why := ""
				switch {
				case until.Sub(from) >= least:
					why = "two runs at the same time"
				case a.how == "done" && a.acked && b.start.After(a.end):
					why = "started after a run had ended done, and that end is taken note of"
				default:
					continue
				}
				count++
				if count <= 10 {
					s.record("TWICE: task %s: %s: run %d on %s born %d from %.3f to %.3f %s; run %d on %s born %d from %.3f to %.3f %s", task, why,
						a.attempt, a.worker, a.born, a.start.Sub(s.started).Seconds(), endA.Sub(s.started).Seconds(), a.how,
						b.attempt, b.worker, b.born, b.start.Sub(s.started).Seconds(), endB.Sub(s.started).Seconds(), b.how)
				}
			}
		}
	}
	if count > 0 {
		s.record("TWICE: %d pairs of runs in all", count)
	}
	return count > 0
}

// failedEnds counts the ends "failed" of the tasks of a submission, the most of one task.
func (s *site) failedEnds(id string) int {
	most := 0
	for task, runs := range spans(s.allEvents()) {
		n := 0
		for _, r := range runs {
			if r.how == "failed" && len(task) > len(id) && task[:len(id)] == id {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// crashesUnder counts the runs of a submission's tasks that ended with a crash of their runner, the
// most of one task.
func (s *site) crashesUnder(id string) int {
	most := 0
	for task, runs := range spans(s.allEvents()) {
		n := 0
		for _, r := range runs {
			if r.how == "gone" && task[:min(len(id), len(task))] == id {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// idle reports whether no runner has run anything for a time.
func (s *site) idle(d time.Duration) bool {
	for _, runs := range spans(s.allEvents()) {
		for _, r := range runs {
			if r.how == "" || time.Since(r.end) < d {
				return false
			}
		}
	}
	return true
}

// runningTask returns the runner on which a task of the submission runs, and since when.
func (s *site) runningTask(id string) (worker string, since time.Time, ok bool) {
	for task, runs := range spans(s.allEvents()) {
		for _, r := range runs {
			if task[:min(len(id), len(task))] == id && r.how == "" {
				return r.worker, r.start, true
			}
		}
	}
	return "", time.Time{}, false
}
