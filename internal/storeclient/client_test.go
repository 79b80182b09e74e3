package storeclient_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

func write(row string) external.Write {
	return external.Write{Key: external.Key{Partition: "p", Row: row}, Condition: external.Condition{Absent: true}}
}

// Guards against the retry of a write with a lost response that is not idempotent, and against
// an unknown result that a later failure turns into a known one.
func TestRetriesOnlySafeOperations(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		faults     []journaltest.Fault
		kind       model.Kind
		writes     int
	}{
		{"unavailable is repeated", false, []journaltest.Fault{{Down: true}, {Down: true}}, "", 3},
		{"unknown is not repeated", false, []journaltest.Fault{{LoseResponse: true}}, model.KindUnknown, 1},
		{"unknown outweighs an outage", true, []journaltest.Fault{{Drop: true}, {Down: true}, {Down: true}, {Down: true}}, model.KindUnknown, 4},
		{"unknown outweighs a conflict with itself", true, []journaltest.Fault{{LoseResponse: true}}, model.KindUnknown, 2},
		{"deadline of a write is unknown", false, []journaltest.Fault{{Delay: time.Minute}}, model.KindUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := journaltest.New()
				store.SetInject(func(journaltest.Op) (f journaltest.Fault) {
					if len(c.faults) > 0 {
						f, c.faults = c.faults[0], c.faults[1:]
					}
					return f
				})
				node := store.Node("a")
				table, _ := storeclient.New(node, node.Objects(), storeclient.Config{})
				ctx := t.Context()
				if c.idempotent {
					ctx = storeclient.WithIdempotentWrite(ctx)
				}
				require.Equal(t, c.kind, model.KindOf(table.Commit(ctx, write("r"))))
				_, writes := store.Counts()
				require.Equal(t, c.writes, writes)
			})
		})
	}
}

// Guards against background operations that delay fences and claims when the budget is
// exhausted.
func TestBudgetServesHighestPriorityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.New()
		node := store.Node("a")
		var mu sync.Mutex
		var served []storeclient.Priority
		table, _ := storeclient.New(node, node.Objects(), storeclient.Config{
			WritesPerSecond: 10, Burst: 1,
			Observe: func(op storeclient.Operation) {
				mu.Lock()
				defer mu.Unlock()
				served = append(served, op.Priority)
			},
		})
		start := time.Now()
		require.NoError(t, table.Commit(t.Context(), write("first")))
		var wg sync.WaitGroup
		for p := storeclient.PriorityBulk; p >= storeclient.PriorityFence; p-- {
			for i := range 2 {
				wg.Go(func() {
					ctx := storeclient.WithPriority(t.Context(), p)
					require.NoError(t, table.Commit(ctx, write(fmt.Sprint(p, i))))
				})
				synctest.Wait()
			}
		}
		wg.Wait()
		require.Equal(t, 800*time.Millisecond, time.Since(start).Round(time.Millisecond))
		for i := 2; i < len(served); i++ {
			require.LessOrEqual(t, served[i-1], served[i], "%v", served)
		}
	})
}

// Guards against nodes that overload an unavailable store with requests, and against all nodes
// returning at the same time after an outage of an hour.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, workers = 12, 3
		store := journaltest.New()
		perSecond := map[int64]int{}
		down := true
		var mu sync.Mutex
		begin := time.Now()
		store.SetInject(func(journaltest.Op) journaltest.Fault {
			mu.Lock()
			defer mu.Unlock()
			perSecond[int64(time.Since(begin)/time.Second)]++
			return journaltest.Fault{Down: down, Delay: 5 * time.Millisecond}
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for n := range nodes {
			node := store.Node("a")
			table, _ := storeclient.New(node, node.Objects(), storeclient.Config{Seed: uint64(n), ReadsPerSecond: 20, Burst: 40})
			for range workers {
				wg.Go(func() {
					for ctx.Err() == nil {
						_, err := table.Get(ctx, external.Key{Partition: "p", Row: "r"})
						if !model.IsKind(err, model.KindNotFound) {
							time.Sleep(3 * time.Second)
						}
					}
				})
			}
		}
		time.Sleep(time.Hour)
		mu.Lock()
		down = false
		mu.Unlock()
		time.Sleep(30 * time.Second)
		cancel()
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		for s := int64(60); s < 3600; s++ {
			require.LessOrEqual(t, perSecond[s], nodes, "second %d: more than one probe a node", s)
		}
		for s := int64(3600); s < 3625; s++ {
			require.LessOrEqual(t, perSecond[s], nodes*21, "second %d: above the steady budget", s)
		}
		require.Greater(t, perSecond[3610], nodes*15, "the nodes have returned")
	})
}
