package request

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
	"github.com/vanillapier/vanillapier/internal/share"
)

const (
	// loopbackServiceTime is the service time of the runners on loopback.
	loopbackServiceTime = 20 * time.Millisecond
	// loopbackRunners is small enough that the load does not saturate the machine.
	loopbackRunners = 12
)

// newLoopbackEnv starts runners on loopback and one node in front of them.
func newLoopbackEnv(b *testing.B) (*testEnv, *Chain, string) {
	w := newTestEnv(b)
	for i := range loopbackRunners {
		w.runner("desk", fmt.Sprintf("r%02d", i), func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(loopbackServiceTime)
			_, _ = rw.Write([]byte("ok"))
		})
	}
	c, url := w.node("n1")
	return w, c, url + "/v1/services/desk/"
}

// openLoop sends requests at a fixed interval, without waiting for responses, and records the
// latencies measured from the planned send times.
func openLoop(b *testing.B, client *http.Client, urls []string, interval time.Duration, requests int) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range requests {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			resp, err := client.Get(urls[i%len(urls)])
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(due).Microseconds())
		})
	}
	wg.Wait()
	return h
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// overheadRounds is the number of alternating rounds of direct calls and calls through a node,
// so that other load on the machine affects both equally.
const overheadRounds = 12

// BenchmarkOverhead compares direct calls with calls through a node, over loopback HTTP at
// half the capacity of the slots, in alternating rounds of 2000 requests. The overhead is the
// median over the rounds of the difference between the quantiles. Run it with -benchtime 1x.
func BenchmarkOverhead(b *testing.B) {
	w, _, url := newLoopbackEnv(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var direct []string
	for _, h := range w.hosts {
		direct = append(direct, "http://"+h.Addr+"/")
	}
	sides := [][]string{direct, {url}}
	interval := loopbackServiceTime / (loopbackRunners * simSlots / 2)
	quantiles := []float64{50, 99, 99.9}
	for b.Loop() {
		openLoop(b, client, direct, interval, 2000) // warm-up
		openLoop(b, client, []string{url}, interval, 2000)
		var cpu [2]time.Duration
		differences := make([][]float64, len(quantiles))
		for range overheadRounds {
			var h [2]*hdrhistogram.Histogram
			for i, urls := range sides {
				before := cpuTime()
				h[i] = openLoop(b, client, urls, interval, 2000)
				cpu[i] += cpuTime() - before
			}
			for j, q := range quantiles {
				d := h[1].ValueAtQuantile(q) - h[0].ValueAtQuantile(q)
				differences[j] = append(differences[j], float64(d)/1000)
			}
		}
		for j, name := range []string{"p50", "p99", "p99.9"} {
			slices.Sort(differences[j])
			b.ReportMetric(differences[j][overheadRounds/2], "overhead-"+name+"-ms")
		}
		b.ReportMetric(float64((cpu[1]-cpu[0]).Microseconds())/(2000*overheadRounds), "node-cpu-us/req")
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

// BenchmarkChain measures the CPU time and allocations of one request through the chain, and
// reports the heap growth over the run.
func BenchmarkChain(b *testing.B) {
	w := newTestEnv(b)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
	c, _ := w.node("n1")
	serve := func() {
		c.ServeHTTP(&discardWriter{http.Header{}}, httptest.NewRequest(get, "/v1/services/desk/", nil))
	}
	for range 2000 {
		serve()
	}
	before := heapBytes()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		serve()
		n++
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-growth-B/op")
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkDecision measures one admission, runner choice and finish with real shares, to show
// how the cost grows with the number of nodes and runners.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ nodes, runners int }{{8, 48}, {8, 480}, {8, 4800}, {64, 480}, {512, 4800}} {
		b.Run(fmt.Sprintf("nodes=%d/runners=%d", size.nodes, size.runners), func(b *testing.B) {
			a := benchAdmission(size.nodes, size.runners)
			now := time.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				w := &waiter{deadline: now.Add(time.Second), caller: "c", result: make(chan admissionResult, 1)}
				a.admitOrQueue(now, w)
				r := <-w.result
				if r.refusal != nil {
					b.Fatal(r.refusal.Message)
				}
				now = now.Add(10 * time.Microsecond)
				a.finish(now, r.choice.Runner, 50*time.Millisecond, routing.Success)
			}
		})
	}
}

// benchAdmission returns the admission state of one node in a cluster of the given size.
func benchAdmission(nodes, runners int) *admission {
	v := &control.View{Sequence: uint64(nodes), MembersSequence: uint64(nodes), ConfirmedAt: time.Now(), Members: map[model.NodeID]control.Member{}}
	v.Declaration = newTestEnv(nil).view.Declaration
	for i := range nodes {
		id := model.NodeID(fmt.Sprintf("n%d", i))
		v.Members[id] = control.Member{ID: id, Since: uint64(i + 1)}
	}
	m := share.NewManager(share.Options{Node: "n0", Policy: share.Policy{Hold: time.Hour}, View: func() *control.View { return v }})
	for id := range v.Members {
		m.Observe(id, share.Digest{Sequence: v.Sequence, Acks: map[model.NodeID]share.Ack{id: {Sequence: v.Sequence, ClearedThrough: v.Sequence}}}, time.Now())
	}
	m.Tick()
	a := &admission{
		service: "desk", router: routing.NewPool(routing.LeastExpected{}, routing.OutlierConfig{}, 1), queue: newQueue(),
		budget: routing.NewBudget(10), shares: m, queueLimit: 128, callerSharePercent: 50,
	}
	var targets []routing.Target
	for i := range runners {
		targets = append(targets, routing.Target{ID: runnerName(i), Addr: string(external.RoleRunner)})
	}
	a.router.Update(targets)
	a.router.SetLimits(func(id model.RunnerID) int { return m.Limit("desk", id) })
	return a
}
