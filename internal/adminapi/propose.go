package adminapi

import (
	"context"
	"net/http"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxNoteBytes bounds the size of a note or reason.
const maxNoteBytes = 4096

// propose handles a command that submits a declaration for review.
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
				"declaration %s is already in force since sequence %d", ShortDigest(doc.Digest), v.AcceptedSequence)
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

// checkText validates a declaration. Only one validation runs at a time.
func (s *server) checkText(ctx context.Context, text string) (*declaration.Document, error) {
	select {
	case s.checkSemaphore <- struct{}{}:
		defer func() { <-s.checkSemaphore }()
	case <-ctx.Done():
		return nil, model.Wrap(model.KindUnavailable, ctx.Err(), "repeat the command", "other texts are being checked")
	}
	return declaration.Check("", []byte(text))
}

// maxInlineTextBytes is the largest text that is stored in its journal record. Larger
// texts go to the object store.
const maxInlineTextBytes = 64 << 10

// storeText returns the text to write into the record. A text above
// maxInlineTextBytes is written to the text store and the returned text is empty.
// Storing the same text again is harmless.
func (s *server) storeText(ctx context.Context, doc *declaration.Document) (string, error) {
	if len(doc.Text) <= maxInlineTextBytes || s.deps.Texts == nil {
		return string(doc.Text), nil
	}
	return "", s.deps.Texts.PutText(ctx, doc.Digest, doc.Text)
}

// loadText returns the text of a proposal, or nil when the record does not contain it
// and there is no text store.
func (s *server) loadText(ctx context.Context, p *control.DeclarationProposed) ([]byte, error) {
	if p.Text != "" {
		return []byte(p.Text), nil
	}
	if s.deps.Texts == nil {
		return nil, nil
	}
	return s.deps.Texts.Text(ctx, p.Digest)
}

// checkNote checks the size of a note or reason.
func checkNote(text string) error {
	if len(text) > maxNoteBytes {
		return model.Errorf(model.KindInvalid, "shorten it", "the note or reason has %d bytes; the limit is %d", len(text), maxNoteBytes)
	}
	return nil
}
