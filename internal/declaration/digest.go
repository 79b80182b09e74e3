package declaration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"slices"
	"strconv"
)

// Digest returns the digest of a declaration's text as 64 hexadecimal digits,
// or the empty string when the text cannot be decoded.
//
// The digest covers the values in the text. It changes when a value is added, removed
// or changed. It does not change with comments, blank lines, indentation, quotes, the
// order of fields or list entries, or another spelling of the same value (1.0 and 1,
// 1000ms and 1s). A default that is written out gives a different digest than one that
// is left out, because another build may have another default.
func Digest(text []byte) string {
	doc, errs := read("", text, nil)
	if doc == nil || len(errs) > 0 {
		return ""
	}
	return doc.Digest
}

// digest returns the digest of d. It must be called before Provision.
func (d *Declaration) digest() string {
	sum := sha256.Sum256(appendCanonical(nil, reflect.ValueOf(d).Elem()))
	return hex.EncodeToString(sum[:])
}

// appendCanonical appends a canonical encoding of v: without zero fields, with fields
// sorted by name, and with list entries sorted, because every list of the declaration is
// a set. Fields that a later build adds do not change the encoding of earlier texts.
func appendCanonical(out []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Struct:
		return appendStruct(out, v)
	case reflect.Slice:
		return appendSet(out, v)
	case reflect.Pointer:
		return appendCanonical(out, v.Elem())
	case reflect.String:
		return strconv.AppendQuote(out, v.String())
	case reflect.Bool:
		return strconv.AppendBool(out, v.Bool())
	case reflect.Int, reflect.Int64:
		return strconv.AppendInt(out, v.Int(), 10)
	case reflect.Float64:
		return strconv.AppendFloat(out, v.Float(), 'g', -1, 64)
	}
	panic("declaration: no canonical form of " + v.Type().String())
}

// appendStruct appends the fields that are not zero, sorted by name.
func appendStruct(out []byte, v reflect.Value) []byte {
	info := infoOf(v.Type())
	out = append(out, '{')
	for _, i := range info.sorted {
		if v.Field(i).IsZero() {
			continue
		}
		out = append(out, info.names[i]...)
		out = append(out, ':')
		out = appendCanonical(out, v.Field(i))
		out = append(out, ',')
	}
	return append(out, '}')
}

// appendSet appends the entries of a list, sorted by encoding.
func appendSet(out []byte, v reflect.Value) []byte {
	entries := make([][]byte, v.Len())
	for i := range entries {
		entries[i] = appendCanonical(nil, v.Index(i))
	}
	slices.SortFunc(entries, bytes.Compare)
	out = append(out, '[')
	for _, entry := range entries {
		out = append(out, entry...)
		out = append(out, ',')
	}
	return append(out, ']')
}
