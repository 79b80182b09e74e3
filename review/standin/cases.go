package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// setUp starts a small deployment.
func (s *site) setUp(runners int, cpu, mem int64, attempts int) error {
	return s.setUpSizes(runners, attempts, func(int) (int64, int64) { return cpu, mem })
}

// setUpSizes starts a small deployment with runners of several sizes.
func (s *site) setUpSizes(runners, attempts int, size func(i int) (cpu, mem int64)) error {
	s.configure(route{attempts})
	if err := s.addRunners(runners, size); err != nil {
		return err
	}
	if err := s.addNodes(3); err != nil {
		return err
	}
	return s.awaitReady()
}

// Case reborn: a runner on which nothing runs crashes and starts again under its id. A submission
// follows before its next heartbeat.
func playReborn(s *site) (bool, error) {
	const (
		rounds  = 6
		runners = 8 // one of them is 0.125 of all; the site file names 0.14
		down    = 1 * time.Second
		// firstBeat is the time from the runner's start to its first entry; a runner writes its
		// entry about every 1.5 s.
		firstBeat = 800 * time.Millisecond
	)
	if err := s.setUp(runners, 16000, 62500, 4); err != nil {
		return false, err
	}
	for round := range rounds {
		time.Sleep(2 * time.Second)
		r := s.runners[round%len(s.runners)]
		if s.trouble {
			s.killRunner(r)
			time.Sleep(down)
			if err := s.startRunner(r, firstBeat); err != nil {
				return false, err
			}
		}
		// Each runner has room for one of these tasks.
		id, err := s.submit(round, job{text: "cpu=9000 mem=1000 work_ms=2500", count: runners - 1, cpu: 9000, mem: 1000, estimate: 2500})
		if err != nil {
			return false, err
		}
		if state, ok := s.await(id, 12*time.Second, "completed"); !ok {
			s.record("submission %s ends up %s", id, state)
		}
	}
	return s.checkTwice(), nil
}

// Case ends: the store turns all calls of the system away for 4.2 s, while more than 500 tasks end
// on one runner.
func playEnds(s *site) (bool, error) {
	const (
		jobs, width = 36, 25
		spacing     = 100 * time.Millisecond
		// before is the time from the first submission to the outage.
		before = 6200 * time.Millisecond
		outage = 4200 * time.Millisecond
	)
	if err := s.setUp(3, 64000, 250000, 4); err != nil {
		return false, err
	}
	begin := time.Now()
	ids := make([]string, jobs)
	errs := make([]error, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * spacing)
			ids[i], errs[i] = s.submit(i, job{text: "cpu=60 mem=100 work_ms=6000 spread_ms=1500", count: width, cpu: 60, mem: 100, estimate: 6500})
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begin.Add(before)))
	if s.trouble {
		s.record("the store answers 503 for %v", outage)
		s.store.setDown(outage)
	}
	time.Sleep(outage)
	for _, id := range ids {
		if state, ok := s.await(id, 20*time.Second, "completed"); !ok {
			s.record("submission %s ends up %s", id, state)
		}
	}
	time.Sleep(time.Second)
	return s.checkTwice(), nil
}

// Case crash: two runners lose power silently, one after the other, while nothing runs on them. The
// starts of a task are sent to each of them while it is already down.
func playCrash(s *site) (bool, error) {
	const (
		maxAttempts = 4
		runners     = 8 // one of them is 0.125 of all; the site file names 0.14
		down        = 2500 * time.Millisecond
		// excused is the number of crashes under a task after which it may be given up.
		excused = 2
	)
	// As in the site file, some runners are 1.5 times as large: the third and the sixth.
	if err := s.setUpSizes(runners, maxAttempts, func(i int) (int64, int64) {
		if i%3 == 2 {
			return 24000, 93700
		}
		return 16000, 62500
	}); err != nil {
		return false, err
	}
	first, second := s.runners[2], s.runners[5]
	// Another submission keeps one of the two large runners busy; which one, its start tells.
	busy, err := s.submit(0, job{text: "cpu=20000 mem=1000 work_ms=2000", count: 1, cpu: 20000, mem: 1000, estimate: 2000})
	if err != nil {
		return false, err
	}
	worker, err := s.awaitRun(busy, 0)
	if err != nil {
		return false, err
	}
	if worker == first.name {
		first, second = second, first
	}
	if s.trouble {
		s.powerOff(first)
	}
	id, err := s.submit(1, job{text: "cpu=20000 mem=1000 work_ms=1500", count: 1, cpu: 20000, mem: 1000, estimate: 1500})
	if err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(down)
		if err := s.powerOn(first); err != nil {
			return false, err
		}
		s.powerOff(second)
		time.Sleep(down)
		if err := s.powerOn(second); err != nil {
			return false, err
		}
	}
	state, _ := s.await(id, 40*time.Second, "completed", "failed", "cancelled")
	failed, crashes := s.failedEnds(id), s.crashesUnder(id)
	s.record("submission %s: state %s, ends failed of one task: %d of max_attempts %d, runners that crashed under one task: %d", id, state, failed, maxAttempts, crashes)
	if state == "failed" && failed < maxAttempts && crashes < excused {
		s.record("LOST: submission %s is shown as failed without cause", id)
		return true, nil
	}
	if state != "completed" {
		return false, fmt.Errorf("submission %s ends up %s", id, state)
	}
	return false, nil
}

