package control

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// check validates rec against s. It performs no I/O. The error contains a remedy.
func (s *state) check(rec Record, decode decodeFunc) error {
	if n := rec.kindCount(); n != 1 {
		return model.Errorf(model.KindInvalid, "set exactly one record", "the control record holds %d kinds", n)
	}
	switch {
	case rec.Proposed != nil:
		return s.checkProposed(rec.Proposed, decode)
	case rec.Accepted != nil:
		return s.checkAccepted(rec.Accepted, decode)
	case rec.Rejected != nil:
		return s.checkPending(rec.Rejected.Proposal, rec.Rejected.Digest)
	case rec.DataCentreOut != nil:
		return s.checkDataCentreOut(rec.DataCentreOut.DataCentre)
	case rec.DataCentreIn != nil:
		return s.checkDataCentreIn(rec.DataCentreIn.DataCentre)
	case rec.MemberJoined != nil:
		return checkMemberJoined(rec.MemberJoined.Member)
	}
	return nil
}

func (s *state) checkProposed(p *DeclarationProposed, decode decodeFunc) error {
	if p.Digest == "" {
		return model.Errorf(model.KindInvalid, "send the digest of the text", "the proposal has no digest")
	}
	if p.Base != s.view.Digest {
		return model.Errorf(model.KindConflict, "compare with the accepted declaration (vpier diff) and propose again",
			"the proposal was written against %s, but %s is in force", describeDigest(p.Base), describeDigest(s.view.Digest))
	}
	if _, err := decode(p.Text); err != nil {
		return model.Wrap(model.KindInvalid, err, "correct the text (vpier check)", "the proposed declaration")
	}
	return nil
}

// checkAccepted rejects a proposal that is not pending. It also rejects a declaration that
// removes a data centre in service or changes its number of cells: the workers would move to
// cells that do not know the tasks running on them and would commit their capacity twice.
func (s *state) checkAccepted(a *DeclarationAccepted, decode decodeFunc) error {
	if err := s.checkPending(a.Proposal, a.Digest); err != nil {
		return err
	}
	next, err := decode(s.proposals[a.Proposal].text)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "propose the declaration again", "the text of proposal %d", a.Proposal)
	}
	if s.view.Declaration == nil {
		return nil
	}
	for _, old := range s.view.Declaration.DataCentres {
		if !s.view.IsOut(old.Name) && cellCount(next, old.Name) != max(1, old.Cells) {
			return model.Errorf(model.KindConflict, "take the data centre out first and wait until no work is left there (vpier drain --wait)",
				"proposal %d changes the cells of data centre %s, which is in service", a.Proposal, old.Name)
		}
	}
	return nil
}

// cellCount returns the number of cells of a data centre, or 0 when d does not list it.
func cellCount(d *declaration.Declaration, name model.DataCentre) int {
	for _, dc := range d.DataCentres {
		if dc.Name == name {
			return max(1, dc.Cells)
		}
	}
	return 0
}

// checkPending returns an error unless the proposal is pending, that is neither rejected,
// accepted nor superseded.
func (s *state) checkPending(seq uint64, digest string) error {
	p, ok := s.proposals[seq]
	switch {
	case !ok:
		return model.Errorf(model.KindNotFound, "list the proposals (vpier history), or propose again",
			"sequence %d is not a proposal, or has %d newer ones", seq, maxProposals)
	case p.digest != digest:
		return model.Errorf(model.KindConflict, "review the proposal again (vpier history)",
			"proposal %d has digest %s, not %s", seq, p.digest, digest)
	case p.rejected:
		return model.Errorf(model.KindConflict, "propose the declaration again", "proposal %d was rejected", seq)
	case s.view.AcceptedSequence > seq && s.view.Digest == p.digest:
		return model.Errorf(model.KindConflict, "nothing; the declaration is in force",
			"proposal %d was accepted at sequence %d", seq, s.view.AcceptedSequence)
	case s.view.AcceptedSequence > seq || p.base != s.view.Digest:
		return model.Errorf(model.KindConflict, "propose the change again, based on the declaration in force",
			"proposal %d is superseded: it was written against %s, but %s is in force since sequence %d",
			seq, describeDigest(p.base), describeDigest(s.view.Digest), s.view.AcceptedSequence)
	}
	return nil
}

func describeDigest(digest string) string {
	if digest == "" {
		return "no declaration"
	}
	return digest
}

// checkDataCentre returns an error unless the accepted declaration lists dc.
func (s *state) checkDataCentre(dc model.DataCentre) error {
	if s.view.Declaration == nil {
		return model.Errorf(model.KindNotFound, "propose and accept a declaration first", "no declaration is in force")
	}
	for _, d := range s.view.Declaration.DataCentres {
		if d.Name == dc {
			return nil
		}
	}
	return model.Errorf(model.KindNotFound, "use a name from the declaration (vpier status)", "there is no data centre %q", dc)
}

func (s *state) checkDataCentreOut(dc model.DataCentre) error {
	if err := s.checkDataCentre(dc); err != nil {
		return err
	}
	if seq, out := s.view.Out[dc]; out {
		return model.Errorf(model.KindConflict, "nothing; it is out already", "data centre %s is out since sequence %d", dc, seq)
	}
	for _, d := range s.view.Declaration.DataCentres {
		if d.Name != dc && !s.view.IsOut(d.Name) {
			return nil
		}
	}
	return model.Errorf(model.KindConflict, "return another data centre first (vpier return)", "%s is the last data centre in service", dc)
}

func (s *state) checkDataCentreIn(dc model.DataCentre) error {
	// A data centre that the declaration no longer lists may still be returned to service,
	// so that its entry in the view can be removed.
	if s.view.IsOut(dc) {
		return nil
	}
	if err := s.checkDataCentre(dc); err != nil {
		return err
	}
	return model.Errorf(model.KindConflict, "nothing; it is in service already", "data centre %s is in service", dc)
}

func checkMemberJoined(m Member) error {
	if m.ID == "" || m.Addr == "" {
		return model.Errorf(model.KindInvalid, "set the node id and its address", "the join record lacks id or address")
	}
	return nil
}

// kindCount returns the number of record kinds that are set in r.
func (r Record) kindCount() int {
	n := 0
	for _, set := range []bool{
		r.Proposed != nil, r.Accepted != nil, r.Rejected != nil,
		r.DataCentreOut != nil, r.DataCentreIn != nil,
		r.MemberJoined != nil, r.MemberLeft != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// Describe returns the effect of r as text for error messages and reports.
func (r Record) Describe() string {
	switch {
	case r.Proposed != nil:
		return "proposed declaration " + r.Proposed.Digest
	case r.Accepted != nil:
		return "accepted declaration " + r.Accepted.Digest
	case r.Rejected != nil:
		return "rejected declaration " + r.Rejected.Digest
	case r.DataCentreOut != nil:
		return fmt.Sprintf("took data centre %s out of service", r.DataCentreOut.DataCentre)
	case r.DataCentreIn != nil:
		return fmt.Sprintf("returned data centre %s to service", r.DataCentreIn.DataCentre)
	case r.MemberJoined != nil:
		return fmt.Sprintf("added node %s", r.MemberJoined.Member.ID)
	case r.MemberLeft != nil:
		return fmt.Sprintf("removed node %s", r.MemberLeft.Node)
	}
	return "appended an empty record"
}

// isMembership reports whether r is a join or leave record.
func (r Record) isMembership() bool { return r.MemberJoined != nil || r.MemberLeft != nil }

// identity returns the actor and the effect of r. It distinguishes different requests that
// have the same request ID.
func (r Record) identity() string { return r.Actor + " " + r.Describe() }
