package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Claim is the row that ensures that a non-idempotent request or an order runs at most once.
type Claim struct {
	// ID is unique to one attempt to claim the key; it shows whose write took effect.
	ID string `json:"id"`
	// Digest covers service, method, target and body, or the body of an order; another
	// digest under the key is refused.
	Digest string `json:"digest"`
	// At is the time of the claim's write in Unix milliseconds; it is used for retention only.
	At int64 `json:"at,omitempty"`
	// State is empty while the request runs, and its outcome afterwards.
	State model.Outcome `json:"state,omitempty"`
	// Job and Cell are set for an order.
	Job  model.JobID  `json:"job,omitempty"`
	Cell model.CellID `json:"cell,omitempty"`
	// Status, Header and Body are the recorded response.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Object names the object that holds a body too large for the row.
	Object string `json:"object,omitempty"`
	// Size and SHA256 check the body; BodyLost is true when it was too large to keep.
	Size     int64  `json:"size,omitempty"`
	SHA256   string `json:"sha256,omitempty"`
	BodyLost bool   `json:"body_lost,omitempty"`
}

// Claims stores claim rows by the hash that ClaimRow returns. Errors have the
// kinds of package platform.
type Claims interface {
	// Get returns the claim and the version of its row.
	Get(ctx context.Context, row string) (Claim, uint64, error)
	// Put writes the claim. Version 0 requires that the row does not exist; any other value
	// requires that version.
	Put(ctx context.Context, row string, claim Claim, version uint64) error
}

// ClaimRow returns the row of an idempotency key: its SHA-256 in hexadecimal.
func ClaimRow(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// tableClaims stores claims in the table service.
type tableClaims struct{ table external.Table }

// NewClaims returns Claims over table, spread over 256 partitions.
func NewClaims(table external.Table) Claims { return tableClaims{table: table} }

// claimKey returns the table key of a claim row.
func claimKey(row string) external.Key {
	return external.Key{Partition: "claim/" + row[:2], Row: row}
}

// Get reads a claim.
func (t tableClaims) Get(ctx context.Context, row string) (Claim, uint64, error) {
	r, err := t.table.Get(ctx, claimKey(row))
	if err != nil {
		return Claim{}, 0, err
	}
	var c Claim
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return Claim{}, 0, model.Wrap(model.KindCorrupt, err, "inspect the row with the platform's tools", "claim row %s", row)
	}
	return c, r.Version, nil
}

// Put writes a claim if its condition holds.
func (t tableClaims) Put(ctx context.Context, row string, claim Claim, version uint64) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "report this as a bug", "encode claim")
	}
	cond := external.Condition{Absent: version == 0, Version: version}
	return t.table.Commit(ctx, external.Write{Key: claimKey(row), Value: value, Condition: cond})
}