// powerOff takes a runner's machine off power: its link falls silent, and its process ends.
func (s *site) powerOff(r *runner) {
	r.link.powerOff()
	s.killRunner(r)
}

// powerOn starts the runner again; it comes back under its id.
func (s *site) powerOn(r *runner) error {
	err := s.startRunner(r, 0)
	r.link.powerOn()
	return err
}

// awaitRun waits until a run of the submission has an age, and returns its runner.
func (s *site) awaitRun(id string, age time.Duration) (string, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if worker, since, ok := s.runningTask(id); ok && time.Since(since) >= age {
			return worker, nil
		}
	}
	return "", fmt.Errorf("nothing of submission %s runs", id)
}

// Case probation: one of 21 submissions can never be done. A run of another one fails by its own
// fault. Then the traffic ends.
func playProbation(s *site) (bool, error) {
	const (
		maxAttempts = 4
		sound       = 19
		spacing     = 100 * time.Millisecond
		// finish is finish_s of the site file, patience the time after it.
		finish   = 14 * time.Second
		patience = 26 * time.Second
	)
	if err := s.setUp(3, 16000, 62500, maxAttempts); err != nil {
		return false, err
	}
	for i := range sound {
		if _, err := s.submit(i, job{text: "cpu=1000 mem=500 work_ms=300", count: 1, cpu: 1000, mem: 500, estimate: 300}); err != nil {
			return false, err
		}
		time.Sleep(spacing)
	}
	id, err := s.submit(2, job{text: "cpu=1000 mem=500 work_ms=2600 fails_once=0.0.0 fail_ms=2600", count: 1, cpu: 1000, mem: 500, estimate: 2600})
	if err != nil {
		return false, err
	}
	time.Sleep(spacing)
	hopeless := ""
	if s.trouble {
		if hopeless, err = s.submit(0, job{text: "cpu=1000 mem=500 work_ms=300 fails=all", count: 6, cpu: 1000, mem: 500, estimate: 300}); err != nil {
			return false, err
		}
		s.record("submission %s can't be done", hopeless)
	}
	s.record("the traffic ends")
	state, _ := s.await(id, finish+patience, "completed", "failed", "cancelled")
	idle := s.idleFor(id)
	s.record("submission %s: state %s, ends failed of one task: %d of max_attempts %d, nothing of it has run for %v", id, state, s.failedEnds(id), maxAttempts, idle.Round(time.Millisecond))
	if hopeless != "" {
		s.record("submission %s, which can't be done: state %s, ends failed of one task: %d of max_attempts %d", hopeless, s.state(0, hopeless), s.failedEnds(hopeless), maxAttempts)
	}
	if state != "completed" && idle > patience && s.idle(patience-finish) {
		s.record("LOST: submission %s has nothing running while a task's turn has come; all runners are idle", id)
		return true, nil
	}
	if state != "completed" {
		return false, fmt.Errorf("submission %s ends up %s", id, state)
	}
	return false, nil
}

// idleFor returns for how long no task of a submission has run.
func (s *site) idleFor(id string) time.Duration {
	var last time.Time
	for task, runs := range spans(s.allEvents()) {
		for _, r := range runs {
			if task[:min(len(id), len(task))] != id {
				continue
			}
			if r.how == "" {
				return 0
			}
			if r.end.After(last) {
				last = r.end
			}
		}
	}
	if last.IsZero() {
		return time.Since(s.started)
	}
	return time.Since(last)
}

