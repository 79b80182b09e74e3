package journal_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// placedRecord returns a placement, the most frequent record of a cell.
func placedRecord(i int) cell.Record {
	return cell.Record{Placed: &cell.Placed{Task: model.TaskID(fmt.Sprintf("job-%08d/%04d", i, 7)), Attempt: 1, Worker: "w-gent-r12-07"}}
}

func encode(r cell.Record) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// BenchmarkAppend measures the transitions per second of one cell for different numbers
// of records per row, with a store latency of 0 and 5ms.
func BenchmarkAppend(b *testing.B) {
	for _, latency := range []time.Duration{0, 5 * time.Millisecond} {
		for _, size := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("latency=%v/batch=%d", latency, size), func(b *testing.B) {
				store := journaltest.New()
				store.Latency = latency
				log := journal.New(store.Node("a"), "p")
				batch := make([][]byte, size)
				for i := range batch {
					batch[i] = encode(placedRecord(i))
				}
				seq := uint64(0)
				for b.Loop() {
					seq++
					if _, err := log.Append(b.Context(), seq, journal.Batch{Epoch: 1, Records: batch}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "rows/s")
				b.ReportMetric(float64(b.N*size)/b.Elapsed().Seconds(), "transitions/s")
			})
		}
	}
}

// BenchmarkCommitter measures group commit with many concurrent submitters.
func BenchmarkCommitter(b *testing.B) {
	store := journaltest.New()
	store.Latency = 5 * time.Millisecond
	log := journal.New(store.Node("a"), "p")
	seq := uint64(0)
	c := journal.NewCommitter(journal.CommitterConfig{}, func(ctx context.Context, r [][]byte) (uint64, error) {
		seq++
		return log.Append(ctx, seq, journal.Batch{Epoch: 1, Records: r})
	})
	go func() { _ = c.Run(b.Context()) }()
	record := [][]byte{encode(placedRecord(1))}
	b.SetParallelism(1000)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Submit(b.Context(), record, false); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(seq), "records/row")
}

// BenchmarkRecordBytes reports the encoded size of each kind of record.
func BenchmarkRecordBytes(b *testing.B) {
	task := model.TaskID("job-00000001/0007")
	spec := model.TaskSpec{ID: task, Job: "job-00000001", Team: "team-17", Class: "plate-run", Resources: model.Resources{MilliCPU: 4000, MemoryMB: 8000}, MaxRetries: 3}
	kinds := map[string]cell.Record{
		"submitted-1": {Submitted: &cell.Submitted{Job: model.JobSpec{ID: "job-00000001", Tasks: []model.TaskSpec{spec}}, At: 1}},
		"placed":      placedRecord(1),
		"ended":       {Ended: &cell.Ended{Task: task, Attempt: 1, Outcome: model.OutcomeDone}},
		"cancelled":   {Cancelled: &cell.Cancelled{Job: "job-00000001"}},
		"evicting":    {Evicting: &cell.Evicting{Task: task, Attempt: 1, Reason: "interference"}},
		"checkpoint":  {Checkpoint: &cell.Checkpoint{Task: task, Attempt: 1, Object: "ckpt/job-00000001/0007/3"}},
		"unrunnable":  {Unrunnable: &cell.Unrunnable{Task: task, Reason: "needs 128 cores; the largest worker has 64"}},
		"transfer-in": {TransferIn: &cell.TransferIn{Spec: spec, From: "gent-0", Attempts: 1}},
	}
	for name, r := range kinds {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				encode(r)
			}
			b.ReportMetric(float64(len(encode(r))), "bytes")
		})
	}
	empty, _ := journal.EncodeBatch(journal.Batch{AppendID: journal.NewAppendID(), Epoch: 3})
	b.Run("row-overhead", func(b *testing.B) { b.ReportMetric(float64(len(empty)), "bytes") })
}

// BenchmarkRecover measures the time to read and decode the tail, and the memory of its
// entries, for different numbers of transitions since the snapshot in rows of 100.
func BenchmarkRecover(b *testing.B) {
	for _, transitions := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(transitions), func(b *testing.B) {
			store := journaltest.New()
			log := journal.New(store.Node("a"), "p")
			snaps := journal.NewSnapshots(store.Node("a").Objects(), "p", log)
			for seq := range transitions / 100 {
				batch := make([][]byte, 100)
				for i := range batch {
					batch[i] = encode(placedRecord(seq*100 + i))
				}
				_, _ = log.Append(b.Context(), uint64(seq+1), journal.Batch{Epoch: 1, Records: batch})
			}
			var rec journal.Recovered
			for b.Loop() {
				rec, _ = journal.Recover(b.Context(), log, snaps)
				for _, e := range rec.Tail {
					for _, data := range e.Records {
						var r cell.Record
						if err := cbor.Unmarshal(data, &r); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
			b.StopTimer()
			with := heapBytes()
			runtime.KeepAlive(rec)
			rec = journal.Recovered{}
			b.ReportMetric(float64(with-heapBytes())/float64(transitions), "heap-bytes/transition")
			reads, _ := store.Counts()
			b.ReportMetric(float64(reads)/float64(b.N), "reads")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
