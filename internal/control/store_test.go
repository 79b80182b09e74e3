package control_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// rapidSeed makes the property tests reproducible. The flag -rapid.seed overrides it.
const rapidSeed = "20260418"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	flag.Parse()
	os.Exit(m.Run())
}

// decode decodes a text that is a list of data centres.
func decode(text string) (*declaration.Declaration, error) {
	d := &declaration.Declaration{}
	for _, name := range strings.Fields(text) {
		d.DataCentres = append(d.DataCentres, declaration.DataCentre{Name: model.DataCentre(name)})
	}
	if len(d.DataCentres) == 0 {
		return nil, model.Errorf(model.KindInvalid, "list a data centre", "empty declaration")
	}
	return d, nil
}

func newStore(n *journaltest.Node, id string) *control.Store {
	cfg := control.Config{Node: model.NodeID(id), Table: n, Objects: n.Objects(), Decode: decode, Now: n.Now}
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	return control.NewStore(cfg)
}

func proposed(digest, text, base string) control.Record {
	return control.Record{Actor: "ann", Proposed: &control.DeclarationProposed{Digest: digest, Text: text, Base: base}}
}

func accepted(digest string, seq uint64) control.Record {
	return control.Record{Actor: "board", Accepted: &control.DeclarationAccepted{Digest: digest, Proposal: seq}}
}

func out(dc string) control.Record {
	return control.Record{Actor: "bob", DataCentreOut: &control.DataCentreOut{DataCentre: model.DataCentre(dc)}}
}

func in(dc string) control.Record {
	return control.Record{Actor: "bob", DataCentreIn: &control.DataCentreIn{DataCentre: model.DataCentre(dc)}}
}

func joined(id string) control.Record {
	return control.Record{Actor: id, MemberJoined: &control.MemberJoined{Member: control.Member{ID: model.NodeID(id), Addr: id}}}
}

func left(id string) control.Record {
	return control.Record{Actor: id, MemberLeft: &control.MemberLeft{Node: model.NodeID(id)}}
}

// Guards against records that are not valid after the records before them, and against errors
// without a reason and a remedy.
func TestAppendRejectsInvalidRecords(t *testing.T) {
	s := newStore(journaltest.New().Node("a"), "a")
	steps := []struct {
		rec  control.Record
		kind model.Kind
		want string
	}{
		{out("gent"), model.KindNotFound, "no declaration is in force"},
		{proposed("d0", "", ""), model.KindInvalid, "correct the text"},
		{proposed("d1", "gent leuven", ""), "", ""}, // sequence 1
		{proposed("d2", "gent", ""), "", ""},        // sequence 2
		{proposed("d3", "gent leuven", ""), "", ""}, // sequence 3
		{accepted("d9", 9), model.KindNotFound, "not a proposal"},
		{accepted("d2", 1), model.KindConflict, "has digest d1"},
		{control.Record{Rejected: &control.DeclarationRejected{Digest: "d3", Proposal: 3}}, "", ""}, // sequence 4
		{accepted("d3", 3), model.KindConflict, "was rejected"},
		{accepted("d1", 1), "", ""}, // sequence 5
		{accepted("d1", 1), model.KindConflict, "is in force"},
		{accepted("d2", 2), model.KindConflict, "superseded"},
		{proposed("d4", "gent", "d0"), model.KindConflict, "vpier diff"},
		{out("durban"), model.KindNotFound, `no data centre "durban"`},
		{in("gent"), model.KindConflict, "in service already"},
		{out("gent"), "", ""}, // sequence 6
		{out("gent"), model.KindConflict, "out since sequence 6"},
		{out("leuven"), model.KindConflict, "last data centre in service"},
		{in("gent"), "", ""}, // sequence 7
		{control.Record{}, model.KindInvalid, "0 kinds"},
	}
	for i, step := range steps {
		_, err := s.Append(t.Context(), s.View().Sequence, step.rec)
		require.Equal(t, step.kind, model.KindOf(err), "step %d: %v", i, err)
		if step.want != "" {
			require.ErrorContains(t, err, step.want)
			require.ErrorContains(t, err, "remedy")
		}
	}
	require.EqualValues(t, 7, s.View().Sequence)
}

// Guards against a conflict error that does not name the actor of the other record, and
// against conflicting commands of two operators that both succeed.
func TestConcurrentOperators(t *testing.T) {
	store := journaltest.New()
	a, b := newStore(store.Node("a"), "a"), newStore(store.Node("b"), "b")
	_, err := a.Append(t.Context(), 0, proposed("d1", "gent leuven", ""))
	require.NoError(t, err)
	_, err = a.Append(t.Context(), 1, accepted("d1", 1))
	require.NoError(t, err)
	_, err = b.Append(t.Context(), 2, out("gent"))
	require.NoError(t, err)
	_, err = a.Append(t.Context(), 2, out("leuven"))
	require.Equal(t, model.KindConflict, model.KindOf(err))
	require.ErrorContains(t, err, "bob took data centre gent out of service at sequence 3")

	// Joins succeed despite concurrent appends.
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			_, err := newStore(store.Node("x"), "x").AppendMember(t.Context(), joined(fmt.Sprint("n", i)))
			require.NoError(t, err)
		})
	}
	wg.Wait()
	require.NoError(t, a.Refresh(t.Context()))
	require.Len(t, a.View().Members, 8)
}

