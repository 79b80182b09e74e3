// Package journal implements append-only logs in the table service, with one row per
// batch of records, and their snapshots in the object store.
//
// A row is written with put-if-absent at the next sequence, so that only one of several
// concurrent writers succeeds. If the response is lost, the writer first determines by
// the append id whether its row was written.
package journal

import (
	"crypto/rand"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Format is a format version with a major and a minor number. A reader accepts a higher
// minor version and ignores its additional fields. It rejects a higher major version.
type Format uint16

const (
	formatMinorBits = 8
	// CurrentFormat is the version written by this build: 1.0.
	CurrentFormat = Format(1 << formatMinorBits)
)

// Major returns the major version.
func (f Format) Major() int { return int(f >> formatMinorBits) }

// Minor returns the minor version.
func (f Format) Minor() int { return int(f & (1<<formatMinorBits - 1)) }

// check returns an error if this build cannot read the format.
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

// AppendID identifies one append, so that a writer can recognise its own row after a
// lost response.
type AppendID [16]byte

// NewAppendID returns a random 128-bit id.
func NewAppendID() AppendID {
	var id AppendID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails; see its documentation.
	return id
}

// String returns the id in hexadecimal.
func (id AppendID) String() string { return fmt.Sprintf("%x", id[:]) }

// OwnerAction is the kind of an OwnerChange.
type OwnerAction uint8

const (
	// OwnerAcquired makes Node the owner under the batch's epoch.
	OwnerAcquired OwnerAction = iota + 1
	// OwnerReleased ends the ownership. Any node may acquire it immediately.
	OwnerReleased
)

// OwnerChange records a change of the ownership in a batch.
type OwnerChange struct {
	Action OwnerAction  `cbor:"1,keyasint"`
	Node   model.NodeID `cbor:"2,keyasint"`
	Addr   string       `cbor:"3,keyasint,omitempty"`
	// LeaseMillis is the lease duration L in milliseconds.
	LeaseMillis int64 `cbor:"4,keyasint,omitempty"`
	// Successor is the preferred next owner after a release, if any. Other nodes
	// wait for a short time before they acquire the ownership.
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
	// Records are opaque to the journal. A batch without records renews the lease.
	Records [][]byte `cbor:"5,keyasint,omitempty"`
}

// Entry is a batch with its sequence in the journal.
type Entry struct {
	Sequence uint64
	Batch
}

// maxBatchRecords is the maximum number of records that the decoder accepts in one row.
const maxBatchRecords = 1 << 20

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxBatchRecords}.DecMode()
	if err != nil {
		panic(err) // The options are constant; an error is a fault of this package.
	}
	return mode
}()

// EncodeBatch returns the row value of b. It sets the format version if b has none.
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

// formatOnly decodes only the version, because data of a newer major format may not
// decode into the current types.
type formatOnly struct {
	Format Format `cbor:"1,keyasint"`
}

// DecodeBatch decodes a row value. Errors: KindInvalid for a newer major format,
// KindCorrupt for any value that is not a batch.
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
