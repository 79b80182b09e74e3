package journal

import (
	"context"
	"fmt"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// sequenceDigits is the width of a sequence in row and object names, so that
// their order equals the order of the sequences.
const sequenceDigits = 20

// readPage is the number of rows read at once when a whole tail is wanted.
const readPage = 500

// SequenceRow returns the row name of seq: 20 decimal digits.
func SequenceRow(seq uint64) string { return fmt.Sprintf("%0*d", sequenceDigits, seq) }

// ParseSequence is the inverse of SequenceRow.
func ParseSequence(row string) (uint64, error) {
	seq, err := strconv.ParseUint(row, 10, 64)
	if err != nil || len(row) != sequenceDigits {
		return 0, model.Errorf(model.KindCorrupt, "remove rows that do not belong to the journal", "%q is not a sequence", row)
	}
	return seq, nil
}

// Log is a journal in one partition of the table service. It holds no state of
// its own and is safe for concurrent use.
type Log struct {
	table     external.Table
	partition string
}

// New returns the journal kept in partition.
func New(table external.Table, partition string) *Log {
	return &Log{table: table, partition: partition}
}

// Partition returns the name of the journal's partition.
func (l *Log) Partition() string { return l.partition }

func (l *Log) key(seq uint64) external.Key {
	return external.Key{Partition: l.partition, Row: SequenceRow(seq)}
}

// Append writes b at seq, which must be one above the last sequence that the
// caller knows, and returns seq once the row is durable. A batch without an
// append id gets a random one.
//
// Errors: KindFenced when another batch holds seq, KindUnavailable when nothing
// was written, KindUnknown when ctx ended before a lost answer was resolved. After
// KindUnknown the caller repeats Append with the same batch, append id included,
// at the same seq and does nothing else before.
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

// Read returns up to limit entries with a sequence of at least from, in order.
// The first may be above from when the journal was truncated. Entries are
// contiguous; KindStale means that a truncation removed rows during the read.
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

// Tail returns all entries from sequence from to the end. KindStale means that
// from is no longer in the journal, although later entries are: the caller reads
// the newest snapshot and tries again.
func (l *Log) Tail(ctx context.Context, from uint64) ([]Entry, error) {
	from = max(from, 1)
	var all []Entry
	for next := from; ; {
		page, err := l.Read(ctx, next, readPage)
		if err != nil {
			return nil, err
		}
		if len(page) > 0 && page[0].Sequence != next {
			return nil, gapError(l.partition, next, page[0].Sequence)
		}
		// A store may return fewer rows than asked for, so only an empty page shows
		// that there are no more.
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

// VerifyHead checks that no row follows seq. A writer calls it after an append
// that may have been delayed for longer than its lease: truncation removes old
// rows, and a delayed put-if-absent succeeds at a removed sequence. Truncation
// always leaves later rows, so such an append is recognised by them.
//
// Errors: KindFenced when a row follows.
func (l *Log) VerifyHead(ctx context.Context, seq uint64) error {
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

// truncatePage is the number of rows deleted in one transaction.
const truncatePage = 100

// Truncate deletes the rows up to and including seq, oldest first. The caller
// guarantees that at least one row after seq exists.
func (l *Log) Truncate(ctx context.Context, seq uint64) error {
	for {
		rows, err := l.table.Range(ctx, l.partition, SequenceRow(0), truncatePage)
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
