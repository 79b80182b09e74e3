package fleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// namedTables is a decoder for tests that decode no rows.
type namedTables struct{ Decoder }

func (namedTables) Tables() (workers, operator string) { return "workers", "operator" }

// emptyStore has no rows and accepts no transactions.
type emptyStore struct{}

func (emptyStore) Commit(context.Context, Transaction) (Commit, error) {
	return Commit{}, model.Errorf(model.KindUnavailable, "retry later", "no writes")
}

func (emptyStore) List(context.Context, string, string, string, string, int) (Page, error) {
	return Page{Version: 1}, nil
}

func (emptyStore) Watch(_ context.Context, _ string, after uint64, wait time.Duration) (Page, error) {
	time.Sleep(wait)
	return Page{Version: after}, nil
}

// nodeOfOneCell returns a node with an empty store, and its cell.
func nodeOfOneCell() (*Node, *cell) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := NewNode(Config{Node: "n", Store: emptyStore{}, Peers: noPeers{}, Decoder: namedTables{}, Log: logrus.NewEntry(log), Metrics: telemetry.NewMetrics("test")})
	n.cellTable.Store(&cellTable{layout: newLayout(1, nil), cells: []*cell{{}}})
	return n, n.cellTable.Load().cells[0]
}

// A campaign that succeeded while its node stopped began a term that nothing ended: the node
// went on leading and never stopped.
func TestNodeStopsDuringCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := nodeOfOneCell()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		n.startTerm(ctx, c, leaderRecord{Term: 1, LeaseRecordsSince: 1}, fenceVersions{own: 1}, storeReading{at: time.Now()}, suspensions{})
		time.Sleep(10 * time.Second)
		leading := c.leading()
		c.term.Load().cancel()
		n.wg.Wait()
		require.False(t, leading)
	})
}

// A node that began to drain during its campaign led until its process ended, and the next leader
// waited for all leases.
func TestNodeThatDrainsDuringCampaignReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := nodeOfOneCell()
		n.draining.Store(true)
		n.startTerm(t.Context(), c, leaderRecord{Term: 1, LeaseRecordsSince: 1}, fenceVersions{own: 1}, storeReading{at: time.Now()}, suspensions{})
		time.Sleep(time.Second)
		c.term.Load().cancel()
		n.wg.Wait()
		time.Sleep(10 * time.Second) // calls of the store in flight end
		require.True(t, c.term.Load().stopping)
	})
}
