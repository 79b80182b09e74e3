package declaration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"
)

// Digest returns the digest of a declaration's text as 64 hexadecimal digits,
// or the empty string when the text cannot be decoded.
//
// The digest covers the values that the text states. It changes when a value
// is added, removed or changed. It does not change with comments, blank lines,
// indentation, quotes, the order of fields or of list entries, or another
// spelling of the same value (1.0 and 1, 1000ms and 1s). A default that is
// written out gives another digest than one that is left out, because another
// build may have another default.
func Digest(text []byte) string {
	doc, faults := read("", text)
	if doc == nil || len(faults) > 0 {
		return ""
	}
	return doc.Digest
}

// digest returns the digest of d as decoded, before Provision.
func (d *Declaration) digest() string {
	sum := sha256.Sum256(canonical(reflect.ValueOf(*d)))
	return hex.EncodeToString(sum[:])
}

// canonical encodes v as JSON without zero fields and with list entries
// sorted: every list of the declaration is a set. Fields that a later build
// adds leave the encoding of earlier texts unchanged.
func canonical(v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Struct:
		return canonicalStruct(v)
	case reflect.Slice:
		entries := make([][]byte, v.Len())
		for i := range entries {
			entries[i] = canonical(v.Index(i))
		}
		slices.SortFunc(entries, bytes.Compare)
		return enclose('[', entries, ']')
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		panic("declaration: " + err.Error()) // the types hold nothing that JSON cannot express
	}
	return data
}

// canonicalStruct encodes the fields of a struct that are not zero, by name.
func canonicalStruct(v reflect.Value) []byte {
	var fields [][]byte
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		name := `"` + yamlName(v.Type().Field(i)) + `":`
		fields = append(fields, append([]byte(name), canonical(v.Field(i))...))
	}
	slices.SortFunc(fields, bytes.Compare)
	return enclose('{', fields, '}')
}

// enclose joins parts with commas between two brackets.
func enclose(first byte, parts [][]byte, last byte) []byte {
	out := append([]byte{first}, bytes.Join(parts, []byte{','})...)
	return append(out, last)
}
