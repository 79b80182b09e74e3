package e2e

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
)

// Guards against losing or duplicating joins, operator commands, submissions and placements
// when the store loses responses, is slow or returns stale rows.
func TestUnreliableStore(t *testing.T) {
	for name, fault := range map[string]standin.ServiceFault{
		"lost answers": {LoseResponse: 0.3},
		"slow":         {Slow: 300 * time.Millisecond},
		"stale reads":  {StaleReads: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := newEmptyCluster(t)
			c.platform.Faults().SetStore(fault)
			c.startNodes(3)
			jobs := c.submitOrders("troubled", 8, 3, 500)
			c.waitAllDone(jobs)
			require.Len(t, c.platform.Ledger().Ends(), 24, "each task runs once")
			c.requireNoViolations()
		})
	}
}

// Guards against task starts in a data centre that operators have taken out of service (R4,
// from 4 s after the record) while the store fails intermittently.
func TestDataCentreOutDuringStoreOutages(t *testing.T) {
	c := newCluster(t, 3)
	c.waitOwner("north.0", -1)
	c.waitOwner("south.0", -1)
	jobs := c.submitOrders("flicker", 10, 4, 1500)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for down := true; ; down = !down {
			c.platform.Faults().SetStore(standin.ServiceFault{Down: down, LoseResponse: 0.1})
			select {
			case <-stop:
				c.platform.Faults().SetStore(standin.ServiceFault{})
				return
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	c.command(c.node(1), "data-centres/north/out", "request-out", func(cmd adminapi.Command) any {
		return adminapi.DataCentreRequest{Command: cmd, Reason: "test"}
	})
	bound := time.Now().Add(4 * time.Second) // later than 4 s after the record itself
	jobs = append(jobs, c.submitOrders("during", 6, 4, 500)...)
	c.waitAllDone(jobs)
	close(stop)
	wg.Wait()
	c.waitAllDone(c.submitOrders("after", 4, 4, 100))
	require.Zero(t, c.platform.Ledger().StartsAfter("north", bound))
	c.requireNoViolations()
}

// Guards against two conflicting operator commands that both succeed, and against one that
// fails without a remedy in its error.
func TestConcurrentOperatorCommands(t *testing.T) {
	c := newCluster(t, 2)
	for round := range 5 {
		var view adminapi.ViewReply
		c.wait("both nodes have the same view", func() bool {
			var other adminapi.ViewReply
			c.readView(c.node(0), &view)
			c.readView(c.node(1), &other)
			return view.Sequence > 0 && view.Sequence == other.Sequence
		})
		direction := []string{"out", "in"}[round%2]
		codes, replies := make([]int, 2), make([]adminapi.ErrorReply, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				id := "race-request-" + string(rune('a'+2*round+i))
				body, _ := json.Marshal(adminapi.DataCentreRequest{Command: adminapi.Command{RequestID: id, SeenSequence: view.Sequence}, Reason: "race"})
				c.wait("a decision", func() bool { // a busy store may refuse; the request id makes retries safe
					codes[i], _, _ = doHTTP(t.Context(), http.MethodPost, "http://"+c.node(i).adminAddr+adminapi.Prefix+"data-centres/north/"+direction, operatorAuth, body, &replies[i])
					return codes[i] == http.StatusOK || codes[i] == http.StatusConflict
				})
			})
		}
		wg.Wait()
		won := 0
		if codes[1] == http.StatusOK {
			won = 1
		}
		require.Equal(t, http.StatusOK, codes[won], "%v %+v", codes, replies)
		require.Equal(t, http.StatusConflict, codes[1-won], "%v %+v", codes, replies)
		require.NotEmpty(t, replies[1-won].Remedy)
	}
}

// Guards against nodes that do not report the status of orders in a store outage.
func TestOrderStatusInOutage(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	jobs := c.submitOrders("status", 4, 2, 6000)
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 8 })
	c.platform.Faults().SetStore(standin.ServiceFault{Down: true})
	for _, job := range jobs {
		c.wait("status in the outage", func() bool {
			s, code := c.orderStatus(c.node(owner+1), job)
			return code == http.StatusOK && s.Tasks == 2
		})
	}
	c.platform.Faults().SetStore(standin.ServiceFault{})
	c.waitAllDone(jobs)
	c.requireNoViolations()
}
