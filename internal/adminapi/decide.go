package adminapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// accept handles a command that makes a proposal the accepted declaration.
func (s *server) accept(r *http.Request, actor string) (any, error) {
	var req AcceptRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.Accepted != nil && rec.Accepted.Proposal == req.Proposal }
	cmd.plan = func(ctx context.Context, v *control.View) (control.Record, error) {
		proposed, err := s.openProposal(ctx, req.Proposal)
		if err != nil {
			return control.Record{}, err
		}
		if req.Digest != "" && req.Digest != proposed.Digest {
			return control.Record{}, model.Errorf(model.KindConflict, "review the proposal again with vpier history",
				"proposal %d has digest %s, not the reviewed %s", req.Proposal, ShortDigest(proposed.Digest), ShortDigest(req.Digest))
		}
		if proposed.Base != v.Digest {
			return control.Record{}, supersededError(req.Proposal, v)
		}
		if err := s.checkAcceptable(ctx, proposed, v); err != nil {
			return control.Record{}, err
		}
		return control.Record{Accepted: &control.DeclarationAccepted{Digest: proposed.Digest, Proposal: req.Proposal}}, nil
	}
	return s.run(r.Context(), cmd)
}

// checkAcceptable checks that this build can parse the proposal and that at least one
// of its data centres is in service.
func (s *server) checkAcceptable(ctx context.Context, proposed *control.DeclarationProposed, v *control.View) error {
	text, err := s.loadText(ctx, proposed)
	if err != nil || text == nil {
		return err
	}
	doc, err := declaration.Parse("", text)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "upgrade every node before a declaration uses new fields", "this node's build cannot read the proposal")
	}
	for _, dc := range doc.Declaration.DataCentres {
		if !v.IsOut(dc.Name) {
			return nil
		}
	}
	return model.Errorf(model.KindInvalid, "return one of them to service first", "every data centre of the proposal is out of service")
}

// supersededError returns the error for a proposal that is not based on the accepted
// declaration. Accepting it would undo the declaration accepted since.
func supersededError(proposal uint64, v *control.View) error {
	return model.Errorf(model.KindConflict, "apply the change to the declaration in force and propose it again",
		"proposal %d is superseded: declaration %s was accepted after it was written, as sequence %d", proposal, ShortDigest(v.Digest), v.AcceptedSequence)
}

// reject handles a command that rejects a proposal.
func (s *server) reject(r *http.Request, actor string) (any, error) {
	var req RejectRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if strings.TrimSpace(req.Reason) == "" {
		return nil, model.Errorf(model.KindInvalid, "give a reason for the author", "a rejection needs a reason")
	}
	if err := checkNote(req.Reason); err != nil {
		return nil, err
	}
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.Rejected != nil && rec.Rejected.Proposal == req.Proposal }
	cmd.plan = func(ctx context.Context, _ *control.View) (control.Record, error) {
		proposed, err := s.openProposal(ctx, req.Proposal)
		if err != nil {
			return control.Record{}, err
		}
		return control.Record{Rejected: &control.DeclarationRejected{Digest: proposed.Digest, Proposal: req.Proposal, Reason: req.Reason}}, nil
	}
	return s.run(r.Context(), cmd)
}

// openProposal returns the proposal at sequence seq if it was neither accepted nor
// rejected.
func (s *server) openProposal(ctx context.Context, seq uint64) (*control.DeclarationProposed, error) {
	if seq == 0 {
		return nil, model.Errorf(model.KindInvalid, "give the sequence of the proposal; vpier history lists them", "no proposal is given")
	}
	var proposed *control.DeclarationProposed
	for from := seq; ; {
		entries, err := s.deps.Control.History(ctx, from, historyPage)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			if entry.Sequence == seq {
				proposed = entry.Record.Proposed
			}
			if err := checkUndecided(entry, seq); err != nil {
				return nil, err
			}
		}
		if len(entries) < historyPage {
			break
		}
		from = entries[len(entries)-1].Sequence + 1
	}
	if proposed == nil {
		return nil, model.Errorf(model.KindNotFound, "vpier history lists the proposals", "sequence %d is not a proposal", seq)
	}
	return proposed, nil
}

// checkUndecided returns an error when entry accepted or rejected the proposal.
func checkUndecided(entry control.Entry, proposal uint64) error {
	rec := entry.Record
	switch {
	case rec.Accepted != nil && rec.Accepted.Proposal == proposal:
		return model.Errorf(model.KindConflict, "nothing to do; vpier status shows the declaration in force",
			"proposal %d was accepted by %s as sequence %d", proposal, rec.Actor, entry.Sequence)
	case rec.Rejected != nil && rec.Rejected.Proposal == proposal:
		return model.Errorf(model.KindConflict, "propose the text again if it is still wanted",
			"proposal %d was rejected by %s as sequence %d: %s", proposal, rec.Actor, entry.Sequence, rec.Rejected.Reason)
	}
	return nil
}
