package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// maxRebases bounds how often a command is retried after member records.
	maxRebases = 8
	// retryInterval is the delay before a command reads the journal again.
	retryInterval = 50 * time.Millisecond
	// requestWindow is the number of records before SeenSequence in which a request
	// id is still recognised, for a client that read the journal again before it
	// repeated a command. At 15,000 changes a day it covers about 19 minutes and
	// needs one read of the journal.
	requestWindow = 200
	// maxResolveReads bounds the reads that resolve an append with an unknown result.
	maxResolveReads = 3
)

// requestIDPattern matches valid request ids.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// readJSON decodes the body of a command.
func readJSON(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil && dec.Decode(&struct{}{}) != io.EOF {
		err = errors.New("data after the JSON value")
	}
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "send one JSON object with the documented fields, within the size limit", "body of the command")
	}
	return nil
}

// check validates the fields that all commands share.
func (c Command) check() error {
	if !requestIDPattern.MatchString(c.RequestID) {
		return model.Errorf(model.KindInvalid, "send 8 to 64 letters, digits and hyphens, the same for each repetition", "the request id is not valid")
	}
	return nil
}

// command is a command sent by an authenticated operator.
type command struct {
	Command
	actor string
	// plan checks the command against a view and returns the record to append. It
	// has no side effects except storing a text by digest, which is idempotent, so it
	// can run again on a later view.
	plan func(ctx context.Context, v *control.View) (control.Record, error)
	// matches reports whether rec is the record that this command writes.
	matches func(rec control.Record) bool
}

// run executes a command: it plans against the current view, then appends at the
// view's sequence. Records of members that joined or left since SeenSequence do not
// affect the decision, so the command is planned again after them. Any other record
// is a conflict.
func (s *server) run(ctx context.Context, cmd command) (CommandReply, error) {
	if err := cmd.check(); err != nil {
		return CommandReply{}, err
	}
	for range maxRebases {
		v, err := s.viewAt(cmd.SeenSequence)
		if err != nil {
			return CommandReply{}, err
		}
		if reply, done, err := s.checkConflict(ctx, cmd); done || err != nil {
			return reply, err
		}
		rec, err := cmd.plan(ctx, v)
		if err != nil {
			return CommandReply{}, err
		}
		rec.Actor, rec.At, rec.RequestID = cmd.actor, s.deps.Now().UnixMilli(), cmd.RequestID
		seq, err := s.deps.Control.Append(ctx, v.Sequence, rec)
		if err == nil {
			s.logCommand(rec, seq)
			return replyFor(control.Entry{Sequence: seq, Record: rec}), nil
		}
		if !model.IsKind(err, model.KindConflict) {
			return s.resolve(ctx, cmd, err)
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return CommandReply{}, err
		}
	}
	return CommandReply{}, model.Errorf(model.KindUnavailable, "repeat the command", "the journal changed %d times while the command ran; nothing was changed", maxRebases)
}

// viewAt returns the node's view, or an error when it does not include sequence seen.
func (s *server) viewAt(seen uint64) (*control.View, error) {
	v := s.deps.Control.View()
	if v == nil {
		return nil, model.Errorf(model.KindStale, "wait until the node is ready or ask another node", "the node has no view yet")
	}
	if v.Sequence < seen {
		return nil, model.Errorf(model.KindStale, "repeat the command in a second or ask another node",
			"the node has applied sequence %d and the command has seen %d", v.Sequence, seen)
	}
	return v, nil
}

// checkConflict reads the records from shortly before SeenSequence on. It returns the
// reply and true when the command's own record is among them, and a conflict error
// when another operator's record follows SeenSequence.
func (s *server) checkConflict(ctx context.Context, cmd command) (CommandReply, bool, error) {
	var winner *control.Entry
	from := uint64(1)
	if cmd.SeenSequence > requestWindow {
		from = cmd.SeenSequence - requestWindow
	}
	for {
		entries, err := s.deps.Control.History(ctx, from, historyPage)
		if err != nil {
			return CommandReply{}, false, err
		}
		for _, entry := range entries {
			if entry.Record.RequestID == cmd.RequestID {
				return duplicateReply(entry, cmd)
			}
			if winner == nil && entry.Sequence > cmd.SeenSequence && !isMemberRecord(entry.Record) {
				winner = &entry
			}
		}
		if len(entries) < historyPage {
			break
		}
		from = entries[len(entries)-1].Sequence + 1
	}
	if winner != nil {
		return CommandReply{}, false, newConflictError(*winner)
	}
	return CommandReply{}, false, nil
}

// duplicateReply returns the reply to a command whose request id is already in the
// journal. The error is of kind conflict when the id belongs to another command.
func duplicateReply(entry control.Entry, cmd command) (CommandReply, bool, error) {
	if entry.Record.Actor != cmd.actor || !cmd.matches(entry.Record) {
		return CommandReply{}, false, model.Errorf(model.KindConflict, "use another request id",
			"the request id was used for another command: %s %s as sequence %d", entry.Record.Actor, DescribeAction(entry.Record), entry.Sequence)
	}
	reply := replyFor(entry)
	reply.Repeated = true
	return reply, true, nil
}

// resolve reads the journal after an append whose result is unknown. A read that
// finds no record does not prove that nothing was written, because the write may
// still be in flight.
func (s *server) resolve(ctx context.Context, cmd command, cause error) (CommandReply, error) {
	if notWritten(cause) && ctx.Err() == nil {
		return CommandReply{}, cause
	}
	for range maxResolveReads {
		reply, done, err := s.checkConflict(ctx, cmd)
		if done {
			return reply, nil
		}
		if model.IsKind(err, model.KindConflict) {
			return CommandReply{}, err
		}
		if waitBeforeRetry(ctx) != nil {
			break
		}
	}
	return CommandReply{}, model.Wrap(model.KindUnknown, cause,
		"ask vpier history for the request id, or repeat the command with the same request id", "request %s may have taken effect", cmd.RequestID)
}

// notWritten reports whether an error of Append proves that nothing was written. An
// error without a kind does not.
func notWritten(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnknown, model.KindCorrupt, "":
		return false
	}
	return true
}

// waitBeforeRetry waits before the next read of the journal.
func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return model.Wrap(model.KindUnavailable, ctx.Err(), "repeat the command with the same request id", "the command ran out of time")
	case <-time.After(retryInterval):
		return nil
	}
}

// isMemberRecord reports whether rec was written by a node rather than an operator.
func isMemberRecord(rec control.Record) bool {
	return rec.MemberJoined != nil || rec.MemberLeft != nil
}

// replyFor returns the reply for a record in the journal.
func replyFor(entry control.Entry) CommandReply {
	return CommandReply{Sequence: entry.Sequence, Actor: entry.Record.Actor, Digest: DigestOf(entry.Record)}
}

// logCommand writes one line for a command that took effect.
func (s *server) logCommand(rec control.Record, seq uint64) {
	s.deps.Log.WithFields(logrus.Fields{
		"actor": rec.Actor, "sequence": seq, "request_id": rec.RequestID,
	}).Info(DescribeAction(rec))
}
