package control

import (
	"context"
	"crypto/sha256"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Append appends rec if expected is still the last sequence, and returns the sequence of
// rec. A record with a RequestID that was already appended is not appended again; Append
// returns its sequence.
//
// Errors: KindConflict when another record was appended first (the message names its actor
// and its effect) or when rec is not valid in the current state; KindInvalid and
// KindNotFound for an invalid record; KindUnknown when ctx ended before the result of a
// write with a lost response was known. In that case the caller retries with the same
// RequestID.
func (s *Store) Append(ctx context.Context, expected uint64, rec Record) (uint64, error) {
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if seq, done, err := s.checkAppend(ctx, expected, rec); done || err != nil {
		return seq, err
	}
	seq, err := s.appendAt(ctx, expected+1, rec)
	if !model.IsKind(err, model.KindFenced) {
		return seq, err
	}
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if seq, done, err := s.findRequest(rec); done || err != nil {
		return seq, err
	}
	return 0, s.conflict(ctx, expected)
}

// checkAppend compares expected with the last sequence and validates rec against the
// state. done is true when the request was already appended.
func (s *Store) checkAppend(ctx context.Context, expected uint64, rec Record) (seq uint64, done bool, err error) {
	if seq, done, err := s.findRequest(rec); done || err != nil {
		return seq, done, err
	}
	last := s.View().Sequence
	switch {
	case expected < last:
		return 0, false, s.conflict(ctx, expected)
	case expected > last:
		return 0, false, model.Errorf(model.KindInvalid, "read the current sequence (vpier status)",
			"sequence %d is above the last one, %d", expected, last)
	}
	return 0, false, s.checkRecord(rec)
}

func (s *Store) checkRecord(rec Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.check(rec, s.cfg.Decode)
}

// findRequest returns the sequence of an applied request. It returns KindConflict when the
// request ID was used for a different record.
func (s *Store) findRequest(rec Record) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.state.requests[rec.RequestID]
	switch {
	case !ok:
		return 0, false, nil
	case r.identity != rec.identity():
		return 0, false, model.Errorf(model.KindConflict, "choose a new request id",
			"request id %q was used at sequence %d: %s", rec.RequestID, r.seq, r.identity)
	}
	return r.seq, true, nil
}

// appendAt appends rec at seq and applies it to the view.
func (s *Store) appendAt(ctx context.Context, seq uint64, rec Record) (uint64, error) {
	rec, err := s.offloadText(ctx, rec)
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

// appendID derives the append ID from the request ID, so that a command that is retried
// through another node recognises its own row.
func appendID(requestID string, seq uint64) journal.AppendID {
	if requestID == "" {
		return journal.NewAppendID()
	}
	sum := sha256.Sum256([]byte(journal.SequenceRow(seq) + requestID))
	return journal.AppendID(sum[:16])
}

// conflict returns a KindConflict error that names the first record after expected.
func (s *Store) conflict(ctx context.Context, expected uint64) error {
	const remedy = "review the change (vpier history) and repeat the command if it still applies"
	entries, err := s.History(ctx, expected+1, 1)
	if err != nil || len(entries) == 0 {
		return model.Wrap(model.KindConflict, err, remedy, "another record was appended after sequence %d", expected)
	}
	winner := entries[0]
	return model.Errorf(model.KindConflict, remedy,
		"%s %s at sequence %d, after you read sequence %d", winner.Record.Actor, winner.Record.Describe(), winner.Sequence, expected)
}

// AppendMember appends a join or leave record at the next free sequence and retries when
// another record is appended concurrently. It does nothing when the node has already joined
// with the same address or has already left. Errors are those of Append, except for the
// conflict with a concurrent append.
func (s *Store) AppendMember(ctx context.Context, rec Record) (uint64, error) {
	if !rec.isMembership() || rec.kindCount() != 1 {
		return 0, model.Errorf(model.KindInvalid, "use Append", "the record is not a join or leave record")
	}
	for {
		if err := s.Refresh(ctx); err != nil {
			return 0, err
		}
		view := s.View()
		if seq, done := memberUpToDate(view, rec); done {
			return seq, nil
		}
		if err := s.checkRecord(rec); err != nil {
			return 0, err
		}
		seq, err := s.appendAt(ctx, view.Sequence+1, rec)
		if !model.IsKind(err, model.KindFenced) {
			return seq, err
		}
	}
}

// memberUpToDate reports whether the view already contains the effect of rec.
func memberUpToDate(v *View, rec Record) (uint64, bool) {
	if rec.MemberLeft != nil {
		_, present := v.Members[rec.MemberLeft.Node]
		return v.MembersSequence, !present
	}
	m, present := v.Members[rec.MemberJoined.Member.ID]
	want := rec.MemberJoined.Member
	return m.Since, present && m.Addr == want.Addr && m.DataCentre == want.DataCentre
}
