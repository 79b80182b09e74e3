package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// flushDelay is the time for which lines are collected, so that a burst of lines needs only
// one write.
const flushDelay = 50 * time.Millisecond

// maxBufferedLines limits the log lines that wait to be written.
const maxBufferedLines = 4096

// AsyncWriter writes lines in the background. Write never blocks: lines beyond the buffer
// limit are dropped and counted.
type AsyncWriter struct {
	lines         chan []byte
	dropped       atomic.Int64
	droppedMetric prometheus.Counter
	done          chan struct{}
	closing       chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out. Close flushes the buffered lines.
func NewAsyncWriter(out io.Writer, m *Metrics) *AsyncWriter {
	w := &AsyncWriter{
		lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), closing: make(chan struct{}),
		droppedMetric: m.Counter("log", "dropped_lines_total", "Log lines that were dropped because the output was slow.").WithLabelValues(),
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
			w.countDropped()
		}
	}
}

func (w *AsyncWriter) countDropped() {
	w.dropped.Add(1)
	w.droppedMetric.Inc()
}

// Write passes a copy of p to the background writer, or drops it when the buffer is full.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.countDropped()
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.closing)
	close(w.lines)
	<-w.done
}
