package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// witnessPeers are peers of which those in up confirm each request; the others do not answer.
type witnessPeers struct {
	Peers
	mu    sync.Mutex
	up    map[string]uint64
	asked []string
}

func (p *witnessPeers) Call(ctx context.Context, addr, _ string, _, result any) error {
	p.mu.Lock()
	process, up := p.up[addr]
	p.asked = append(p.asked, addr)
	p.mu.Unlock()
	if !up {
		<-ctx.Done()
		return ctx.Err()
	}
	data, _ := json.Marshal(witnessReply{Process: process, Confirmed: true})
	return json.Unmarshal(data, result)
}

func (p *witnessPeers) set(up map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = up
}

// runWitnessCalls runs a loaded term without a store, whose witnesses are called, in steps of a tick.
func runWitnessCalls(tm *term, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tickInterval)
		tm.readClock()
		tm.askWitnesses()
		synctest.Wait()
		for {
			e, waiting := tm.events.pop(0)
			if !waiting {
				break
			}
			tm.handleQueued(e)
		}
	}
	time.Sleep(notifyTimeout) // the last calls end
	synctest.Wait()
}

func offerOf(node string, process uint64) witnessOffer {
	return witnessOffer{Node: model.NodeID(node), Process: process, Addr: node, DataCentre: model.DataCentre("dc-" + node)}
}

// A witness that offered itself just as the store fell silent was asked in place of the stored ones, and no
// confirmation held until the store answered again: leases ended 5.5 s after the last renewal.
func TestConfirmationsHoldWhileAnotherWitnessIsChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(1)
		peers := &witnessPeers{up: map[string]uint64{"a": 1, "b": 2, "c": 3}}
		tm.cfg.Peers, tm.now, tm.lastRenewal = peers, time.Now(), time.Now()
		offerOf("a", 1).handle(tm)
		offerOf("b", 2).handle(tm)
		tm.witnesses.stored = tm.witnesses.declare()
		offerOf("c", 3).handle(tm)
		runWitnessCalls(tm, 3*time.Second)
		require.Less(t, tm.now.Sub(tm.witnesses.confirmedAt), time.Second, "both stored witnesses confirm")
	})
}

// A process that had left two calls without an answer was no witness of the term ever again: after one cut
// of the leader's links all nodes of a small fleet were lost as witnesses until the next change of leader.
func TestLostWitnessesReturnOnceTheyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(1)
		all := map[string]uint64{"a": 1, "b": 2, "c": 3}
		peers := &witnessPeers{up: all}
		tm.cfg.Peers, tm.now, tm.lastRenewal = peers, time.Now(), time.Now()
		for _, node := range []string{"a", "b", "c"} {
			offerOf(node, all[node]).handle(tm)
		}
		peers.set(nil)
		runWitnessCalls(tm, 2*witnessCheckInterval+2*time.Second)
		require.Empty(t, tm.witnesses.members)
		peers.set(all)
		runWitnessCalls(tm, witnessCheckInterval+2*time.Second)
		require.Equal(t, []model.NodeID{"a", "b", "c"}, nodesOf(tm.witnesses.members))
	})
}

// Guards the place of a witness that answers against another one that does not.
func TestWitnessThatDoesNotAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(1)
		peers := &witnessPeers{up: map[string]uint64{"a": 1, "c": 3}}
		tm.cfg.Peers, tm.now, tm.lastRenewal = peers, time.Now(), time.Now()
		for i, node := range []string{"a", "b", "c"} {
			offerOf(node, uint64(i+1)).handle(tm)
		}
		runWitnessCalls(tm, 4*witnessCheckInterval)
		require.Equal(t, []model.NodeID{"a", "c"}, nodesOf(tm.witnesses.members))
		require.True(t, slices.Contains(peers.asked, "b"))
	})
}

// Two requests at once were recorded in the order in which they got the lock: the earlier time replaced the
// later one, and the next leader took the last confirmation for older than it was.
func TestWitnessKeepsItsLatestConfirmation(t *testing.T) {
	var c confirmations
	require.True(t, c.confirm(1, at(2)))
	require.True(t, c.confirm(1, at(1)))
	require.Equal(t, at(2), c.learnTerm(2))
}
