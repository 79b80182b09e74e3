package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Guards against schedules in which a large host is left to lead, or small hosts lead too short a time
// to be judged.
func TestSmallScheduleLeavesSmallHosts(t *testing.T) {
	require.Equal(t, SmallSchedule(3, 2, 30, time.Minute), SmallSchedule(3, 2, 30, time.Minute))
	withPower := 0
	for seed := range uint64(40) {
		var last, powerOff, back, killed time.Duration
		for _, f := range SmallSchedule(seed, 6, 30, 20*time.Second) {
			switch f.Kind {
			case LoseLarge:
				require.GreaterOrEqual(t, f.At, last)
				last = f.At
				if back == 0 {
					back = f.At + f.Duration
				}
				require.GreaterOrEqual(t, f.At+f.Duration, back, "the first one that is lost returns first")
			case PowerLoss:
				killed, powerOff = f.At, f.At+f.Duration
				withPower++
			}
		}
		if killed > 0 {
			require.Greater(t, killed, last)
		}
		require.Greater(t, back-max(last, powerOff), calmBefore+maxWithoutRun+judgedTime)
	}
	require.Greater(t, withPower, 10)
	require.Less(t, withPower, 30)
	for _, f := range SmallSchedule(3, 0, 30, time.Minute) {
		require.Equal(t, PowerLoss, f.Kind, "without large hosts")
	}
}

// Guards against losses of small hosts while a large one is up, and of hosts that are already lost.
func TestLargeHostsAreLostInTurn(t *testing.T) {
	c := &cluster{nodes: []*node{{}, {}, {}, {}}, large: 3}
	lose := func(leader, want int) {
		require.Equal(t, want, c.largeTarget(leader))
		c.nodes[want].lost.Store(true)
		require.NoError(t, c.start(c.nodes[want]), "it does not start")
	}
	lose(1, 1)
	lose(1, 0)
	lose(3, 2)
	c.nodes[1].lost.Store(false)
	require.Equal(t, 1, c.largeTarget(3))
}

// Guards against connections of a node that each have the bandwidth of its link.
func TestConnectionsShareTheLink(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 32<<10), 1, 30).Draw(r, "sizes")
		synctest.Test(t, func(*testing.T) {
			link, begin, total := newHostLink(smallMbps), time.Now(), 0
			for _, bytes := range sizes {
				total += bytes
				go link.out.wait(bytes)
			}
			synctest.Wait()
			link.out.wait(1)
			require.InDelta(t, float64(total+1)/(smallMbps*bytesPerMbit), time.Since(begin).Seconds(), 1e-6)
			link.in.wait(0)
			before := time.Now()
			link.in.wait(1250)
			require.Equal(t, time.Millisecond, time.Since(before), "the other direction is free")
			hostLink{}.out.wait(1 << 30)
		})
	})
}

// Guards against processes that get more, or much less, than their share.
func TestProcessGetsItsShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		share := rapid.Float64Range(0.05, 0.9).Draw(r, "share")
		threads := rapid.IntRange(1, 8).Draw(r, "threads")
		var b budget
		var used, passed time.Duration
		running := true
		for range 5000 {
			if running {
				used += time.Duration(threads) * shareInterval
			}
			passed += shareInterval
			running = !b.spend(7, used, shareInterval, share)
		}
		burst := time.Duration(share*float64(sharePeriod)) + time.Duration(threads)*shareInterval
		most := min(time.Duration(share*float64(passed)), time.Duration(threads)*passed)
		require.LessOrEqual(r, used, most+burst)
		require.GreaterOrEqual(r, used, most-burst)
		require.False(r, b.spend(8, 0, 0, share), "a new process")
	})
}

// Guards against a process that runs on although one of two reasons for its stop has ended, and against
// one that never runs again.
func TestStoppedForTwoReasons(t *testing.T) {
	n := &node{done: make(chan struct{})}
	close(n.done)
	n.freeze(true)
	n.pause(stoppedByShare, true)
	n.freeze(false)
	require.Equal(t, stoppedByShare, n.stops)
	n.pause(stoppedBySlowness, true)
	n.pause(stoppedByShare, false)
	n.pause(stoppedBySlowness, false)
	require.Zero(t, n.stops)
}

func TestLeadIsMeasured(t *testing.T) {
	at := func(s float64) time.Time { return time.Time{}.Add(time.Duration(s * float64(time.Second))) }
	l := &leadWatch{}
	l.observe(1, true, at(1))
	l.observe(1, true, at(1.2))
	l.observe(2, false, at(1.5))
	l.hostReturns(at(2))
	l.hostReturns(at(3))
	l.observe(3, false, at(4))
	l.observe(4, true, at(4.5))
	require.Equal(t, 2500*time.Millisecond, l.toReturn)
	length, calm := longest(l.silences, []fleettest.Span{{From: at(0), To: at(3)}, {From: at(3.2), To: at(9)}})
	require.Equal(t, 2500*time.Millisecond, length)
	require.Equal(t, 1500*time.Millisecond, calm)
}

// Guards against terms that are blamed for a fault, or for a hand-over.
func TestTermsReplacedWithoutImpairment(t *testing.T) {
	c := logged(t, `{"msg":"term begins","term":1,"time":"0001-01-01T00:00:01Z","former_leader":"","former_released":false}`,
		`{"msg":"term begins","term":2,"time":"0001-01-01T00:00:10.15Z","former_leader":"node-0","former_released":false}
{"msg":"term begins","term":3,"time":"0001-01-01T00:00:20.2Z","former_leader":"node-0","former_released":false}
{"msg":"term begins","term":4,"time":"0001-01-01T00:00:21Z","former_leader":"node-0","former_released":true}`)
	begins, err := c.termBegins()
	require.NoError(t, err)
	require.Len(t, begins, 4)
	at := func(s int) time.Time { return time.Time{}.Add(time.Duration(s) * time.Second) }
	calm := []fleettest.Span{{From: at(4), To: at(12)}, {From: at(14), To: at(30)}}
	var replaced []uint64
	for _, b := range begins {
		if b.replacedInCalm(calm) {
			replaced = append(replaced, b.Term)
		}
	}
	require.Equal(t, []uint64{3}, replaced)
}
