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
	// sweepPageSize is the number of rows read at once.
	sweepPageSize = 200
)

// Sweeper deletes claims and their recorded responses once the retention time has passed. The
// age is computed from the wall clock of the node that wrote the claim; it is compared only
// with a retention of hours or days, never with a lease.
type Sweeper struct {
	// Table and Objects hold the claims and the large responses. Required.
	Table   external.Table
	Objects external.Objects
	// Now returns the wall-clock time. Default time.Now.
	Now func() time.Time
}

// Sweep deletes the claims older than retention in partition index, from 0 to
// ClaimPartitions-1, and returns their number. A claim that changes during the sweep is left
// for the next one. Errors have the kinds of package platform.
func (s Sweeper) Sweep(ctx context.Context, index int, retention time.Duration) (int, error) {
	if s.Now == nil {
		s.Now = time.Now
	}
	partition := fmt.Sprintf("claim/%02x", index%ClaimPartitions)
	before := s.Now().Add(-retention).UnixMilli()
	deleted, from := 0, ""
	for {
		rows, err := s.Table.Range(ctx, partition, from, sweepPageSize)
		if err != nil {
			return deleted, err
		}
		for _, row := range rows {
			removed, err := s.expire(ctx, row, before)
			if err != nil {
				return deleted, err
			}
			if removed {
				deleted++
			}
		}
		if len(rows) < sweepPageSize {
			return deleted, nil
		}
		from = rows[len(rows)-1].Key.Row + "\x00"
	}
}

// expire deletes one claim when it is old enough. The row is deleted before the object,
// because a claim without its object would be reported as unreadable.
func (s Sweeper) expire(ctx context.Context, row external.Row, before int64) (bool, error) {
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil || c.At == 0 || c.At >= before {
		return false, nil // an unreadable row is left for the operators to inspect
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
