package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/scheduler"
	"github.com/vanillapier/vanillapier/internal/share"
)

// testSettings returns valid settings whose platform addresses refuse connections.
func testSettings() Settings {
	s := DefaultSettings()
	s.DataCentre, s.PeerPlaintext = "north", true
	s.Listen, s.AdminBind, s.PeerBind = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.TableURL, s.ObjectsURL, s.HostsURL = "http://127.0.0.1:1", "http://127.0.0.1:1", "http://127.0.0.1:1"
	return s
}

func testLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Guards against invalid settings that are accepted, or reported without the setting's name
// and a remedy.
func TestValidate(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for name, change := range map[string]func(*Settings){
		"--data-centre":     func(s *Settings) { s.DataCentre = "" },
		"--listen":          func(s *Settings) { s.Listen = "8080" },
		"--admin-listen":    func(s *Settings) { s.AdminBind = "localhost:1" },
		"--peer-listen":     func(s *Settings) { s.PeerBind = "" },
		"--advertise":       func(s *Settings) { s.Advertise = "10.0.0.1:0" },
		"--seeds":           func(s *Settings) { s.Seeds = "10.0.0.1:1, host:2" },
		"--table-url":       func(s *Settings) { s.TableURL = "ftp://10.0.0.1" },
		"--objects-url":     func(s *Settings) { s.ObjectsURL = "" },
		"--hosts-url":       func(s *Settings) { s.HostsURL = "http://" },
		"--peer-ca":         func(s *Settings) { s.PeerPlaintext = false },
		"--peer-plaintext":  func(s *Settings) { s.PeerCert = missing },
		"--peer-cert":       func(s *Settings) { s.PeerPlaintext, s.PeerCA, s.PeerCert, s.PeerKey = false, missing, missing, missing },
		"--admin-cert":      func(s *Settings) { s.AdminKey = missing },
		"--admin-client-ca": func(s *Settings) { s.AdminClientCA = missing },
		"--operator-tokens": func(s *Settings) { s.OperatorTokens = missing },
		"--drain-wait":      func(s *Settings) { s.DrainWait = -1 },
		"--stop-timeout":    func(s *Settings) { s.StopTimeout = 0 },
		"--commit-interval": func(s *Settings) { s.CommitEvery = time.Minute },
		"--cell-lease":      func(s *Settings) { s.CellLease = time.Hour },
		"--task-lease":      func(s *Settings) { s.TaskLease = time.Millisecond },
		"--hosts-interval":  func(s *Settings) { s.HostsEvery = 0 },
		"--store-timeout":   func(s *Settings) { s.StoreTimeout = s.CellLease },
		"--store-writes":    func(s *Settings) { s.StoreWrites = 0 },
		"--store-reads":     func(s *Settings) { s.StoreReads = -1 },
	} {
		s := testSettings()
		require.NoError(t, s.Validate())
		change(&s)
		err := s.Validate()
		require.ErrorContains(t, err, name)
		require.ErrorContains(t, err, "remedy: ")
		require.True(t, model.IsKind(err, model.KindInvalid), name)
	}
}

// Guards against listeners that stay open after a failed start.
func TestFailedStartClosesListeners(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	s := testSettings()
	s.Listen, s.PeerBind = free.Addr().String(), held.Addr().String()
	_, err = New(s, testLog())
	require.ErrorContains(t, err, "--peer-listen")
	require.NoError(t, held.Close())
	again, err := net.Listen("tcp", s.Listen)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}

// Guards against a node that reports ready before it has joined, without a declaration, or
// while it stops. The tests of internal/e2e cover nodes that become ready.
func TestReadiness(t *testing.T) {
	n, err := New(testSettings(), testLog())
	require.NoError(t, err)
	defer n.closeListeners()
	require.Contains(t, n.notReady(), "not joined")
	n.joined.Store(true)
	require.Contains(t, n.notReady(), "no accepted declaration")
	n.stopping.Store(true)
	require.Contains(t, n.notReady(), "stopping")
}

