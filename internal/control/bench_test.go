package control_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
)

// BenchmarkRecord reports the encoded size of each kind of record and the memory of an entry
// cached for peers.
func BenchmarkRecord(b *testing.B) {
	kinds := map[string]control.Record{
		"proposed-16KiB": proposed("sha256:0123456789abcdef", string(make([]byte, 16<<10)), "sha256:fedcba9876543210"),
		"accepted":       accepted("sha256:0123456789abcdef", 1234), "out": out("kzn-greytown"), "in": in("kzn-greytown"),
		"joined": joined("node-0123456789abcdef"), "left": left("node-0123456789abcdef"),
	}
	for name, r := range kinds {
		b.Run(name, func(b *testing.B) {
			data, _ := control.EncodeRecord(r)
			for b.Loop() {
				_, _ = control.DecodeRecord(data)
			}
			cached := make([]control.Entry, 1000)
			before := heapBytes()
			for i := range cached {
				decoded, _ := control.DecodeRecord(data)
				cached[i] = control.Entry{Sequence: uint64(i), Record: decoded}
			}
			b.ReportMetric(float64(heapBytes()-before)/1000, "heap-bytes/entry")
			b.ReportMetric(float64(len(data)), "bytes")
			runtime.KeepAlive(cached)
		})
	}
}

// BenchmarkAppendMember measures the appends of one node on a store without latency.
func BenchmarkAppendMember(b *testing.B) {
	s := newStore(journaltest.New().Node("a"), "a")
	for i := 0; b.Loop(); i++ {
		if _, err := s.AppendMember(b.Context(), joined(fmt.Sprint(i%100, "/", i))); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
