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
	doc, err := declaration.Check("", []byte(req.Text))
	if err != nil {
		return nil, err
	}
	var changes []declaration.Change
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.Proposed != nil && rec.Proposed.Digest == doc.Digest }
	cmd.plan = func(_ context.Context, v *control.View) (control.Record, error) {
		if doc.Digest == v.Digest {
			return control.Record{}, model.Errorf(model.KindConflict, "propose a text whose values differ; comments and order do not count",
				"declaration %s is already in force since sequence %d", Short(doc.Digest), v.AcceptedSequence)
		}
		changes = declaration.Diff(v.Declaration, doc.Declaration)
		return control.Record{Proposed: &control.DeclarationProposed{
			Digest: doc.Digest, Text: req.Text, Base: v.Digest, Note: req.Note,
		}}, nil
	}
	reply, err := s.run(r.Context(), cmd)
	reply.Changes = changes
	return reply, err
}

// checkNote bounds a free text.
func checkNote(text string) error {
	if len(text) > maxNote {
		return model.Errorf(model.KindInvalid, "shorten it", "the note or reason has %d bytes; the limit is %d", len(text), maxNote)
	}
	return nil
}
