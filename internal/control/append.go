package control

import (
	"context"
	"crypto/sha256"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Append appends rec if seen is still the last sequence, and returns the
// sequence of rec. A record whose RequestID was appended before is not appended
// again; its sequence is returned.
//
// Errors: KindConflict when another record was appended first (the message names
// who did what) or when rec makes no sense after the records before it,
// KindInvalid and KindNotFound for a faulty record, KindUnknown when ctx ended
// before a lost answer was resolved; repeat with the same RequestID then.
func (s *Store) Append(ctx context.Context, seen uint64, rec Record) (uint64, error) {
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if seq, done, err := s.admit(ctx, seen, rec); done || err != nil {
		return seq, err
	}
	seq, err := s.write(ctx, seen+1, rec)
	if !model.IsKind(err, model.KindFenced) {
		return seq, err
	}
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if seq, done, err := s.appended(rec); done || err != nil {
		return seq, err
	}
	return 0, s.conflict(ctx, seen)
}

// admit compares seen and checks rec against the state. done is true when the
// request was appended before.
func (s *Store) admit(ctx context.Context, seen uint64, rec Record) (seq uint64, done bool, err error) {
	if seq, done, err := s.appended(rec); done || err != nil {
		return seq, done, err
	}
	last := s.View().Sequence
	switch {
	case seen < last:
		return 0, false, s.conflict(ctx, seen)
	case seen > last:
		return 0, false, model.Errorf(model.KindInvalid, "read the current sequence (vpier status)",
			"sequence %d is above the last one, %d", seen, last)
	}
	return 0, false, s.checkRecord(rec)
}

func (s *Store) checkRecord(rec Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.check(rec, s.cfg.Decode)
}

// appended looks up the sequence of a request that was applied. Errors:
// KindConflict when its id stood for something else.
func (s *Store) appended(rec Record) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.state.requests[rec.RequestID]
	switch {
	case !ok:
		return 0, false, nil
	case r.what != rec.identity():
		return 0, false, model.Errorf(model.KindConflict, "choose a new request id",
			"request id %q was used at sequence %d: %s", rec.RequestID, r.seq, r.what)
	}
	return r.seq, true, nil
}

// write appends rec at seq and applies it.
func (s *Store) write(ctx context.Context, seq uint64, rec Record) (uint64, error) {
	rec, err := s.storeText(ctx, rec)
	if err != nil {
		return 0, err
	}
	data, err := EncodeRecord(rec)
	if err != nil {
		return 0, err
	}
	batch := journal.Batch{AppendID: appendID(rec.RequestID, seq), Records: [][]byte{data}}
	if _, err := s.log.Append(ctx, seq, batch); err != nil {
		return 0, err
	}
	if seq%SnapshotEvery == 0 {
		s.mu.Lock()
		s.snapshotDue = true
		s.mu.Unlock()
	}
	return seq, s.applyAll(ctx, []Entry{{Sequence: seq, Record: rec}}, s.cfg.Now(), false)
}

// appendID derives the append id from the request id, so that a command repeated
// through another node recognises its own row.
func appendID(requestID string, seq uint64) journal.AppendID {
	if requestID == "" {
		return journal.NewAppendID()
	}
	sum := sha256.Sum256([]byte(journal.SequenceRow(seq) + requestID))
	return journal.AppendID(sum[:16])
}

// conflict names the first record after seen.
func (s *Store) conflict(ctx context.Context, seen uint64) error {
	const remedy = "review the change (vpier history) and repeat the command if it still applies"
	entries, err := s.History(ctx, seen+1, 1)
	if err != nil || len(entries) == 0 {
		return model.Wrap(model.KindConflict, err, remedy, "another record was appended after sequence %d", seen)
	}
	won := entries[0]
	return model.Errorf(model.KindConflict, remedy,
		"%s %s at sequence %d, after you read sequence %d", won.Record.Actor, won.Record.Describe(), won.Sequence, seen)
}

// AppendMember appends a join or leave record at the next sequence, whatever
// others append at the same time. A node that has already joined at the same
// address, or has already left, is left as it is. Errors: as for Append, but
// never a lost race.
func (s *Store) AppendMember(ctx context.Context, rec Record) (uint64, error) {
	if !rec.changesMembers() || rec.kinds() != 1 {
		return 0, model.Errorf(model.KindInvalid, "use Append", "the record is not a join or leave record")
	}
	for {
		if err := s.Refresh(ctx); err != nil {
			return 0, err
		}
		view := s.View()
		if seq, done := memberDone(view, rec); done {
			return seq, nil
		}
		if err := s.checkRecord(rec); err != nil {
			return 0, err
		}
		seq, err := s.write(ctx, view.Sequence+1, rec)
		if !model.IsKind(err, model.KindFenced) {
			return seq, err
		}
	}
}

// memberDone reports whether the view already shows the outcome of rec.
func memberDone(v *View, rec Record) (uint64, bool) {
	if rec.MemberLeft != nil {
		_, present := v.Members[rec.MemberLeft.Node]
		return v.MembersSequence, !present
	}
	m, present := v.Members[rec.MemberJoined.Member.ID]
	want := rec.MemberJoined.Member
	return m.Since, present && m.Addr == want.Addr && m.DataCentre == want.DataCentre
}
