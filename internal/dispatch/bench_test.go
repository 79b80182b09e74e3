package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchRef(i int) external.AttemptRef {
	return external.AttemptRef{Task: model.TaskID(fmt.Sprintf("job-%012d-%03d", i, i%100)), Attempt: 1}
}

// staticTransport responds to every request with the same report.
type staticTransport struct{ data []byte }

func (c *staticTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(c.data)), ContentLength: int64(len(c.data))}, nil
}

// BenchmarkCommand measures the bytes and the CPU time of one command on the owner's
// side: plan, encode, decode and apply, without sockets.
func BenchmarkCommand(b *testing.B) {
	for _, live := range []int{0, 1, 10, 40} {
		for _, starts := range []int{0, 1, 10} {
			b.Run(fmt.Sprintf("running=%d/starts=%d", live, starts), func(b *testing.B) { benchCommand(b, live, starts, 1) })
		}
		b.Run(fmt.Sprintf("running=%d/unchanged", live), func(b *testing.B) { benchCommand(b, live, 0, 1<<60) })
	}
}

func benchCommand(b *testing.B, live, starts int, fullReport time.Duration) {
	var known []KnownAttempt
	report := external.WorkerReport{Worker: "w", Session: "01234567-1", SessionTTL: DefaultSessionTTL}
	for i := range live {
		known = append(known, KnownAttempt{AttemptRef: benchRef(i), Worker: "w"})
		report.Running = append(report.Running, external.RunningAttempt{AttemptRef: benchRef(i), Class: "plate-run", Used: unit, UsageAge: 5 * time.Second, Progress: 0.5})
	}
	data, err := json.Marshal(report)
	if err != nil {
		b.Fatal(err)
	}
	transport := &staticTransport{data}
	api := httpapi.NewWorkers(&http.Client{Transport: transport})
	c := NewCore(Config{Cell: "kzn-durban/0", Epoch: 7, FullReport: fullReport}, origin, known)
	now := origin
	c.SetWorkers(now, []external.Host{{ID: "w", Addr: "10.1.2.3:7000"}})
	if fullReport > 1 {
		c.HandleResult(now, c.Plan(now, 1, true)[0], report, nil)
		report.Running, report.Unchanged = nil, true
		if transport.data, err = json.Marshal(report); err != nil {
			b.Fatal(err)
		}
	}
	begin := cpuTime()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(4 * time.Second) // every command renews
		out := c.Plan(now, 1, true)[0]
		for j := range starts {
			out.Command.Starts = append(out.Command.Starts, external.Start{
				AttemptRef: benchRef(1000 + j), Class: "plate-run", Resources: unit, Lease: DefaultTaskLease, Payload: make([]byte, 100),
			})
		}
		r, err := api.Command(b.Context(), out.Host, out.Command)
		c.HandleResult(now, out, r, err)
		c.Events()
	}
	t := api.Traffic()
	b.ReportMetric(float64(cpuTime()-begin)/1e3/float64(t.Messages), "cpu-us/op")
	b.ReportMetric(float64(t.Sent)/float64(t.Messages), "sent-B/op")
	b.ReportMetric(float64(t.Received)/float64(t.Messages), "received-B/op")
}

// steadyWorker is a worker with a fixed number of attempts: each start replaces the
// oldest attempt.
type steadyWorker struct {
	running []external.RunningAttempt
	ended   []external.EndedAttempt
}

func (s *steadyWorker) apply(cmd external.WorkerCommand) external.WorkerReport {
	if len(cmd.Ack) > 0 {
		s.ended = s.ended[:0]
	}
	for _, st := range cmd.Starts {
		s.ended = append(s.ended, external.EndedAttempt{AttemptRef: s.running[0].AttemptRef, Outcome: model.OutcomeDone})
		s.running = append(s.running[1:], external.RunningAttempt{AttemptRef: st.AttemptRef, Class: st.Class, Used: st.Resources, UsageAge: 5 * time.Second, Progress: 0.5})
	}
	r := external.WorkerReport{Running: s.running, Ended: s.ended, Session: "01234567-123", SessionTTL: DefaultSessionTTL}
	digest := external.RunningDigest(func(yield func(external.AttemptRef, string) bool) {
		for _, a := range s.running {
			yield(a.AttemptRef, a.Checkpoint)
		}
	})
	if cmd.ExpectedDigest == digest {
		r.Running, r.Unchanged = nil, true
	}
	return r
}

