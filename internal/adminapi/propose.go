package adminapi

import (
	"context"
	"net/http"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxNote is the number of bytes of a note or reason.
const maxNote = 4096

// propose checks a text and puts it before the board.
func (s *server) propose(r *http.Request, actor string) (any, error) {
	var req ProposeRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if err := checkNote(req.Note); err != nil {
		return nil, err
	}
	doc, err := s.checkText(r.Context(), req.Text)
	if err != nil {
		return nil, err
	}
	var changes []declaration.Change
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.Proposed != nil && rec.Proposed.Digest == doc.Digest }
	cmd.plan = func(ctx context.Context, v *control.View) (control.Record, error) {
		if doc.Digest == v.Digest {
			return control.Record{}, model.Errorf(model.KindConflict, "propose a text whose values differ; comments and order do not count",
				"declaration %s is already in force since sequence %d", Short(doc.Digest), v.AcceptedSequence)
		}
		text, err := s.storeText(ctx, doc)
		if err != nil {
			return control.Record{}, err
		}
		changes = declaration.Diff(v.Declaration, doc.Declaration)
		return control.Record{Proposed: &control.DeclarationProposed{
			Digest: doc.Digest, Text: text, Base: v.Digest, Note: req.Note,
		}}, nil
	}
	reply, err := s.run(r.Context(), cmd)
	reply.Changes = changes
	return reply, err
}

// checkText checks a text, one at a time.
func (s *server) checkText(ctx context.Context, text string) (*declaration.Document, error) {
	select {
	case s.checking <- struct{}{}:
		defer func() { <-s.checking }()
	case <-ctx.Done():
		return nil, model.Wrap(model.KindUnavailable, ctx.Err(), "repeat the command", "other texts are being checked")
	}
	return declaration.Check("", []byte(text))
}

// maxRecordText is the size in bytes of a text above which it is kept in the
// object store and not in its record.
const maxRecordText = 64 << 10

// storeText returns the text for the record. A long text is stored first and
// the record's text is empty. Storing it again has no further effect.
func (s *server) storeText(ctx context.Context, doc *declaration.Document) (string, error) {
	if len(doc.Text) <= maxRecordText || s.deps.Texts == nil {
		return string(doc.Text), nil
	}
	return "", s.deps.Texts.PutText(ctx, doc.Digest, doc.Text)
}

// loadText returns the text of a proposal, or nil when it is not at hand.
func (s *server) loadText(ctx context.Context, p *control.DeclarationProposed) ([]byte, error) {
	if p.Text != "" {
		return []byte(p.Text), nil
	}
	if s.deps.Texts == nil {
		return nil, nil
	}
	return s.deps.Texts.Text(ctx, p.Digest)
}

// checkNote bounds a free text.
func checkNote(text string) error {
	if len(text) > maxNote {
		return model.Errorf(model.KindInvalid, "shorten it", "the note or reason has %d bytes; the limit is %d", len(text), maxNote)
	}
	return nil
}
