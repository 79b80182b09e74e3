package telemetry

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var values = rapid.OneOf(
	rapid.String().AsAny(), rapid.Int().AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Bool().AsAny(),
	rapid.Float64().AsAny(), rapid.SliceOf(rapid.String()).AsAny(), rapid.MapOf(rapid.String(), rapid.Int()).AsAny(),
	rapid.Custom(func(t *rapid.T) error { return errors.New(rapid.String().Draw(t, "error")) }).AsAny(),
	rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) }).AsAny(),
	rapid.Just[any](nil),
)

// Guards the lines that tools read against a form of their own.
func TestLinesAreThoseOfJSONFormatter(t *testing.T) {
	want := &logrus.JSONFormatter{TimestampFormat: timeFormat}
	rapid.Check(t, func(t *rapid.T) {
		e := logrus.NewEntry(logrus.New())
		keys := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{keyLevel, keyMessage, keyTime, "task"}))
		e.Data = rapid.MapOf(keys, values).Draw(t, "fields")
		e.Message = rapid.String().Draw(t, "message")
		e.Level = rapid.SampledFrom(logrus.AllLevels).Draw(t, "level")
		e.Time = time.Unix(rapid.Int64Range(0, math.MaxInt32).Draw(t, "time"), 123_456_789).UTC()
		expected, err := want.Format(e)
		got, gotErr := lineFormatter{}.Format(e)
		require.Equal(t, err == nil, gotErr == nil)
		require.Equal(t, string(expected), string(got))
	})
}

func BenchmarkPlacementLine(b *testing.B) {
	l, err := NewLogger(discard{}, "info", "front-1")
	require.NoError(b, err)
	log := l.WithFields(logrus.Fields{"cell": 0, "term": uint64(7)})
	task := strings.Repeat("5c0e7a21d94b36f8", 1) + ".0.1.4"
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"decision": "place", "task": task, "attempt": 577, "worker": "i-4f2d43a9d9",
			"dc": "kzn-durban", "free_cpu": int64(16000), "waited_ms": int64(1200), "idle_ms": int64(0),
			"seen_ms_ago": int64(230), "held": false, "reason": "first"}).Info("task placed")
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
