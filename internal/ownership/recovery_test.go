package ownership_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// peer simulates a warm follower on another node, one network round trip away.
type peer struct {
	state ownership.FollowerState
	calls int
}

// bytesPerSecond is the simulated transfer rate of peers and store.
const bytesPerSecond = 100 << 20

func waitTransfer(n int) { time.Sleep(time.Duration(n) * time.Second / bytesPerSecond) }

// transferTable adds the transfer time of the rows that are read from the store.
type transferTable struct{ external.Table }

func (l transferTable) Range(ctx context.Context, partition, from string, limit int) ([]external.Row, error) {
	rows, err := l.Table.Range(ctx, partition, from, limit)
	for _, r := range rows {
		waitTransfer(len(r.Value))
	}
	return rows, err
}

// transferObjects adds the transfer time of the objects that are read from the store.
type transferObjects struct{ external.Objects }

func (l transferObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := l.Objects.Get(ctx, name)
	waitTransfer(len(data))
	return data, err
}

func (p *peer) FollowerState(context.Context, model.CellID) (ownership.FollowerState, error) {
	p.calls++
	bytes := len(p.state.Snapshot.Data)
	for _, e := range p.state.Tail {
		for _, r := range e.Records {
			bytes += len(r)
		}
	}
	time.Sleep(4 * time.Millisecond)
	waitTransfer(bytes)
	return p.state, nil
}

// acquisition is a Handler that records when a cell was acquired and with how many entries.
type acquisition struct {
	at      time.Time
	entries int
}

func (a *acquisition) Acquired(o *ownership.Owned) { a.at, a.entries = time.Now(), len(o.Tail) }

func (a *acquisition) Lost(model.CellID, string) {}

// newReleasedCell writes a released cell with the given number of rows after a snapshot, and
// returns the state of a follower that is behind by 20 rows.
func newReleasedCell(t *testing.T, store *journaltest.Store, rows int) *peer {
	n := store.Node("old")
	log := journal.New(n, ownership.Partition(cell))
	snaps := journal.NewSnapshots(n.Objects(), ownership.Partition(cell), nil)
	owner := journal.OwnerChange{Action: journal.OwnerAcquired, Node: "old", Addr: "old", LeaseMillis: 6000}
	append1 := func(seq uint64, b journal.Batch) {
		b.Epoch = 1
		_, err := log.Append(t.Context(), seq, b)
		require.NoError(t, err)
	}
	append1(1, journal.Batch{Owner: &owner})
	snap := journal.Snapshot{Sequence: 1, Epoch: 1, Owner: &owner, Data: bytes.Repeat([]byte("s"), 2<<20)}
	require.NoError(t, snaps.SaveSnapshot(t.Context(), snap))
	for i := range rows {
		append1(uint64(i+2), journal.Batch{Records: [][]byte{bytes.Repeat([]byte("r"), 4000)}})
	}
	tail, err := log.Tail(t.Context(), 2)
	require.NoError(t, err)
	released := owner
	released.Action = journal.OwnerReleased
	append1(uint64(rows+2), journal.Batch{Owner: &released})
	return &peer{state: ownership.FollowerState{Snapshot: snap, Tail: tail[:rows-20]}}
}

// Guards against a recovery from a peer that misses rows of the journal. It also logs the
// figures of docs/decisions/0001-cell-recovery.md.
func TestRecoveryExperiment(t *testing.T) {
	for _, rows := range []int{100, 1000, 10_000} {
		for _, latency := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
			for _, usePeer := range []bool{false, true} {
				for _, outage := range []time.Duration{0, 30 * time.Second} {
					synctest.Test(t, func(t *testing.T) { recoverOnce(t, rows, latency, outage, usePeer) })
				}
			}
		}
	}
}

func recoverOnce(t *testing.T, rows int, latency, outage time.Duration, usePeer bool) {
	store := journaltest.New()
	p := newReleasedCell(t, store, rows)
	store.Latency = latency
	reads, _ := store.Counts()
	n := store.Node("new")
	begin := time.Now()
	failed := 0
	store.SetInject(func(journaltest.Op) journaltest.Fault {
		down := time.Since(begin) < outage
		if down {
			failed++
		}
		return journaltest.Fault{Down: down}
	})
	cfg := ownership.Config{Node: "new", Addr: "new", Table: transferTable{n}, Objects: transferObjects{n.Objects()}}
	if usePeer {
		cfg.Peers = p
	}
	var got acquisition
	m := ownership.New(cfg, &got)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	m.SetCells([]model.CellID{cell}, []control.Member{{ID: "new", Addr: "new"}})
	go func() { ended <- m.Run(ctx) }()
	time.Sleep(outage + 20*time.Second)
	synctest.Wait()
	after, _ := store.Counts()
	require.Equal(t, rows+1, got.entries, "the whole tail and the release record")
	require.LessOrEqual(t, p.calls, 1, "the peer's state is fetched once, also during an outage")
	t.Logf("rows=%d latency=%v outage=%v peer=%v: first decision %v after the store answers, %d store reads and %d failed ones",
		rows, latency, outage, usePeer, got.at.Sub(begin.Add(outage)), after-reads-failed, failed)
	cancel()
	<-ended
}

// Guards against a recovery that uses a peer's state although its rows have a gap or are not
// those of the journal.
func TestRecoveryRejectsInconsistentPeer(t *testing.T) {
	for _, fault := range []string{"foreign row", "gap"} {
		synctest.Test(t, func(t *testing.T) {
			store := journaltest.New()
			p := newReleasedCell(t, store, 50)
			switch fault {
			case "foreign row":
				p.state.Tail[len(p.state.Tail)-1].AppendID = journal.NewAppendID()
			case "gap":
				p.state.Tail = append(p.state.Tail[:3:3], p.state.Tail[4:]...)
			}
			n := store.Node("new")
			var got acquisition
			m := ownership.New(ownership.Config{Node: "new", Addr: "new", Table: n, Objects: n.Objects(), Peers: p}, &got)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			m.SetCells([]model.CellID{cell}, []control.Member{{ID: "new"}})
			go func() { ended <- m.Run(ctx) }()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			require.Equal(t, 51, got.entries, fmt.Sprint(fault, ": read from the store instead"))
			require.Positive(t, p.calls)
			cancel()
			<-ended
		})
	}
}
