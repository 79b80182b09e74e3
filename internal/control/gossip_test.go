package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
)

// roundTrip is the time between sending a gossip request and receiving its response.
const roundTrip = 4 * time.Millisecond

// gossipCluster is a set of stores that gossip with two random peers per second. A network
// partition can separate the first partitionSize nodes from the others and from the store.
type gossipCluster struct {
	store         *journaltest.Store
	nodes         []*control.Store
	partitionSize int
	partitioned   atomic.Bool
	wg            sync.WaitGroup
}

func newGossipCluster(ctx context.Context, n int, seed uint64) *gossipCluster {
	m := &gossipCluster{store: journaltest.New(), partitionSize: n / 8}
	m.store.Latency = 5 * time.Millisecond
	partition := map[string]bool{}
	m.store.SetInject(func(op journaltest.Op) journaltest.Fault {
		return journaltest.Fault{Down: m.partitioned.Load() && partition[op.Node]}
	})
	for i := range n {
		id := fmt.Sprintf("n%d", i)
		partition[id] = i < m.partitionSize
		m.nodes = append(m.nodes, newStore(m.store.Node(id), id))
	}
	for i := range n {
		if _, err := m.nodes[i].AppendMember(ctx, joined(fmt.Sprintf("n%d", i))); err != nil {
			panic(err)
		}
		m.wg.Go(func() { _ = m.nodes[i].Run(ctx) })
		m.wg.Go(func() { m.gossip(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return m
}

func (m *gossipCluster) gossip(ctx context.Context, i int, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(400*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond))))
		j := rng.IntN(len(m.nodes))
		if j == i || (m.partitioned.Load() && (i < m.partitionSize) != (j < m.partitionSize)) {
			continue
		}
		sent := time.Now()
		time.Sleep(roundTrip / 2)
		peer := m.nodes[j]
		view := peer.View()
		entries := peer.EntriesFrom(m.nodes[i].View().Sequence+1, 1000)
		age := view.Age(time.Now())
		time.Sleep(roundTrip / 2)
		age += time.Since(sent)
		_ = m.nodes[i].Merge(entries, age)
		m.nodes[i].Confirm(view.Sequence, age)
	}
}

// Guards against a record that reaches the nodes later than the design allows, a node that
// is fresh although it lacks a record older than FreshnessBound, and more than one store read
// per second and node.
func TestPropagation(t *testing.T) {
	for _, n := range []int{8, 130} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m := newGossipCluster(ctx, n, 5)
			time.Sleep(10 * time.Second)
			reads, _ := m.store.Counts()
			start := time.Now()
			var propagation, rejoinTimes []time.Duration
			rng := rand.New(rand.NewPCG(11, 11))
			for k := range 30 {
				m.partitioned.Store(k >= 10 && k < 20)
				from := m.partitionSize + rng.IntN(n-m.partitionSize)
				if k == 20 {
					rejoinTimes = m.waitForRecords(t, from, time.Now(), m.nodes[:m.partitionSize])
				}
				propagation = append(propagation, m.appendAndWait(ctx, t, from, k)...)
				time.Sleep(time.Second)
			}
			after, _ := m.store.Counts()
			cancel()
			m.wg.Wait()
			slices.Sort(propagation)
			p99 := propagation[len(propagation)*99/100]
			t.Logf("%d nodes, %d samples: p50 %v, p99 %v, max %v; rejoined after at most %v; %.1f store reads/s",
				n, len(propagation), propagation[len(propagation)/2], p99, propagation[len(propagation)-1], slices.Max(rejoinTimes),
				float64(after-reads)/time.Since(start).Seconds())
			require.Less(t, p99, 4*time.Second)
			require.Less(t, slices.Max(rejoinTimes), 4*time.Second)
			require.Less(t, float64(after-reads)/time.Since(start).Seconds(), float64(n+4))
		})
	}
}

// appendAndWait appends a record at node from and returns the time until it reached each
// reachable node.
func (m *gossipCluster) appendAndWait(ctx context.Context, t *testing.T, from, k int) []time.Duration {
	_, err := m.nodes[from].AppendMember(ctx, joined(fmt.Sprintf("extra%d", k)))
	require.NoError(t, err)
	reachable := m.nodes
	if m.partitioned.Load() {
		reachable = m.nodes[m.partitionSize:]
	}
	return m.waitForRecords(t, from, time.Now(), reachable)
}

// waitForRecords waits until all nodes have the records of node from and returns the time
// that each node took.
func (m *gossipCluster) waitForRecords(t *testing.T, from int, begin time.Time, nodes []*control.Store) []time.Duration {
	seq := m.nodes[from].View().Sequence
	took := make([]time.Duration, len(nodes))
	for missing := len(nodes); missing > 0; {
		time.Sleep(10 * time.Millisecond)
		for i, s := range m.nodes {
			behind := s.View().Sequence < seq
			old := time.Since(begin) > control.FreshnessBound
			require.False(t, behind && old && s.Fresh(time.Now()), "node %d looks fresh without record %d", i, seq)
		}
		for i, s := range nodes {
			if took[i] == 0 && s.View().Sequence >= seq {
				took[i] = time.Since(begin)
				missing--
			}
		}
	}
	return took
}
