package adminapi

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// historyPage is the number of entries read from the journal at once.
	historyPage = 500
	// maxHistoryEntries is the largest number of entries in one response.
	maxHistoryEntries = 1000
	// maxScannedEntries bounds the entries read to find a request id.
	maxScannedEntries = 20_000
)

// view returns the node's view of the control journal.
func (s *server) view(*http.Request, string) (any, error) {
	v, err := s.viewAt(0)
	if err != nil {
		return nil, err
	}
	members := slices.Collect(maps.Values(v.Members))
	slices.SortFunc(members, func(a, b control.Member) int { return cmp.Compare(a.ID, b.ID) })
	return ViewReply{
		Sequence: v.Sequence, ConfirmedAgeMS: v.Age(s.deps.Now()).Milliseconds(),
		AcceptedSequence: v.AcceptedSequence, Digest: v.Digest,
		Declaration: v.Declaration, Out: v.Out, Members: members,
	}, nil
}

// status returns the node's state.
func (s *server) status(r *http.Request, _ string) (any, error) {
	return s.deps.Status.Status(r.Context())
}

// cluster returns the states of all nodes that respond to this one, or that of this
// node alone when Status does not implement Cluster.
func (s *server) cluster(r *http.Request, _ string) (any, error) {
	if c, ok := s.deps.Status.(Cluster); ok {
		return c.Cluster(r.Context())
	}
	status, err := s.deps.Status.Status(r.Context())
	return ClusterStatus{Nodes: []NodeStatus{status}}, err
}

// history returns entries of the journal: up to limit entries starting at sequence
// from, or the entry with a request id. Declaration texts are left out unless
// texts=true, because a page with texts may have tens of megabytes.
func (s *server) history(r *http.Request, _ string) (any, error) {
	from, err := queryNumber(r, "from", 1, 1<<62)
	if err != nil {
		return nil, err
	}
	if id := r.URL.Query().Get("request_id"); id != "" {
		return s.findRequest(r.Context(), from, id)
	}
	limit, err := queryNumber(r, "limit", 100, maxHistoryEntries)
	if err != nil {
		return nil, err
	}
	entries, err := s.deps.Control.History(r.Context(), from, int(limit))
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Entries: make([]control.Entry, len(entries))}
	for i, entry := range entries {
		reply.Entries[i] = entry
		if reply.Entries[i].Record, err = s.withText(r.Context(), entry.Record, r.URL.Query().Get("texts") == "true"); err != nil {
			return nil, err
		}
	}
	if len(entries) == int(limit) {
		reply.Next = entries[len(entries)-1].Sequence + 1
	}
	return reply, nil
}

// withText returns a copy of rec with the text of its declaration if wanted is true,
// and without it otherwise.
func (s *server) withText(ctx context.Context, rec control.Record, wanted bool) (control.Record, error) {
	if rec.Proposed == nil {
		return rec, nil
	}
	proposed := *rec.Proposed
	rec.Proposed = &proposed
	if !wanted {
		proposed.Text = ""
		return rec, nil
	}
	text, err := s.loadText(ctx, &proposed)
	proposed.Text = string(text)
	return rec, err
}

// findRequest returns the entry with a request id. Next is set when the search stopped
// before the end of the journal.
func (s *server) findRequest(ctx context.Context, from uint64, id string) (HistoryReply, error) {
	for scanned := 0; scanned < maxScannedEntries; scanned += historyPage {
		entries, err := s.deps.Control.History(ctx, from, historyPage)
		if err != nil {
			return HistoryReply{}, err
		}
		for _, entry := range entries {
			if entry.Record.RequestID == id {
				entry.Record, err = s.withText(ctx, entry.Record, false)
				return HistoryReply{Entries: []control.Entry{entry}}, err
			}
		}
		if len(entries) < historyPage {
			return HistoryReply{}, nil
		}
		from = entries[len(entries)-1].Sequence + 1
	}
	return HistoryReply{Next: from}, nil
}

// queryNumber parses a number from 1 to high from the query and returns fallback when
// it is absent.
func queryNumber(r *http.Request, name string, fallback, high uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 || n > high {
		return 0, model.Errorf(model.KindInvalid, "write a whole number from 1 to "+strconv.FormatUint(high, 10), "%s=%q", name, text)
	}
	return n, nil
}
