package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

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

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	if c.Write(&m) != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

// benchPair starts two services on loopback with TLS. Each knows size members and sends digests
// of 300 bytes.
func benchPair(b *testing.B, size int) (*Service, *Service) {
	ca := newAuthority(b)
	var pair []*Service
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s, err := New(Config{
			Node: model.NodeID(fmt.Sprintf("node-123456789%d", i)), Addr: ln.Addr().String(), DataCentre: "kzn-greytown",
			TLS: ca.issue(b.TempDir(), ca), Seed: 1, ManualGossip: true,
			Digest: func(int) json.RawMessage { return json.RawMessage(`"` + strings.Repeat("d", 298) + `"`) },
		})
		if err != nil {
			b.Fatal(err)
		}
		for j := range size - 2 {
			h := header{Node: model.NodeID(fmt.Sprintf("node-%010d", j)), Incarnation: 1_760_000_000, Heartbeat: 1_000_000}
			if _, err := s.recordDirect(h); err != nil {
				b.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, ln) }()
		b.Cleanup(func() { cancel(); <-done })
		pair = append(pair, s)
	}
	return pair[0], pair[1]
}

// BenchmarkGossipExchange measures one exchange: the bytes in each direction, including TLS, and
// the CPU time of both sides together. A node takes part in four exchanges a second.
func BenchmarkGossipExchange(b *testing.B) {
	for _, size := range []int{8, 130, 400} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			x, y := benchPair(b, size)
			exchange := func() {
				if err := x.exchangeWith(b.Context(), target{y.cfg.Node, y.addr}); err != nil {
					b.Fatal(err)
				}
			}
			exchange() // opens the connection
			sent, received, begin := counterValue(x.metrics.sent), counterValue(x.metrics.received), cpuTime()
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				exchange()
				n++
			}
			b.ReportMetric((counterValue(x.metrics.sent)-sent)/float64(n), "sent-B/op")
			b.ReportMetric((counterValue(x.metrics.received)-received)/float64(n), "received-B/op")
			b.ReportMetric(float64(cpuTime()-begin)/1e3/float64(n), "cpu-us/op")
		})
	}
}

// BenchmarkConnection measures the opening of a TLS connection and the memory that both of its
// ends occupy.
func BenchmarkConnection(b *testing.B) {
	x, y := benchPair(b, 8)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sent, received, begin, n := counterValue(x.metrics.sent), counterValue(x.metrics.received), cpuTime(), 0
	for b.Loop() {
		c, err := x.dial(b.Context(), y.addr)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := x.startRPC(c); err != nil {
			b.Fatal(err)
		}
		n++
	}
	used := cpuTime() - begin
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
	b.ReportMetric(heap/float64(n), "memory-B/conn")
	b.ReportMetric((counterValue(x.metrics.sent)-sent)/float64(n), "sent-B/op")
	b.ReportMetric((counterValue(x.metrics.received)-received)/float64(n), "received-B/op")
	b.ReportMetric(float64(used)/1e3/float64(n), "cpu-us/op")
}
