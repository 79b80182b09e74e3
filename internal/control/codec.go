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

// MaxInlineText is the largest text of a proposal, in bytes, that is stored in the record
// itself. A larger text is stored in the object store.
const MaxInlineText = 64 << 10

// textTimeout bounds the object store reads while entries of a peer are applied.
const textTimeout = 2 * time.Second

// EncodeRecord returns the stored form of r.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode control record")
	}
	return data, nil
}

// DecodeRecord decodes the stored form of a record. Errors: KindCorrupt, or KindInvalid when
// this build does not know the kind of the record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, model.Wrap(model.KindCorrupt, err, "restore the row from the store's backup", "decode control record")
	}
	if n := r.kindCount(); n != 1 {
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

func textObjectName(sum string) string { return "declarations/" + sum }

func textSHA256(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// offloadText moves a large text to the object store. This happens before the record that
// refers to the text is appended.
func (s *Store) offloadText(ctx context.Context, rec Record) (Record, error) {
	if rec.Proposed == nil || len(rec.Proposed.Text) <= MaxInlineText {
		return rec, nil
	}
	stored := *rec.Proposed
	stored.TextSHA256 = textSHA256([]byte(stored.Text))
	if err := s.cfg.Objects.Put(ctx, textObjectName(stored.TextSHA256), []byte(stored.Text)); err != nil {
		return rec, err
	}
	stored.Text = ""
	rec.Proposed = &stored
	return rec, nil
}

// loadTexts reads the texts that entries refer to and returns them by SHA-256. KindCorrupt
// means that an object does not contain the proposed text.
func (s *Store) loadTexts(ctx context.Context, entries []Entry) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range entries {
		p := e.Record.Proposed
		if p == nil || p.Text != "" || e.Sequence <= s.View().Sequence {
			continue
		}
		data, err := s.cfg.Objects.Get(ctx, textObjectName(p.TextSHA256))
		if err != nil {
			return nil, err
		}
		if textSHA256(data) != p.TextSHA256 {
			return nil, model.Errorf(model.KindCorrupt, "restore the object from the store's backup", "the text of control entry %d fails its check", e.Sequence)
		}
		texts[p.TextSHA256] = string(data)
	}
	return texts, nil
}

func withLoadedText(e Entry, texts map[string]string) Entry {
	p := e.Record.Proposed
	if p == nil || p.Text != "" {
		return e
	}
	loaded := *p
	loaded.Text = texts[p.TextSHA256]
	e.Record.Proposed = &loaded
	return e
}
