package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// partlyDownStore answers reads of one key only; the others get no answer.
type partlyDownStore struct {
	Store
	key string
}

func (s partlyDownStore) List(ctx context.Context, _, _, from, _ string, _ int) (Page, error) {
	if from == s.key {
		return Page{Version: 1}, nil
	}
	<-ctx.Done()
	return Page{}, model.Wrap(model.KindUnknown, ctx.Err(), "retry later", "no answer")
}

// Jobs whose cancellations could be read waited for good behind jobs whose could not.
func TestUnreadableCancellationsDelayNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(2)
		var ids []string
		for i := range 4 * maxConcurrentRereads {
			id := fmt.Sprintf("%016x", i)
			ids = append(ids, id)
			j := newJob(id, jobRecord{Queue: "q", PreviousCells: []int{1}, Spec: Spec{Steps: []Step{{Count: 1}}}}, 1, epoch)
			j.cancellationUnread = true
			tm.jobs[id] = j
		}
		last := ids[len(ids)-1]
		tm.cfg.Store = partlyDownStore{key: tm.layout.cancelRow(last).Key}
		begun := time.Now()
		tm.readCancellations(ids)
		timeout := time.After(time.Minute)
		for tm.jobs[last].cancellationUnread {
			select {
			case e := <-tm.events[classState]:
				e.event.handle(tm)
			case <-timeout:
				t.Fatal("the cancellation is not read")
			}
		}
		require.LessOrEqual(t, time.Since(begun), 4*readTimeout, "one turn of the reads")
		require.True(t, tm.jobs[ids[0]].cancellationUnread)
		tm.cancel()
		time.Sleep(2 * readTimeout)
	})
}

// Guards against a read of the store for each task that other cells lend to a new leader, and against one that is
// left out although the cancellation came before the leader's watch.
func TestCancellationsSinceTheWatchBeganAreNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		acceptedAt time.Duration
		read       bool
	}{"accepted before": {99 * time.Second, true}, "accepted later": {101 * time.Second, false}, "unknown": {0, true}} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(2)
			tm.cfg.Store, tm.loaded, tm.jobsReadAt = emptyStore{}, true, 100*time.Second
			tm.addJob(Row{RowID: RowID{Key: jobName}}, jobRecord{Queue: "q", AcceptedAt: c.acceptedAt, PreviousCells: []int{1}, Spec: Spec{Steps: []Step{{Count: 1}}}}, nil, 0)
			require.Equal(t, c.read, tm.jobs[jobName].cancellationUnread)
			jobRows{fullVersion: 1, storeNow: 110 * time.Second}.handle(tm)
			require.Equal(t, 110*time.Second, tm.jobsReadAt, "changes between two full reads may be missing")
		})
	}
}
