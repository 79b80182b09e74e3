package journal

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// keptSnapshots is the number of snapshots to keep. If the newest one is corrupt,
// recovery uses the older one with its journal tail.
const keptSnapshots = 2

// Snapshot is the state after applying all entries up to Sequence.
type Snapshot struct {
	Sequence uint64
	Data     []byte
	// Epoch and Owner are the ownership after Sequence, because the rows that changed
	// it may have been truncated. Both are empty in journals without an owner.
	Epoch model.Epoch
	Owner *OwnerChange
}

// envelope is the stored form of a snapshot. The checksum covers the whole body, so that
// it also detects corruption of the sequence and the ownership.
type envelope struct {
	Format   Format   `cbor:"1,keyasint"`
	Checksum [32]byte `cbor:"2,keyasint"`
	Body     []byte   `cbor:"3,keyasint"`
}

// body is the part of a snapshot that the checksum covers.
type body struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Data     []byte       `cbor:"2,keyasint"`
	Epoch    model.Epoch  `cbor:"3,keyasint,omitempty"`
	Owner    *OwnerChange `cbor:"4,keyasint,omitempty"`
}

// EncodeSnapshot returns the object value of s: format version, SHA-256 checksum and
// body.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	inner, err := cbor.Marshal(body(s))
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode snapshot")
	}
	data, err := cbor.Marshal(envelope{Format: CurrentFormat, Checksum: sha256.Sum256(inner), Body: inner})
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode snapshot envelope")
	}
	return data, nil
}

// DecodeSnapshot decodes an object value. Errors: KindInvalid for a newer major format,
// KindCorrupt if the checksum or the structure is wrong.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	if err := checkFormat(data, "snapshot"); err != nil {
		return Snapshot{}, err
	}
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return Snapshot{}, model.Wrap(model.KindCorrupt, err, "use an older snapshot", "decode snapshot")
	}
	if sha256.Sum256(e.Body) != e.Checksum {
		return Snapshot{}, model.Errorf(model.KindCorrupt, "use an older snapshot", "the checksum of a snapshot does not match")
	}
	var b body
	if err := decMode.Unmarshal(e.Body, &b); err != nil {
		return Snapshot{}, model.Wrap(model.KindCorrupt, err, "use an older snapshot", "decode the body of a snapshot")
	}
	return Snapshot(b), nil
}

// Snapshots stores the snapshots of one journal in the object store as
// prefix/<sequence>, and truncates the journal up to the oldest kept snapshot.
type Snapshots struct {
	objects external.Objects
	prefix  string
	log     *Log
}

// NewSnapshots returns the snapshots under prefix. Save truncates log unless it is nil.
func NewSnapshots(objects external.Objects, prefix string, log *Log) *Snapshots {
	return &Snapshots{objects: objects, prefix: strings.TrimSuffix(prefix, "/") + "/", log: log}
}

func (s *Snapshots) objectName(seq uint64) string { return s.prefix + SequenceRow(seq) }

// Save calls SaveSnapshot with the state after sequence seq of a journal without an
// owner.
func (s *Snapshots) Save(ctx context.Context, seq uint64, data []byte) error {
	return s.SaveSnapshot(ctx, Snapshot{Sequence: seq, Data: data})
}

// SaveSnapshot writes snap and verifies it by reading it back. It then truncates the
// journal up to the older of the last two snapshots and removes all snapshots before
// these. If that fails, the snapshot is durable, and the next Save removes the remaining
// rows and snapshots.
func (s *Snapshots) SaveSnapshot(ctx context.Context, snap Snapshot) error {
	seq := snap.Sequence
	value, err := EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, s.objectName(seq), value); err != nil {
		return err
	}
	stored, err := s.objects.Get(ctx, s.objectName(seq))
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, value) {
		return model.Errorf(model.KindCorrupt, "check the object store", "snapshot %s reads back differently", s.objectName(seq))
	}
	return s.prune(ctx)
}

// prune removes all but the newest two snapshots and truncates the journal up to the
// older of these.
func (s *Snapshots) prune(ctx context.Context) error {
	seqs, err := s.List(ctx)
	if err != nil || len(seqs) < keptSnapshots {
		return err
	}
	kept := seqs[len(seqs)-keptSnapshots:]
	if s.log != nil {
		if err := s.log.Truncate(ctx, kept[0]); err != nil {
			return err
		}
	}
	for _, seq := range seqs[:len(seqs)-keptSnapshots] {
		if err := s.objects.Delete(ctx, s.objectName(seq)); err != nil {
			return err
		}
	}
	return nil
}

// List returns the sequences of the stored snapshots in ascending order.
func (s *Snapshots) List(ctx context.Context) ([]uint64, error) {
	names, err := s.objects.List(ctx, s.prefix)
	if err != nil {
		return nil, err
	}
	seqs := make([]uint64, 0, len(names))
	for _, name := range names {
		seq, err := ParseSequence(strings.TrimPrefix(name, s.prefix))
		if err != nil {
			continue // not a snapshot
		}
		seqs = append(seqs, seq)
	}
	return seqs, nil
}

// Latest returns the newest valid snapshot. Errors: KindNotFound if there are no
// snapshots, KindCorrupt if all are corrupt, KindInvalid if the newest one has a format
// that this build cannot read.
func (s *Snapshots) Latest(ctx context.Context) (Snapshot, error) {
	seqs, err := s.List(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	var errs []error
	for i := len(seqs) - 1; i >= 0; i-- {
		snap, err := s.load(ctx, seqs[i])
		if err == nil {
			return snap, nil
		}
		if kind := model.KindOf(err); kind != model.KindCorrupt && kind != model.KindNotFound {
			return Snapshot{}, err
		}
		errs = append(errs, err)
	}
	if len(seqs) == 0 {
		return Snapshot{}, model.Errorf(model.KindNotFound, "read the journal from its start", "no snapshot under %s", s.prefix)
	}
	return Snapshot{}, model.Wrap(model.KindCorrupt, errors.Join(errs...),
		"restore a snapshot from the object store's backup", "no valid snapshot under %s", s.prefix)
}

func (s *Snapshots) load(ctx context.Context, seq uint64) (Snapshot, error) {
	value, err := s.objects.Get(ctx, s.objectName(seq))
	if err != nil {
		return Snapshot{}, err
	}
	snap, err := DecodeSnapshot(value)
	if err != nil {
		return Snapshot{}, err
	}
	if snap.Sequence != seq {
		return Snapshot{}, model.Errorf(model.KindCorrupt, "use an older snapshot", "snapshot %d is stored as %d", snap.Sequence, seq)
	}
	return snap, nil
}