// Guards against a command that is executed twice, or conflicts with itself, when it is
// retried after the response was lost.
func TestRetryAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.New()
		store.SetInject(func(op journaltest.Op) journaltest.Fault {
			return journaltest.Fault{LoseResponse: op.Write, Down: op.Name == "get"}
		})
		rec := proposed("d1", "gent", "")
		rec.RequestID = "q1"
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := newStore(store.Node("a"), "a").Append(ctx, 0, rec)
		require.Equal(t, model.KindUnknown, model.KindOf(err))
		store.SetInject(nil)
		other := newStore(store.Node("b"), "b")
		seq, err := other.Append(t.Context(), 0, rec)
		require.NoError(t, err)
		require.EqualValues(t, 1, seq)
		rec.Actor = "eve"
		_, err = other.Append(t.Context(), 1, rec)
		require.ErrorContains(t, err, "request id")
	})
}

// Guards against a peer that moves a view backwards or past a gap, or makes it appear fresher
// than it is.
func TestMergeRejectsGapsAndLowerSequences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.New()
		a, b := newStore(store.Node("a"), "a"), newStore(store.Node("b"), "b")
		for i := range 5 {
			_, err := a.AppendMember(t.Context(), joined(fmt.Sprint("n", i)))
			require.NoError(t, err)
		}
		require.Error(t, b.Merge(a.EntriesFrom(2, 9), 0))
		require.False(t, b.Fresh(time.Now()))
		require.NoError(t, b.Merge(a.EntriesFrom(1, 9), 1500*time.Millisecond))
		require.EqualValues(t, 5, b.View().Sequence)
		require.True(t, b.Fresh(time.Now()))
		require.Error(t, b.Merge(a.EntriesFrom(1, 3), 0))
		time.Sleep(time.Second)
		require.False(t, b.Fresh(time.Now()))
		b.Confirm(6, 0)
		require.False(t, b.Fresh(time.Now()), "a peer that is ahead confirms nothing")
		b.Confirm(5, newStore(store.Node("c"), "c").View().Age(time.Now())+time.Second)
		require.False(t, b.Fresh(time.Now()), "a peer that was never confirmed confirms nothing")
		b.Confirm(5, -time.Second)
		require.False(t, b.Fresh(time.Now()), "a negative age confirms nothing")
		b.Confirm(5, time.Second)
		require.True(t, b.Fresh(time.Now()))
	})
}

// Guards against a view that is confirmed after a partial page, when the store returns fewer
// rows than requested.
func TestRefreshReadsShortPages(t *testing.T) {
	store := journaltest.New()
	a, b := newStore(store.Node("a"), "a"), newStore(store.Node("b"), "b")
	for i := range 10 {
		_, err := a.AppendMember(t.Context(), joined(fmt.Sprint("n", i)))
		require.NoError(t, err)
	}
	store.MaxRangeRows = 3
	require.NoError(t, b.Refresh(t.Context()))
	require.EqualValues(t, 10, b.View().Sequence)
}

// Guards against a cache that large proposals fill beyond its limit, and against gaps between
// the cached entries.
func TestCacheIsBounded(t *testing.T) {
	s := newStore(journaltest.New().Node("a"), "a")
	text := "gent " + strings.Repeat(" ", 60<<10)
	for seq := range uint64(100) {
		_, err := s.Append(t.Context(), seq, proposed("d", text, ""))
		require.NoError(t, err)
	}
	require.Empty(t, s.EntriesFrom(1, 1000))
	cached := s.EntriesFrom(50, 1000)
	require.Len(t, cached, 51)
	require.EqualValues(t, 100, cached[50].Sequence)
}

// Guards against a starting node that reads the whole journal, and against a snapshot that
// loses part of the state.
func TestStartFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.New()
		a := newStore(store.Node("a"), "a")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = a.Run(ctx) }()
		long := "gent leuven " + strings.Repeat(" ", control.MaxInlineText)
		_, err := a.Append(ctx, 0, proposed("d1", long, ""))
		require.NoError(t, err)
		_, err = a.Append(ctx, 1, accepted("d1", 1))
		require.NoError(t, err)
		_, err = a.Append(ctx, 2, out("gent"))
		require.NoError(t, err)
		for i := range control.SnapshotEvery {
			_, err := a.AppendMember(ctx, joined(fmt.Sprint("n", i%50)))
			require.NoError(t, err)
			_, err = a.AppendMember(ctx, left(fmt.Sprint("n", (i+25)%50)))
			require.NoError(t, err)
		}
		time.Sleep(time.Minute)
		before, _ := store.Counts()
		b := newStore(store.Node("b"), "b")
		require.NoError(t, b.Refresh(ctx))
		after, _ := store.Counts()
		require.LessOrEqual(t, after-before, 5)
		want, got := *a.View(), *b.View()
		want.ConfirmedAt, got.ConfirmedAt = time.Time{}, time.Time{}
		require.Equal(t, want, got)
	})
}

