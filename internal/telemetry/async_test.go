package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := NewAsyncWriter(out, nil)
	for range 3 * maxBufferedLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close()
}

func TestAsyncWriterFlushesAtClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, nil)
	_, _ = w.Write([]byte("a\n"))
	_, _ = w.Write([]byte("b\n"))
	w.Close()
	require.Equal(t, "a\nb\n", out.String())
}