// Guards against a digest that exceeds its limit, is dropped as a whole, or lacks confirmations
// or slot shares, without which slots are never reassigned.
func TestDigestFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Digest{
			Sequence: 7, ConfirmedAge: 5, Owned: map[model.CellID]model.Epoch{},
			Load:  request.Load{Services: map[model.ServiceName]request.ServiceLoad{}},
			Share: share.Digest{Sequence: 3, Acks: map[model.NodeID]share.Ack{"n": {Sequence: 3}}},
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "cells") {
			id := model.CellID(fmt.Sprintf("data-centre.%d", i))
			d.Owned[id] = model.Epoch(i)
			d.Cells = append(d.Cells, scheduler.CellSummary{ID: id})
		}
		for i := range rapid.IntRange(0, 300).Draw(t, "leaving") {
			d.Leaving = append(d.Leaving, fmt.Sprintf("runner-%d", i))
		}
		for i := range rapid.IntRange(0, 9).Draw(t, "services") {
			d.Load.Services[model.ServiceName(fmt.Sprintf("service-%d", i))] = request.ServiceLoad{Used: i}
		}
		data, err := d.encode(1024)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 1024)
		var got Digest
		require.NoError(t, json.Unmarshal(data, &got))
		require.Equal(t, uint64(7), got.Sequence)
		require.Equal(t, d.Share, got.Share)
		if len(got.Cells) > 0 {
			require.Len(t, got.Leaving, len(d.Leaving), "summaries of cells must be removed before leaving runners")
		}
	})
}

// Guards against a digest that is sent incomplete, instead of an error, when confirmations and
// slot shares alone exceed the limit.
func TestDigestCannotShrink(t *testing.T) {
	d := Digest{Leaving: []string{"a"}}
	_, err := d.encode(10)
	require.True(t, model.IsKind(err, model.KindExhausted))
}

// Guards against renewals when this node is partitioned from the others while the store is up:
// another node may have taken over the cell.
func TestRenewableCellsNeedMajority(t *testing.T) {
	owned := map[model.CellID]model.Epoch{"a": 1}
	confirmed, without, newer := memberState{Confirmed: true}, memberState{}, memberState{Newer: []model.CellID{"a"}}
	for _, test := range []struct {
		members int
		answers []memberState
		renew   bool
	}{
		{1, nil, true},
		{2, nil, false},
		{3, nil, false},
		{3, []memberState{without}, true},
		{3, []memberState{confirmed, without}, true},
		{3, []memberState{confirmed, confirmed}, false},
		{3, []memberState{without, newer}, false},
		{4, []memberState{without}, false},
		{4, []memberState{without, without}, true},
	} {
		require.Equal(t, test.renew, len(renewableCells(owned, test.answers, test.members)) == 1, "%+v", test)
	}
}

// Guards against renewals after memberStateTTL or under a superseded epoch.
func TestEpochTable(t *testing.T) {
	now, table := time.Now(), newEpochTable()
	require.True(t, table.learn("a", 2))
	require.False(t, table.learn("a", 1))
	require.True(t, table.learn("a", 2))
	require.Equal(t, []model.CellID{"a"}, table.newer(map[model.CellID]model.Epoch{"a": 1, "b": 1}))
	require.False(t, table.outageRenewalAllowed("a", 2, now))
	table.allowOutageRenewal("a", now.Add(memberStateTTL))
	require.True(t, table.outageRenewalAllowed("a", 2, now))
	require.False(t, table.outageRenewalAllowed("a", 1, now))
	require.False(t, table.outageRenewalAllowed("a", 2, now.Add(memberStateTTL)))
	table.acknowledge("a", 2)
	require.False(t, table.isAcknowledged("a", 3), "an acknowledgement holds for its epoch only")
}

