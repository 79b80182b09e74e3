package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// flushDelay collects lines, so that a burst costs one write.
const flushDelay = 50 * time.Millisecond

// asyncLines bounds the log lines that wait to be written.
const asyncLines = 4096

// AsyncWriter writes lines in the background. Write never blocks: lines beyond
// the bound are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	counter prometheus.Counter
	done    chan struct{}
	closing chan struct{}
}

// NewAsyncWriter starts writing to out. Close flushes what waits.
func NewAsyncWriter(out io.Writer, m *Metrics) *AsyncWriter {
	w := &AsyncWriter{
		lines: make(chan []byte, asyncLines), done: make(chan struct{}), closing: make(chan struct{}),
		counter: m.Counter("log", "dropped_lines_total", "Log lines that were dropped because the output was slow.").WithLabelValues(),
	}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		select {
		case <-w.closing:
		case <-time.After(flushDelay):
		}
		for n := len(w.lines); n > 0 && len(line) < 64<<10; n-- {
			line = append(line, <-w.lines...)
		}
		if _, err := out.Write(line); err != nil {
			w.drop()
		}
	}
}

func (w *AsyncWriter) drop() {
	w.dropped.Add(1)
	w.counter.Inc()
}

// Write takes a copy of p for the background writer, or drops it.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.drop()
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and stops. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.closing)
	close(w.lines)
	<-w.done
}
