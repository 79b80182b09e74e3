package control

import (
	"maps"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxRequestIDs is the number of recent request IDs kept for detecting retries.
const maxRequestIDs = 4096

// proposal is a declaration that was proposed and may still be accepted or rejected.
type proposal struct {
	seq      uint64
	digest   string
	text     string
	base     string
	rejected bool
}

// state is the result of applying all entries up to view.Sequence. Store owns it and
// replaces view as a whole.
type state struct {
	view *View
	// text is the accepted declaration as it was proposed.
	text         string
	proposals    map[uint64]proposal
	requests     map[string]request
	requestOrder []string
}

// request is the record that a request ID was used for.
type request struct {
	seq      uint64
	identity string
}

func newState() *state {
	return &state{
		view: &View{
			Out:     map[model.DataCentre]uint64{},
			Members: map[model.NodeID]Member{},
		},
		proposals: map[uint64]proposal{},
		requests:  map[string]request{},
	}
}

// decodeFunc decodes the text of a declaration.
type decodeFunc func(text string) (*declaration.Declaration, error)

// apply applies the next entry to s. It is deterministic except for decode, and leaves s
// unchanged on error.
func (s *state) apply(e Entry, decode decodeFunc) error {
	if e.Sequence != s.view.Sequence+1 {
		return model.Errorf(model.KindStale, "fetch the missing entries first",
			"control entry %d does not follow %d", e.Sequence, s.view.Sequence)
	}
	next := *s.view
	next.Sequence = e.Sequence
	if err := s.applyDeclaration(&next, e, decode); err != nil {
		return err
	}
	applyDataCentre(&next, e)
	applyMember(&next, e)
	s.recordRequest(e)
	s.view = &next
	return nil
}

func (s *state) applyDeclaration(next *View, e Entry, decode decodeFunc) error {
	switch r := e.Record; {
	case r.Proposed != nil:
		p := r.Proposed
		s.proposals[e.Sequence] = proposal{seq: e.Sequence, digest: p.Digest, text: p.Text, base: p.Base}
		s.trimProposals()
	case r.Rejected != nil:
		if p, ok := s.proposals[r.Rejected.Proposal]; ok {
			p.rejected, p.text = true, ""
			s.proposals[p.seq] = p
		}
	case r.Accepted != nil:
		return s.accept(next, e, decode)
	}
	return nil
}

// accept makes a proposal the accepted declaration. The other proposals are superseded,
// because they are based on an older declaration, and their texts are dropped.
func (s *state) accept(next *View, e Entry, decode decodeFunc) error {
	p, ok := s.proposals[e.Record.Accepted.Proposal]
	if !ok {
		return model.Errorf(model.KindCorrupt, "restore the control journal",
			"control entry %d accepts unknown proposal %d", e.Sequence, e.Record.Accepted.Proposal)
	}
	decl, err := decode(p.text)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "upgrade this node to a release that reads the declaration",
			"the declaration accepted by control entry %d", e.Sequence)
	}
	s.text = p.text
	next.Declaration, next.Digest, next.AcceptedSequence = decl, p.digest, e.Sequence
	for seq, other := range s.proposals {
		other.text = ""
		s.proposals[seq] = other
	}
	return nil
}

func applyDataCentre(next *View, e Entry) {
	switch r := e.Record; {
	case r.DataCentreOut != nil:
		next.Out = maps.Clone(next.Out)
		next.Out[r.DataCentreOut.DataCentre] = e.Sequence
	case r.DataCentreIn != nil:
		next.Out = maps.Clone(next.Out)
		delete(next.Out, r.DataCentreIn.DataCentre)
	}
}

func applyMember(next *View, e Entry) {
	switch r := e.Record; {
	case r.MemberJoined != nil:
		m := r.MemberJoined.Member
		m.Since = e.Sequence
		next.Members = maps.Clone(next.Members)
		next.Members[m.ID] = m
		next.MembersSequence = e.Sequence
	case r.MemberLeft != nil:
		next.Members = maps.Clone(next.Members)
		delete(next.Members, r.MemberLeft.Node)
		next.MembersSequence = e.Sequence
	}
}

// recordRequest keeps the request ID of e and drops the oldest one beyond maxRequestIDs.
func (s *state) recordRequest(e Entry) {
	id := e.Record.RequestID
	if id == "" {
		return
	}
	if _, known := s.requests[id]; !known {
		s.requestOrder = append(s.requestOrder, id)
	}
	s.requests[id] = request{seq: e.Sequence, identity: e.Record.identity()}
	if len(s.requestOrder) > maxRequestIDs {
		delete(s.requests, s.requestOrder[0])
		s.requestOrder = s.requestOrder[1:]
	}
}

// confirm records that the store held no later record at the given local time.
func (s *state) confirm(at time.Time) {
	if !at.After(s.view.ConfirmedAt) {
		return
	}
	next := *s.view
	next.ConfirmedAt = at
	s.view = &next
}
