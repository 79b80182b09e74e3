// Package journal keeps append-only logs in the table service, one row for each
// batch of records, together with their snapshots in the object store.
//
// A row is written with put-if-absent at the next sequence, so the table service
// decides between writers. A lost answer is resolved by the append id before
// anything else happens.
package journal

import (
	"crypto/rand"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Format is a major and a minor format version. A reader accepts a higher minor
// version, whose additional fields it ignores, and refuses a higher major one.
type Format uint16

const (
	formatMinorBits = 8
	// CurrentFormat is the version that this build writes: 1.0.
	CurrentFormat = Format(1 << formatMinorBits)
)

// Major returns the major version.
func (f Format) Major() int { return int(f >> formatMinorBits) }

// Minor returns the minor version.
func (f Format) Minor() int { return int(f & (1<<formatMinorBits - 1)) }

// check refuses data of a format that this build cannot read.
func (f Format) check(what string) error {
	switch {
	case f.Major() == 0:
		return model.Errorf(model.KindCorrupt, "restore the data from the object store's backup", "%s has no format version", what)
	case f.Major() > CurrentFormat.Major():
		return model.Errorf(model.KindInvalid, "upgrade this node to a release that reads the format",
			"%s has format %d.%d; this build reads up to %d", what, f.Major(), f.Minor(), CurrentFormat.Major())
	}
	return nil
}

// AppendID identifies one append, so that a writer recognises its own row after
// an answer was lost.
type AppendID [16]byte

// NewAppendID returns 128 random bits.
func NewAppendID() AppendID {
	var id AppendID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails; see its documentation.
	return id
}

// String returns the id in hexadecimal.
func (id AppendID) String() string { return fmt.Sprintf("%x", id[:]) }

// OwnerAction is what an owner change does.
type OwnerAction uint8

const (
	// OwnerAcquired makes Node the owner under the batch's epoch.
	OwnerAcquired OwnerAction = iota + 1
	// OwnerReleased ends the ownership; any node may acquire at once.
	OwnerReleased
)

// OwnerChange is the ownership record of a batch.
type OwnerChange struct {
	Action OwnerAction  `cbor:"1,keyasint"`
	Node   model.NodeID `cbor:"2,keyasint"`
	Addr   string       `cbor:"3,keyasint,omitempty"`
	// LeaseMillis is the lease duration L in milliseconds.
	LeaseMillis int64 `cbor:"4,keyasint,omitempty"`
	// Successor names the node for which a release makes room, if any. Other
	// nodes wait a little before they acquire.
	Successor model.NodeID `cbor:"5,keyasint,omitempty"`
}

// Batch is the content of one journal row.
type Batch struct {
	Format   Format   `cbor:"1,keyasint"`
	AppendID AppendID `cbor:"2,keyasint"`
	// Epoch is the owner's epoch; 0 in journals without an owner.
	Epoch model.Epoch `cbor:"3,keyasint,omitempty"`
	// Owner is set when the row changes the ownership.
	Owner *OwnerChange `cbor:"4,keyasint,omitempty"`
	// Records are opaque to the journal. A batch without records renews a lease.
	Records [][]byte `cbor:"5,keyasint,omitempty"`
}

// Entry is a batch with its place in the journal.
type Entry struct {
	Sequence uint64
	Batch
}

// maxBatchRecords bounds the records that a decoder accepts in one row.
const maxBatchRecords = 1 << 20

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxBatchRecords}.DecMode()
	if err != nil {
		panic(err) // The options are constant; an error is a fault of this package.
	}
	return mode
}()

// EncodeBatch returns the row value of b. It sets the format version when b has
// none.
func EncodeBatch(b Batch) ([]byte, error) {
	if b.Format == 0 {
		b.Format = CurrentFormat
	}
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode journal batch")
	}
	return data, nil
}

// formatOnly reads the version first, because a newer major format may not
// decode into the current types.
type formatOnly struct {
	Format Format `cbor:"1,keyasint"`
}

// DecodeBatch reads a row value. Errors: KindInvalid for a newer major format,
// KindCorrupt for anything that is not a batch.
func DecodeBatch(data []byte) (Batch, error) {
	if err := checkFormat(data, "journal row"); err != nil {
		return Batch{}, err
	}
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return Batch{}, model.Wrap(model.KindCorrupt, err, "restore the row from the store's backup", "decode journal row")
	}
	return b, nil
}

func checkFormat(data []byte, what string) error {
	var f formatOnly
	if err := decMode.Unmarshal(data, &f); err != nil {
		return model.Wrap(model.KindCorrupt, err, "restore the data from the store's backup", "decode %s", what)
	}
	return f.Format.check(what)
}
