package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards the bound that a later leader derives: whatever answers are lost and in whichever order the calls
// arrive, no confirmation of a majority is later than what the witnesses tell, and none comes after it.
func TestWitnessesBoundEachConfirmedLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, maxWitnesses).Draw(t, "witnesses")
		members := make([]confirmations, n)
		answered := map[int]time.Time{}
		now := epoch
		type request struct {
			sent    time.Time
			answers map[int]bool
		}
		var requests []*request
		var confirmed, bound time.Time
		bounded := false
		confirm := func(r *request, i int, answered bool) {
			if !members[i].confirm(1, now) || !answered {
				return
			}
			r.answers[i] = true
			if len(r.answers) >= majority(n) && r.sent.After(confirmed) {
				confirmed = r.sent
			}
		}
		reached := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				if bounded {
					require.False(t, confirmed.After(bound), "a majority confirmed at %v, the next leader knows of %v", confirmed, bound)
				}
			},
			"former leader asks": func(t *rapid.T) {
				r := &request{now, map[int]bool{}}
				requests = append(requests, r)
				for _, i := range reached.Draw(t, "witnesses") {
					confirm(r, i, true)
				}
			},
			"late request": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip("no request")
				}
				r := rapid.SampledFrom(requests).Draw(t, "request")
				confirm(r, rapid.IntRange(0, n-1).Draw(t, "witness"), rapid.Bool().Draw(t, "answered"))
			},
			"next leader asks": func(t *rapid.T) {
				for _, i := range reached.Draw(t, "witnesses") {
					if at := members[i].learnTerm(2); !bounded && rapid.Bool().Draw(t, "answered") {
						answered[i] = at
					}
				}
				if !bounded {
					bound, bounded = confirmedBy(n, slices.Collect(maps.Values(answered)))
				}
			},
		})
	})
}

// Guards outages and lost data centres against witnesses that are all gone together.
func TestWitnessesAreSpreadOverDataCentres(t *testing.T) {
	var offers []witnessOffer
	for i := range 12 {
		offers = append(offers, witnessOffer{Node: model.NodeID(fmt.Sprint("n", i)), Process: uint64(i + 1), DataCentre: model.DataCentre(fmt.Sprint("dc", i/4))})
	}
	inDC := func(members []witness) map[string]int {
		counts := map[string]int{}
		for _, m := range members {
			counts[fmt.Sprint("dc", (m.Process-1)/4)]++
		}
		return counts
	}
	members := chooseWitnesses(nil, offers, nil, "dc0")
	require.Equal(t, map[string]int{"dc0": 1, "dc1": 2, "dc2": 2}, inDC(members))
	require.Equal(t, members, chooseWitnesses(members, offers, map[uint64]int{members[0].Process: 1}, "dc0"), "one unanswered call")

	next := chooseWitnesses(members, offers, map[uint64]int{members[0].Process: maxUnansweredChecks}, "dc0")
	require.Len(t, next, maxWitnesses)
	require.NotContains(t, next, members[0])
	require.Subset(t, next, members[1:], "the others stay")
}

// Guards the leases of a term whose witnesses change: until the new ones are stored, the next leader may
// read the old ones.
func TestLeasesAreShortWhileWitnessesChange(t *testing.T) {
	old, other := []witness{{Node: "a", Process: 1}}, []witness{{Node: "b", Process: 2}}
	changed := func(w leaderWitnesses) leaderWitnesses {
		w.declare()
		return w
	}
	for name, c := range map[string]struct {
		w    leaderWitnesses
		want time.Duration
	}{
		"none":                     {leaderWitnesses{}, maxLeaseReach},
		"chosen":                   {leaderWitnesses{members: old}, maxLeaseReach},
		"on the way":               {leaderWitnesses{members: old, declared: old}, witnessedReach},
		"stored":                   {leaderWitnesses{members: old, declared: old, stored: old}, witnessedReach},
		"confirmed":                {leaderWitnesses{members: old, declared: old, stored: old, confirmedAt: at(2)}, 2*time.Second + witnessedReach},
		"confirmed for long":       {leaderWitnesses{members: old, declared: old, stored: old, confirmedAt: at(8)}, maxLeaseReach},
		"changing":                 {changed(leaderWitnesses{members: other, declared: old, stored: old, confirmedAt: at(2)}), witnessedReach},
		"being given up":           {changed(leaderWitnesses{declared: old, stored: old, confirmedAt: at(2)}), witnessedReach},
		"changing, both confirmed": {leaderWitnesses{members: other, declared: other, stored: old, confirmedAt: at(2)}, 2*time.Second + witnessedReach},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(1)
			tm.lastRenewal, tm.witnesses = at(0), c.w
			require.Equal(t, at(0).Add(c.want), tm.leaseReach())
		})
	}
}

// Guards confirmations while witnesses change: the next leader may read either set.
func TestConfirmationNeedsMajorityOfEachSet(t *testing.T) {
	w := func(names string) []witness {
		var set []witness
		for _, r := range names {
			set = append(set, witness{Node: model.NodeID(r), Process: uint64(r)})
		}
		return set
	}
	for _, c := range []struct {
		stored, declared, confirmed string
		want                        bool
	}{
		{"abc", "abc", "ab", true}, {"abc", "abc", "a", false}, {"abc", "cde", "ab", false}, {"abc", "cde", "de", false},
		{"abc", "cde", "ac", false}, {"abc", "cde", "acd", true}, {"", "abc", "bc", true}, {"abc", "", "bc", true}, {"", "", "abc", false},
		{"ab", "abcd", "ab", false}, {"ab", "abcd", "abc", true},
	} {
		confirmed := map[witness]bool{}
		for _, m := range w(c.confirmed) {
			confirmed[m] = true
		}
		s := leaderWitnesses{stored: w(c.stored), declared: w(c.declared)}
		require.Equal(t, c.want, s.confirmedByAll(confirmed), "%+v", c)
	}
}
