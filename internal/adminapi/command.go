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
	// maxRebases bounds how often a command is moved behind member records.
	maxRebases = 8
	// retryInterval is the pause before a command looks again at the journal.
	retryInterval = 50 * time.Millisecond
	// requestWindow is the number of records before the one that the operator
	// has seen among which a request id is recognised, for a client that looked
	// at the journal again before it repeated a command. At 15,000 changes a day
	// it covers about 19 minutes, with one read of the journal.
	requestWindow = 200
	// unknownReads bounds the reads that resolve an append without an answer.
	unknownReads = 3
)

// requestIDPattern is what a request id may look like.
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

// check validates the fields that every command carries.
func (c Command) check() error {
	if !requestIDPattern.MatchString(c.RequestID) {
		return model.Errorf(model.KindInvalid, "send 8 to 64 letters, digits and hyphens, the same for each repetition", "the request id is not valid")
	}
	return nil
}

// command is a command of an authenticated operator.
type command struct {
	Command
	actor string
	// plan checks the command against a view and returns the record to append.
	// It has no effects, so that it can run again on a later view.
	plan func(ctx context.Context, v *control.View) (control.Record, error)
	// matches reports whether a record is what this command writes.
	matches func(rec control.Record) bool
}

// run executes a command: plan against the current view, then append at the
// view's sequence. Records of members that joined or left since the operator
// looked do not touch the decision, so the command is planned again behind
// them; any other record wins the race.
func (s *server) run(ctx context.Context, cmd command) (CommandReply, error) {
	if err := cmd.check(); err != nil {
		return CommandReply{}, err
	}
	for range maxRebases {
		v, err := s.viewAt(cmd.Seen)
		if err != nil {
			return CommandReply{}, err
		}
		if reply, done, err := s.overtaken(ctx, cmd); done || err != nil {
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
		if err := pause(ctx); err != nil {
			return CommandReply{}, err
		}
	}
	return CommandReply{}, model.Errorf(model.KindUnavailable, "repeat the command", "the journal changed %d times while the command ran; nothing was changed", maxRebases)
}

// viewAt returns a view that includes sequence seen.
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

// overtaken looks at the records around and after the one that the operator has
// seen. The command is done when its own record is among them; the error names
// the winner when another operator's record comes after the one seen.
func (s *server) overtaken(ctx context.Context, cmd command) (CommandReply, bool, error) {
	var winner *control.Entry
	from := uint64(1)
	if cmd.Seen > requestWindow {
		from = cmd.Seen - requestWindow
	}
	for {
		entries, err := s.deps.Control.History(ctx, from, historyPage)
		if err != nil {
			return CommandReply{}, false, err
		}
		for _, entry := range entries {
			if entry.Record.RequestID == cmd.RequestID {
				return repeated(entry, cmd)
			}
			if winner == nil && entry.Sequence > cmd.Seen && !isMemberRecord(entry.Record) {
				winner = &entry
			}
		}
		if len(entries) < historyPage {
			break
		}
		from = entries[len(entries)-1].Sequence + 1
	}
	if winner != nil {
		return CommandReply{}, false, lostRace(*winner)
	}
	return CommandReply{}, false, nil
}

// repeated answers a command whose record is already in the journal.
func repeated(entry control.Entry, cmd command) (CommandReply, bool, error) {
	if entry.Record.Actor != cmd.actor || !cmd.matches(entry.Record) {
		return CommandReply{}, false, model.Errorf(model.KindConflict, "use another request id",
			"the request id was used for another command: %s %s as sequence %d", entry.Record.Actor, Action(entry.Record), entry.Sequence)
	}
	reply := replyFor(entry)
	reply.Repeated = true
	return reply, true, nil
}

// resolve reads the journal after an append whose result is not known. An
// answer of not written cannot be given from a read that finds nothing,
// because the write may still be under way.
func (s *server) resolve(ctx context.Context, cmd command, cause error) (CommandReply, error) {
	if notWritten(cause) && ctx.Err() == nil {
		return CommandReply{}, cause
	}
	for range unknownReads {
		reply, done, err := s.overtaken(ctx, cmd)
		if done {
			return reply, nil
		}
		if model.IsKind(err, model.KindConflict) {
			return CommandReply{}, err
		}
		if pause(ctx) != nil {
			break
		}
	}
	return CommandReply{}, model.Wrap(model.KindUnknown, cause,
		"ask vpier history for the request id, or repeat the command with the same request id", "request %s may have taken effect", cmd.RequestID)
}

// notWritten reports whether an error of Append proves that nothing was
// written. An error without a kind proves nothing.
func notWritten(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnknown, model.KindCorrupt, "":
		return false
	}
	return true
}

// pause waits before the next look at the journal.
func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return model.Wrap(model.KindUnavailable, ctx.Err(), "repeat the command with the same request id", "the command ran out of time")
	case <-time.After(retryInterval):
		return nil
	}
}

// isMemberRecord reports whether rec was written by a node and not by an operator.
func isMemberRecord(rec control.Record) bool {
	return rec.MemberJoined != nil || rec.MemberLeft != nil
}

// replyFor describes a record in the journal.
func replyFor(entry control.Entry) CommandReply {
	return CommandReply{Sequence: entry.Sequence, Actor: entry.Record.Actor, Digest: DigestOf(entry.Record)}
}

// logCommand writes one line for a command that took effect.
func (s *server) logCommand(rec control.Record, seq uint64) {
	s.deps.Log.WithFields(logrus.Fields{
		"actor": rec.Actor, "sequence": seq, "request_id": rec.RequestID,
	}).Info(Action(rec))
}
