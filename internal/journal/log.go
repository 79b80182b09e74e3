package journal

import (
	"context"
	"fmt"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// sequenceDigits is the fixed width of a sequence in row and object names. It makes the
// lexical order of names equal to the order of sequences.
const sequenceDigits = 20

// tailPageRows is the number of rows that Tail reads at a time.
const tailPageRows = 500

// SequenceRow returns the row name of seq, which has 20 decimal digits.
func SequenceRow(seq uint64) string { return fmt.Sprintf("%0*d", sequenceDigits, seq) }

// ParseSequence is the inverse of SequenceRow.
func ParseSequence(row string) (uint64, error) {
	seq, err := strconv.ParseUint(row, 10, 64)
	if err != nil || len(row) != sequenceDigits {
		return 0, model.Errorf(model.KindCorrupt, "remove rows that do not belong to the journal", "%q is not a sequence", row)
	}
	return seq, nil
}

// Log is a journal in one partition of the table service. It is stateless and safe for
// concurrent use.
type Log struct {
	table     external.Table
	partition string
}

// New returns the journal in partition.
func New(table external.Table, partition string) *Log {
	return &Log{table: table, partition: partition}
}

// Partition returns the name of the journal's partition.
func (l *Log) Partition() string { return l.partition }

func (l *Log) key(seq uint64) external.Key {
	return external.Key{Partition: l.partition, Row: SequenceRow(seq)}
}

// Append writes b at seq, which must be one above the last sequence that the writer
// knows, and returns seq once the row is durable. A batch without an append id gets a
// random one.
//
// Errors: KindFenced if another batch has seq, KindUnavailable if nothing was written,
// KindUnknown if ctx ended before a lost response was resolved. After KindUnknown the
// writer must first repeat Append with the same batch, including its append id, at the
// same seq.
func (l *Log) Append(ctx context.Context, seq uint64, b Batch) (uint64, error) {
	if seq == 0 {
		return 0, model.Errorf(model.KindInvalid, "start at sequence 1", "append at sequence 0")
	}
	if b.AppendID == (AppendID{}) {
		b.AppendID = NewAppendID()
	}
	value, err := EncodeBatch(b)
	if err != nil {
		return 0, err
	}
	a := appendOp{log: l, seq: seq, id: b.AppendID, value: value}
	return seq, a.run(ctx)
}

// Read returns up to limit entries with a sequence of at least from, in order. The first
// sequence may be above from if the journal was truncated. The entries are contiguous;
// KindStale means that a truncation removed rows during the read.
func (l *Log) Read(ctx context.Context, from uint64, limit int) ([]Entry, error) {
	rows, err := l.table.Range(ctx, l.partition, SequenceRow(from), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		e, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		if n := len(entries); n > 0 && e.Sequence != entries[n-1].Sequence+1 {
			return nil, gapError(l.partition, entries[n-1].Sequence+1, e.Sequence)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func decodeRow(row external.Row) (Entry, error) {
	seq, err := ParseSequence(row.Key.Row)
	if err != nil {
		return Entry{}, err
	}
	b, err := DecodeBatch(row.Value)
	if err != nil {
		return Entry{}, fmt.Errorf("journal %s, sequence %d: %w", row.Key.Partition, seq, err)
	}
	return Entry{Sequence: seq, Batch: b}, nil
}

// Tail returns all entries starting at sequence from. KindStale means that from was
// truncated but later entries exist; the reader must load the newest snapshot and retry.
func (l *Log) Tail(ctx context.Context, from uint64) ([]Entry, error) {
	from = max(from, 1)
	var all []Entry
	for next := from; ; {
		page, err := l.Read(ctx, next, tailPageRows)
		if err != nil {
			return nil, err
		}
		if len(page) > 0 && page[0].Sequence != next {
			return nil, gapError(l.partition, next, page[0].Sequence)
		}
		// The store may return fewer rows than requested, so only an empty page marks
		// the end.
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		next = page[len(page)-1].Sequence + 1
	}
}

func gapError(partition string, want, got uint64) error {
	return model.Errorf(model.KindStale, "read the newest snapshot and the journal after it",
		"journal %s continues at sequence %d instead of %d", partition, got, want)
}

// VerifyLast checks that no row follows seq. A writer must call it after an append that
// may have been delayed for longer than its lease: truncation removes old rows, and a
// delayed put-if-absent then succeeds at a removed sequence. Truncation always leaves
// later rows, which reveal such an append.
//
// Errors: KindFenced if a row follows seq.
func (l *Log) VerifyLast(ctx context.Context, seq uint64) error {
	rows, err := l.table.Range(ctx, l.partition, SequenceRow(seq+1), 1)
	if err != nil {
		return err
	}
	if len(rows) > 0 {
		return model.Errorf(model.KindFenced, "stop; a newer owner has taken over",
			"journal %s has sequence %s after %d", l.partition, rows[0].Key.Row, seq)
	}
	return nil
}

// truncatePageRows is the number of rows deleted in one transaction.
const truncatePageRows = 100

// Truncate deletes the rows up to and including seq, oldest first. At least one row
// after seq must exist.
func (l *Log) Truncate(ctx context.Context, seq uint64) error {
	for {
		rows, err := l.table.Range(ctx, l.partition, SequenceRow(0), truncatePageRows)
		if err != nil {
			return err
		}
		deletes := deletesUpTo(rows, SequenceRow(seq))
		if len(deletes) == 0 {
			return nil
		}
		if err := l.table.Commit(ctx, deletes...); err != nil {
			return err
		}
	}
}

func deletesUpTo(rows []external.Row, last string) []external.Write {
	var deletes []external.Write
	for _, row := range rows {
		if row.Key.Row > last {
			break
		}
		deletes = append(deletes, external.Write{Key: row.Key, Delete: true})
	}
	return deletes
}
