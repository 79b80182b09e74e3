package request

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// ClaimPartitions is the number of table partitions that hold claims.
	ClaimPartitions = 256
	// sweepPage is the number of rows read at once.
	sweepPage = 200
)

// Sweeper deletes claims, with their recorded answers, once the retention time has
// passed. The age comes from the wall clock of the node that wrote the claim; it is
// compared with a retention of hours or days, never with a lease.
type Sweeper struct {
	// Table and Objects hold claims and large answers. Required.
	Table   external.Table
	Objects external.Objects
	// Now returns the wall-clock time. Default time.Now.
	Now func() time.Time
}

// Sweep deletes what is older than retention in partition index, from 0 to
// ClaimPartitions-1, and returns the number of claims deleted. A claim that changes
// meanwhile is left for the next sweep. Errors have the kinds of package platform.
func (s Sweeper) Sweep(ctx context.Context, index int, retention time.Duration) (int, error) {
	if s.Now == nil {
		s.Now = time.Now
	}
	partition := fmt.Sprintf("claim/%02x", index%ClaimPartitions)
	before := s.Now().Add(-retention).UnixMilli()
	deleted, from := 0, ""
	for {
		rows, err := s.Table.Range(ctx, partition, from, sweepPage)
		if err != nil {
			return deleted, err
		}
		for _, row := range rows {
			gone, err := s.expire(ctx, row, before)
			if err != nil {
				return deleted, err
			}
			if gone {
				deleted++
			}
		}
		if len(rows) < sweepPage {
			return deleted, nil
		}
		from = rows[len(rows)-1].Key.Row + "\x00"
	}
}

// expire deletes one claim when it is old enough. The row goes first: a claim
// without its answer would be reported as unreadable.
func (s Sweeper) expire(ctx context.Context, row external.Row, before int64) (bool, error) {
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil || c.At == 0 || c.At >= before {
		return false, nil // a row that cannot be read is left for the operators
	}
	err := s.Table.Commit(ctx, external.Write{Key: row.Key, Delete: true, Condition: external.Condition{Version: row.Version}})
	switch {
	case model.IsKind(err, model.KindConflict) || model.IsKind(err, model.KindNotFound):
		return false, nil
	case err != nil:
		return false, err
	case c.Object == "":
		return true, nil
	}
	return true, s.Objects.Delete(ctx, c.Object)
}
