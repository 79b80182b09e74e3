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

// roundTrip is the time between sending a gossip request and its response.
const roundTrip = 4 * time.Millisecond

// mesh is a set of stores that gossip with two random peers a second. The first
// cut of them can be cut off from the others and from the store.
type mesh struct {
	store  *journaltest.Store
	nodes  []*control.Store
	cut    int
	parted atomic.Bool
	wg     sync.WaitGroup
}

func newMesh(ctx context.Context, n int, seed uint64) *mesh {
	m := &mesh{store: journaltest.New(), cut: n / 8}
	m.store.Latency = 5 * time.Millisecond
	inside := map[string]bool{}
	m.store.SetInject(func(op journaltest.Op) journaltest.Fault {
		return journaltest.Fault{Down: m.parted.Load() && inside[op.Node]}
	})
	for i := range n {
		id := fmt.Sprintf("n%d", i)
		inside[id] = i < m.cut
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

func (m *mesh) gossip(ctx context.Context, i int, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(400*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond))))
		j := random.IntN(len(m.nodes))
		if j == i || (m.parted.Load() && (i < m.cut) != (j < m.cut)) {
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

// Guards against a record that takes longer than the design bound to reach the
// nodes, a node that looks fresh without a record older than the bound, and a
// number of store reads that grows beyond one a second for each node.
func TestPropagation(t *testing.T) {
	for _, n := range []int{8, 130} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m := newMesh(ctx, n, 5)
			time.Sleep(10 * time.Second)
			reads, _ := m.store.Counts()
			start := time.Now()
			var took, rejoined []time.Duration
			random := rand.New(rand.NewPCG(11, 11))
			for k := range 30 {
				m.parted.Store(k >= 10 && k < 20)
				from := m.cut + random.IntN(n-m.cut)
				if k == 20 {
					rejoined = m.spread(t, from, time.Now(), m.nodes[:m.cut])
				}
				took = append(took, m.record(ctx, t, from, k)...)
				time.Sleep(time.Second)
			}
			after, _ := m.store.Counts()
			cancel()
			m.wg.Wait()
			slices.Sort(took)
			p99 := took[len(took)*99/100]
			t.Logf("%d nodes, %d samples: p50 %v, p99 %v, max %v; rejoined after at most %v; %.1f store reads/s",
				n, len(took), took[len(took)/2], p99, took[len(took)-1], slices.Max(rejoined),
				float64(after-reads)/time.Since(start).Seconds())
			require.Less(t, p99, 4*time.Second)
			require.Less(t, slices.Max(rejoined), 4*time.Second)
			require.Less(t, float64(after-reads)/time.Since(start).Seconds(), float64(n+4))
		})
	}
}

// record appends a record at node from and returns how long it took to reach
// each node that can be reached.
func (m *mesh) record(ctx context.Context, t *testing.T, from, k int) []time.Duration {
	_, err := m.nodes[from].AppendMember(ctx, joined(fmt.Sprintf("extra%d", k)))
	require.NoError(t, err)
	reachable := m.nodes
	if m.parted.Load() {
		reachable = m.nodes[m.cut:]
	}
	return m.spread(t, from, time.Now(), reachable)
}

// spread waits until all of nodes have the records of node from.
func (m *mesh) spread(t *testing.T, from int, begin time.Time, nodes []*control.Store) []time.Duration {
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
