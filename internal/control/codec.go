package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// MaxInlineText is the size in bytes above which the text of a proposal is kept
// in the object store.
const MaxInlineText = 64 << 10

// textTimeout bounds the read of one text while entries of a peer are applied.
const textTimeout = 2 * time.Second

// EncodeRecord returns the stored form of r.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode control record")
	}
	return data, nil
}

// DecodeRecord reads the stored form of a record. Errors: KindCorrupt; KindInvalid
// when the record is of a kind that this build does not know.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, model.Wrap(model.KindCorrupt, err, "restore the row from the store's backup", "decode control record")
	}
	if n := r.kinds(); n != 1 {
		return Record{}, model.Errorf(model.KindInvalid, "upgrade this node to a release that knows the record",
			"the control record holds %d known kinds", n)
	}
	return r, nil
}

func decodeEntries(rows []journal.Entry) ([]Entry, error) {
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		if len(row.Records) != 1 {
			return nil, model.Errorf(model.KindCorrupt, "restore the row from the store's backup",
				"control entry %d holds %d records", row.Sequence, len(row.Records))
		}
		r, err := DecodeRecord(row.Records[0])
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Sequence: row.Sequence, Record: r})
	}
	return entries, nil
}

func textObject(sum string) string { return "declarations/" + sum }

func textSum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// storeText moves a large text to the object store, before the record that
// refers to it is appended.
func (s *Store) storeText(ctx context.Context, rec Record) (Record, error) {
	if rec.Proposed == nil || len(rec.Proposed.Text) <= MaxInlineText {
		return rec, nil
	}
	short := *rec.Proposed
	short.TextSHA256 = textSum([]byte(short.Text))
	if err := s.cfg.Objects.Put(ctx, textObject(short.TextSHA256), []byte(short.Text)); err != nil {
		return rec, err
	}
	short.Text = ""
	rec.Proposed = &short
	return rec, nil
}

// loadTexts reads the texts that entries refer to, by their sums. KindCorrupt means
// that an object does not hold the text that was proposed.
func (s *Store) loadTexts(ctx context.Context, entries []Entry) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range entries {
		p := e.Record.Proposed
		if p == nil || p.Text != "" || e.Sequence <= s.View().Sequence {
			continue
		}
		data, err := s.cfg.Objects.Get(ctx, textObject(p.TextSHA256))
		if err != nil {
			return nil, err
		}
		if textSum(data) != p.TextSHA256 {
			return nil, model.Errorf(model.KindCorrupt, "restore the object from the store's backup", "the text of control entry %d fails its check", e.Sequence)
		}
		texts[p.TextSHA256] = string(data)
	}
	return texts, nil
}

func withText(e Entry, texts map[string]string) Entry {
	p := e.Record.Proposed
	if p == nil || p.Text != "" {
		return e
	}
	full := *p
	full.Text = texts[p.TextSHA256]
	e.Record.Proposed = &full
	return e
}