// Guards against jobs sent to a data centre out of service, to a cell whose owner cannot be
// reached, or to a cell whose workers are too small.
func TestHomeCell(t *testing.T) {
	view := &control.View{Declaration: &declaration.Declaration{DataCentres: []declaration.DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}}}}
	view.Out = map[model.DataCentre]uint64{"c": 1}
	small, large := model.Resources{MilliCPU: 1000, MemoryMB: 1000}, model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	summaries := []scheduler.CellSummary{{ID: "a.0", Largest: large, Free: small}, {ID: "b.0", Largest: small, Free: large}}
	o := &orders{view: func() *control.View { return view }, cells: func() []scheduler.CellSummary { return summaries }, avoidUntil: map[model.CellID]time.Time{}}
	chosen := func(needs model.Resources) map[model.CellID]int {
		count := map[model.CellID]int{}
		for i := range 64 {
			id := model.JobID(request.ClaimRow(fmt.Sprint(i))) // the id of an order with this key
			home, err := o.HomeCell(model.JobSpec{ID: id, Tasks: []model.TaskSpec{{Resources: needs}}})
			require.NoError(t, err)
			count[home]++
		}
		return count
	}
	both := chosen(small)
	require.Len(t, both, 2)
	require.Greater(t, both["b.0"], both["a.0"], "the cell with more free CPU gets more")
	require.Equal(t, map[model.CellID]int{"a.0": 64}, chosen(large))
	o.avoidUntil["b.0"] = time.Now().Add(time.Hour)
	require.Equal(t, map[model.CellID]int{"a.0": 64}, chosen(small))
	o.avoidUntil["a.0"] = o.avoidUntil["b.0"]
	require.Len(t, chosen(small), 2, "if no owner is reachable, all cells are candidates")
	view.Out = map[model.DataCentre]uint64{"a": 1, "b": 1, "c": 1}
	_, err := o.HomeCell(model.JobSpec{ID: "x"})
	require.True(t, model.IsKind(err, model.KindUnavailable))
}

// Guards against borrowed slots that are returned early or twice, and against attempts to
// return them that never end.
func TestReturnEndedLeases(t *testing.T) {
	n, err := New(testSettings(), testLog())
	require.NoError(t, err)
	defer n.closeListeners()
	now := time.Now()
	lease := share.Lease{Runners: []model.RunnerID{"r1", "r1", "r2"}}
	require.Equal(t, []model.RunnerID{"r1"}, subtractRunners(lease.Runners, []model.RunnerID{"r1", "r2"}))
	running := &borrowedLease{lease: lease, addr: "127.0.0.1:1", until: now.Add(time.Hour)}
	ended := &borrowedLease{lease: lease, addr: "127.0.0.1:1", until: now, returnAttempts: maxReturnAttempts - 1}
	require.Equal(t, []*borrowedLease{running}, n.returnEndedLeases(t.Context(), []*borrowedLease{running, ended}, now))
	require.Zero(t, running.returnAttempts)
	lease.Runners = []model.RunnerID{"r1"}
	lease.Service, lease.ID, lease.Lender, lease.For = "svc", 1, "n2", time.Minute
	n.shares.Borrow(lease, now)
	unheard := &borrowedLease{lease: lease, addr: "127.0.0.1:1", until: now}
	require.Equal(t, []*borrowedLease{unheard}, n.returnEndedLeases(t.Context(), []*borrowedLease{unheard}, now))
	require.Equal(t, lease.Runners, unheard.unsent, "the lender has not heard of the returned slots")
	require.Empty(t, n.borrow(t.Context()), "no slots must be borrowed without waiting requests")
}

// Guards against the removal of members whose hosts the platform still lists or has never
// listed.
func TestHostRemoved(t *testing.T) {
	listed := []external.Host{{ID: "e", Role: external.RoleEntry, Addr: "10.0.0.1:1"}, {ID: "w", Role: external.RoleWorker, Addr: "10.0.0.2:1"}}
	source := &fakeHosts{hosts: listed}
	h := newHostCache(source, testLog())
	require.False(t, h.Removed("10.0.0.1:9"))
	require.NoError(t, h.refresh(t.Context()))
	require.False(t, h.Removed("10.0.0.1:9"))
	source.hosts = nil
	source.err = os.ErrDeadlineExceeded
	require.Error(t, h.refresh(t.Context()))
	require.False(t, h.Removed("10.0.0.1:9"), "a failed read must not remove hosts")
	source.err = nil
	require.NoError(t, h.refresh(t.Context()))
	require.True(t, h.Removed("10.0.0.1:9"))
	require.False(t, h.Removed("10.0.0.2:1"))
}
