package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// scriptedStore answers transactions with the given errors, in order, and the last one again.
type scriptedStore struct {
	Store
	errs []error
}

func (s *scriptedStore) Commit(context.Context, Transaction) (Commit, error) {
	err := s.errs[0]
	if len(s.errs) > 1 {
		s.errs = s.errs[1:]
	}
	return Commit{Version: 1}, err
}

// noPeers reaches no other node.
type noPeers struct{ Peers }

func (noPeers) Handle(string, func(context.Context, json.RawMessage) (any, error)) {}
func (noPeers) Call(context.Context, string, string, any, any) error {
	return errors.New("unreachable")
}

// A lost store answers again while a submission in doubt waits for it. What the submission is
// told must hold for all of its attempts.
func TestAnswerAfterAttemptInDoubt(t *testing.T) {
	broken := model.Errorf(model.KindUnknown, "repeat", "connection reset")
	busy := model.Errorf(model.KindUnavailable, "retry later", "busy")
	invalid := model.Errorf(model.KindInvalid, "report", "bad transaction")
	for name, c := range map[string]struct {
		errs     []error
		regained bool
		want     model.Kind // empty for an accepted job
	}{
		"accepted by the second":    {[]error{broken, nil}, true, ""},
		"refused by the second":     {[]error{broken, busy}, true, model.KindUnknown},
		"in doubt again":            {[]error{broken, broken}, true, model.KindUnknown},
		"invalid":                   {[]error{invalid}, true, model.KindInvalid},
		"the store stays away":      {[]error{broken}, false, model.KindUnknown},
		"refused without any doubt": {[]error{busy}, false, model.KindUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(t.Output())
				n := NewNode(Config{Node: "n", Store: &scriptedStore{errs: c.errs}, Peers: noPeers{}, Log: logrus.NewEntry(log), Metrics: telemetry.NewMetrics("test")})
				n.cellTable.Store(&cellTable{layout: newLayout(1, nil), cells: []*cell{{}}})
				for range lostThreshold {
					n.store.recordFailure()
				}
				if c.regained {
					time.AfterFunc(100*time.Millisecond, n.recordStoreAnswer)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				begun := time.Now()
				err := n.Submit(ctx, Queue{Objective: time.Second}, "00000000000000aa", Spec{Steps: []Step{{Count: 1}}})
				if c.want == "" {
					require.NoError(t, err)
				} else {
					require.Equal(t, c.want, model.KindOf(err), "%v", err)
				}
				require.LessOrEqual(t, time.Since(begun), 750*time.Millisecond, "a quarter of the caller's time")
			})
		})
	}
}