// Guards against a view that moves backwards and against nodes whose views differ in the end,
// under stale reads, lost responses, store failures, restarts and concurrent appends.
func TestViewNeverMovesBackwards(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 10, 60).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = runSteps(seed, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func runSteps(seed uint64, steps []int) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	store := journaltest.New()
	var mu sync.Mutex
	store.SetInject(func(op journaltest.Op) journaltest.Fault {
		mu.Lock()
		defer mu.Unlock()
		f := journaltest.Fault{Delay: time.Duration(rng.Int64N(int64(100 * time.Millisecond)))}
		switch n := rng.IntN(20); {
		case n < 2:
			f.LoseResponse = op.Write
		case n < 4:
			f.Down = true
		case n < 6 && !op.Write:
			f.StaleCommits = rng.IntN(4)
		}
		return f
	})
	var stores [3]*control.Store
	var lastSeen [3]uint64
	for i := range stores {
		stores[i] = newStore(store.Node(fmt.Sprint(i)), fmt.Sprint(i))
	}
	for n, step := range steps {
		i, j := n%3, (n+1+step%2)%3
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		switch step {
		case 0:
			_, _ = stores[i].AppendMember(ctx, joined(fmt.Sprint("n", n)))
		case 1:
			_ = stores[i].Refresh(ctx)
		case 2, 3:
			age := stores[j].View().Age(time.Now())
			_ = stores[i].Merge(stores[j].EntriesFrom(stores[i].View().Sequence+1, 100), age)
			stores[i].Confirm(stores[j].View().Sequence, age)
		case 4:
			stores[i], lastSeen[i] = newStore(store.Node(fmt.Sprint(i)), fmt.Sprint(i)), 0
		case 5:
			other := stores[j]
			go func() { _, _ = other.AppendMember(ctx, joined(fmt.Sprint("m", n))) }()
			_, _ = stores[i].Append(ctx, stores[i].View().Sequence, joined(fmt.Sprint("o", n)))
		case 6:
			time.Sleep(3 * time.Second)
		}
		cancel()
		time.Sleep(time.Minute) // wait for the append in the background
		for k, s := range stores {
			if got := s.View().Sequence; got < lastSeen[k] {
				return fmt.Sprintf("node %d moved from %d to %d", k, lastSeen[k], got)
			}
			lastSeen[k] = s.View().Sequence
		}
	}
	store.SetInject(nil)
	for _, s := range stores {
		if err := s.Refresh(context.Background()); err != nil {
			return err.Error()
		}
		if a, b := s.View(), stores[0].View(); a.Sequence != b.Sequence || len(a.Members) != len(b.Members) {
			return fmt.Sprintf("nodes disagree: %+v and %+v", a, b)
		}
	}
	return ""
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []control.Record{proposed("d", "t", "b"), accepted("d", 1), out("x"), joined("n"), left("n")} {
		data, _ := control.EncodeRecord(r)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := control.DecodeRecord(data)
		if err != nil {
			require.NotEmpty(t, model.KindOf(err))
			return
		}
		again, err := control.EncodeRecord(r)
		require.NoError(t, err)
		decoded, err := control.DecodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, r, decoded)
	})
}

// Guards against a long text that replaces another one with the same digest. Texts that
// differ only in comments have the same digest.
func TestLongTextsWithSameDigest(t *testing.T) {
	store := journaltest.New()
	a := newStore(store.Node("a"), "a")
	pad := strings.Repeat(" ", control.MaxInlineText)
	for i, text := range []string{"gent leuven" + pad, "durban" + pad} {
		_, err := a.Append(t.Context(), uint64(i), proposed("d", text, ""))
		require.NoError(t, err)
	}
	_, err := a.Append(t.Context(), 2, accepted("d", 1))
	require.NoError(t, err)
	b := newStore(store.Node("b"), "b")
	require.NoError(t, b.Refresh(t.Context()))
	require.Len(t, b.View().Declaration.DataCentres, 2)
}

// Guards against workers that move to another cell while tasks run on them (R1). A data
// centre in service must not be removed, and its number of cells must not change.
func TestCellsInServiceCannotChange(t *testing.T) {
	s := newStore(journaltest.New().Node("a"), "a")
	for _, step := range []struct {
		rec  control.Record
		kind model.Kind
	}{
		{proposed("d1", "gent leuven", ""), ""},
		{accepted("d1", 1), ""},
		{proposed("d2", "gent", "d1"), ""}, // sequence 3
		{accepted("d2", 3), model.KindConflict},
		{out("leuven"), ""},
		{accepted("d2", 3), ""},
	} {
		_, err := s.Append(t.Context(), s.View().Sequence, step.rec)
		require.Equal(t, step.kind, model.KindOf(err), "%s: %v", step.rec.Describe(), err)
	}
}