// Case upkeep: a machine is due for upkeep while its runner leaves, and the process that orders the
// upkeep is stopped by SIGTERM and started again.
func playUpkeep(s *site) (bool, error) {
	const (
		runners = 16 // one of them is 0.0625 of all; the site file names 0.065
		// leaving is how long the runner serves on after it reports that it drains: drain_ms and
		// less than linger_ms of the site file. term is when the SIGTERM comes in that time.
		leaving = 8 * time.Second
		term    = 5500 * time.Millisecond
	)
	v, err := newInventory(s)
	if err != nil {
		return false, err
	}
	s.inventory = v
	if err := s.setUp(runners, 16000, 62500, 4); err != nil {
		return false, err
	}
	for i, r := range s.runners {
		v.add("m-"+r.name, r.name, zone(i))
	}
	r := s.runners[0]
	machine := "m-" + r.name
	s.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": []string{machine, "m-" + s.runners[1].name}, "ramp_s": 20.0, "cap": 1})
	v.leave(machine)
	if _, err := r.signal(syscall.SIGUSR1); err != nil {
		return false, err
	}
	s.record("operator: wave 1 with %s; its runner drains and leaves in %v", machine, leaving)
	begin := time.Now()
	time.Sleep(term)
	o, ok := v.lastOrder(machine)
	if !ok {
		return false, fmt.Errorf("nobody orders the upkeep")
	}
	for _, n := range s.nodes {
		if n.name == o.holder && s.trouble {
			s.record("SIGTERM to %s", n.name)
			if err := s.restartNode(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(begin.Add(leaving)))
	v.remove(machine)
	s.killRunner(r) // it exits
	time.Sleep(8 * time.Second)
	return v.checkOne(), nil
}

// Case cancel: the store loses the answers to a submission's writes and does them late. The requester
// gets no acceptance, cancels the submission and is told that it doesn't exist.
func playCancel(s *site) (bool, error) {
	const cancelTime = 3 * time.Second // cancel_ms
	s.store.onLate = func(status int) { s.record("store: a transaction without an answer is done late: %d", status) }
	if err := s.setUp(4, 16000, 62500, 4); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	broken := false
	for i, n := range s.nodes {
		id := newID()
		if s.trouble {
			s.store.lose(n.store, true)
			s.record("store: answers to transactions of %s are lost", n.name)
		}
		status, _ := s.post(i, id, job{text: "cpu=1000 mem=500 work_ms=1000", count: 2, cpu: 1000, mem: 500, estimate: 1000})
		s.store.lose(n.store, false)
		s.record("requester: the submission is answered %d", status)
		var acked time.Time
		for try := range 10 {
			if status, _ := s.call(i+1+try, http.MethodDelete, id, nil); status/100 == 2 || status == http.StatusGone {
				acked = time.Now()
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if acked.IsZero() {
			return false, fmt.Errorf("the cancelling of %s is not answered", id)
		}
		time.Sleep(9 * time.Second)
		for task, runs := range spans(s.allEvents()) {
			for _, r := range runs {
				if task[:min(len(id), len(task))] == id && r.start.Sub(acked) > cancelTime {
					s.record("UNASKED: task %s starts on %s %v after the cancelling of its submission was acknowledged; the submission was answered %d", task, r.worker, r.start.Sub(acked).Round(time.Millisecond), status)
					broken = true
				}
			}
		}
	}
	return broken, nil
}

// Case wide: the runner of a submission of 4,000 small tasks crashes once.
func playWide(s *site) (bool, error) {
	const (
		maxAttempts = 4
		runners     = 8 // one of them is 0.125 of all; the site file names 0.14
		tasks       = 4000
		before      = 7 * time.Second
		down        = 1 * time.Second
	)
	if err := s.setUp(runners, 64000, 250000, maxAttempts); err != nil {
		return false, err
	}
	id, err := s.submit(0, job{text: "cpu=10 mem=10 work_ms=9000 spread_ms=3000", count: tasks, cpu: 10, mem: 10, estimate: 10000})
	if err != nil {
		return false, err
	}
	time.Sleep(before)
	worker, _, ok := s.runningTask(id)
	if !ok {
		return false, fmt.Errorf("nothing of submission %s runs", id)
	}
	for _, r := range s.runners {
		if r.name == worker && s.trouble {
			s.killRunner(r)
			time.Sleep(down)
			if err := s.startRunner(r, 0); err != nil {
				return false, err
			}
		}
	}
	state, _ := s.await(id, 60*time.Second, "completed", "failed", "cancelled")
	failed, crashes := s.failedEnds(id), s.crashesUnder(id)
	s.record("submission %s: state %s, ends failed of one task: %d of max_attempts %d, runners that crashed under one task: %d", id, state, failed, maxAttempts, crashes)
	return state == "failed" && failed < maxAttempts && crashes < 2, nil
}
