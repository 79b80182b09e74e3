package control

import (
	"context"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
)

// SnapshotEvery is the number of records between snapshots. The node that appends the last
// of them saves the snapshot, so that a starting node reads at most about this many records.
// At 15,000 records per day this gives a snapshot about every 95 minutes. The control journal
// is not truncated, because it serves as the history.
const SnapshotEvery = 1000

// maxProposals is the number of proposals kept for acceptance and for error messages. With
// texts of 64 KiB it limits their memory to 16 MiB. The texts are dropped when a declaration
// is accepted.
const maxProposals = 256

// storedState is the content of a control snapshot.
type storedState struct {
	Sequence         uint64                      `cbor:"1,keyasint"`
	Text             string                      `cbor:"2,keyasint,omitempty"`
	Digest           string                      `cbor:"3,keyasint,omitempty"`
	AcceptedSequence uint64                      `cbor:"4,keyasint,omitempty"`
	Out              map[model.DataCentre]uint64 `cbor:"5,keyasint,omitempty"`
	Members          []Member                    `cbor:"6,keyasint,omitempty"`
	MembersSequence  uint64                      `cbor:"7,keyasint,omitempty"`
	Proposals        []storedProposal            `cbor:"8,keyasint,omitempty"`
	Requests         []storedRequest             `cbor:"9,keyasint,omitempty"`
}

type storedProposal struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Text     string `cbor:"3,keyasint,omitempty"`
	Base     string `cbor:"4,keyasint,omitempty"`
	Rejected bool   `cbor:"5,keyasint,omitempty"`
}

type storedRequest struct {
	ID       string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// encode returns the snapshot of s.
func (s *state) encode() ([]byte, error) {
	v := s.view
	out := storedState{
		Sequence: v.Sequence, Text: s.text, Digest: v.Digest, AcceptedSequence: v.AcceptedSequence,
		Out: v.Out, Members: slices.Collect(maps.Values(v.Members)), MembersSequence: v.MembersSequence,
	}
	for _, p := range s.proposals {
		out.Proposals = append(out.Proposals, storedProposal{p.seq, p.digest, p.text, p.base, p.rejected})
	}
	for _, id := range s.requestOrder {
		r := s.requests[id]
		out.Requests = append(out.Requests, storedRequest{id, r.seq, r.identity})
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode control snapshot")
	}
	return data, nil
}

// decodeState is the inverse of encode.
func decodeState(data []byte, decode decodeFunc) (*state, error) {
	var in storedState
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, model.Wrap(model.KindCorrupt, err, "restore the snapshot from the object store's backup", "decode control snapshot")
	}
	s := newState()
	s.text = in.Text
	if in.AcceptedSequence > 0 {
		decl, err := decode(in.Text)
		if err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "upgrade this node to a release that reads the declaration",
				"the declaration accepted by control entry %d", in.AcceptedSequence)
		}
		s.view.Declaration = decl
	}
	v := s.view
	v.Sequence, v.Digest, v.AcceptedSequence, v.MembersSequence = in.Sequence, in.Digest, in.AcceptedSequence, in.MembersSequence
	maps.Copy(v.Out, in.Out)
	for _, m := range in.Members {
		v.Members[m.ID] = m
	}
	for _, p := range in.Proposals {
		s.proposals[p.Sequence] = proposal{p.Sequence, p.Digest, p.Text, p.Base, p.Rejected}
	}
	for _, r := range in.Requests {
		s.requests[r.ID] = request{r.Sequence, r.Identity}
		s.requestOrder = append(s.requestOrder, r.ID)
	}
	return s, nil
}

// trimProposals drops the oldest proposals beyond maxProposals.
func (s *state) trimProposals() {
	for len(s.proposals) > maxProposals {
		delete(s.proposals, slices.Min(slices.Collect(maps.Keys(s.proposals))))
	}
}

func (s *Store) snapshots() *journal.Snapshots {
	return journal.NewSnapshots(s.cfg.Objects, Partition, nil)
}

// loadSnapshot loads the newest snapshot into an empty store. Without a valid snapshot it
// does nothing, and the whole journal is read instead.
func (s *Store) loadSnapshot(ctx context.Context) error {
	snap, err := s.snapshots().Latest(ctx)
	if model.IsKind(err, model.KindNotFound) || model.IsKind(err, model.KindCorrupt) {
		return nil
	}
	if err != nil {
		return err
	}
	loaded, err := decodeState(snap.Data, s.cfg.Decode)
	if model.IsKind(err, model.KindCorrupt) {
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.view.Sequence < loaded.view.Sequence {
		loaded.view.ConfirmedAt = s.state.view.ConfirmedAt
		s.state, s.recent, s.recentBytes = loaded, nil, 0
		s.view.Store(loaded.view)
	}
	return nil
}

// saveSnapshot saves the current state.
func (s *Store) saveSnapshot(ctx context.Context) error {
	s.mu.Lock()
	seq := s.state.view.Sequence
	data, err := s.state.encode()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.snapshots().Save(storeclient.WithPriority(ctx, storeclient.PriorityBulk), seq, data)
}