// BenchmarkNode measures a node in virtual time. One operation is one second of a node
// that owns the given workers, each with 12 attempts and 0.115 starts per second. That
// is the load of one worker at the target size of section 2.6. core-% is the time of
// the owner's side including JSON, without HTTP.
func BenchmarkNode(b *testing.B) {
	for _, workers := range []int{48, 160, 1050} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchNode(b, workers) })
	}
}

func benchNode(b *testing.B, workers int) {
	const live, startsPerSecond = 12, 0.115
	var known []KnownAttempt
	hosts, states, next := []external.Host{}, map[string]*steadyWorker{}, 0
	for w := range workers {
		h := external.Host{ID: fmt.Sprintf("worker-%06d", w), Addr: "10.1.2.3:7000"}
		hosts, states[h.ID] = append(hosts, h), &steadyWorker{}
		for range live {
			known = append(known, KnownAttempt{AttemptRef: benchRef(next), Worker: model.WorkerID(h.ID)})
			states[h.ID].running = append(states[h.ID].running, external.RunningAttempt{AttemptRef: benchRef(next), Class: "plate-run", Used: unit, UsageAge: 5 * time.Second, Progress: 0.5})
			next++
		}
	}
	c := NewCore(Config{Cell: "kzn-durban/0", Epoch: 7}, origin, known)
	c.SetWorkers(origin, hosts)
	var sent, received, messages int
	startsDue, second := 0.0, 0
	var owner time.Duration
	begin := time.Now()
	for b.Loop() {
		now := origin.Add(time.Duration(second) * time.Second)
		end := now.Add(time.Second)
		second++
		for startsDue += startsPerSecond * float64(workers); startsDue >= 1; startsDue-- {
			next++
			s := external.Start{AttemptRef: benchRef(next), Class: "plate-run", Resources: unit, Payload: make([]byte, 100)}
			if err := c.Start(now, model.WorkerID(hosts[next%workers].ID), s); err != nil {
				b.Fatal(err)
			}
		}
		for due, ok := c.NextDue(); ok && due.Before(end); due, ok = c.NextDue() {
			if due.After(now) {
				now = due
			}
			for _, out := range c.Plan(now, workers, true) {
				cmd, _ := json.Marshal(out.Command)
				owner += time.Since(begin)
				r := states[out.Host.ID].apply(out.Command)
				r.Worker = model.WorkerID(out.Host.ID)
				rep, _ := json.Marshal(r)
				begin = time.Now()
				var decoded external.WorkerReport
				if err := json.Unmarshal(rep, &decoded); err != nil {
					b.Fatal(err)
				}
				messages, sent, received = messages+1, sent+len(cmd), received+len(rep)
				c.HandleResult(now, out, decoded, nil)
			}
			for _, e := range c.Events() {
				if e.Kind == EventEnded {
					c.Ack(e.Ref)
				}
			}
		}
	}
	n := float64(second)
	b.ReportMetric(float64(messages)/n, "messages/s")
	b.ReportMetric(float64(sent)/n, "sent-B/s")
	b.ReportMetric(float64(received)/n, "received-B/s")
	b.ReportMetric(float64(owner)/1e7/n, "core-%")
}

// BenchmarkHTTPCommand measures a poll with a digest over a loopback connection: the
// CPU time of the client and the stand-in worker together.
func BenchmarkHTTPCommand(b *testing.B) {
	p := standin.NewPlatform(standin.PlatformConfig{DataCentres: []standin.DataCentreConfig{{Name: "dc", Racks: 1, WorkersPerRack: 1, Capacity: unit}}})
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = p.Close() }()
	api, host := httpapi.NewWorkers(nil), p.Hosts()[0]
	cmd := external.WorkerCommand{Cell: "c", Epoch: 1, ExpectedDigest: "0-0", RenewExpected: true, RenewFor: DefaultTaskLease}
	begin, n := cpuTime(), 0
	for b.Loop() {
		if _, err := api.Command(b.Context(), host, cmd); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(cpuTime()-begin)/1e3/float64(n), "cpu-us/op")
}
