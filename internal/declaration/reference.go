package declaration

import (
	"fmt"
	"reflect"
	"strings"
)

// referenceHead is the static part of the reference page.
const referenceHead = `# Declaration reference

This page is generated from ` + "`internal/declaration/types.go`" + ` by ` + "`go test ./internal/declaration -run TestGeneratedFiles -update`" + `; a test checks that it agrees with the code. The JSON Schema for editors is ` + "`declaration.schema.json`" + `.

A declaration is one YAML document in UTF-8 of at most 10 MB. Unknown and repeated fields are refused, as are anchors, aliases and tags. ` + "`vpier check FILE`" + ` reports every fault with line, column and remedy. Sample declarations are in ` + "`examples/`" + `.

## Digest

The digest identifies the content of a declaration. It changes when a value is added, removed or changed. It does not change with comments, blank lines, indentation, quotes, the order of fields or of list entries, or another spelling of the same value (` + "`1.0` and `1`, `1000ms` and `1s`" + `). A default that is written out gives another digest than one that is left out. The text itself is stored as it was proposed, with comments and order.

## Checks of content

- Names have 1 to 63 lower-case letters, digits and hyphens, and are unique in their list.
- ` + "`depends_on`" + ` names listed services, without circles.
- A data centre's equipment is stated in full (racks, workers per rack, cores and memory of a worker) or not at all.
- When all data centres state their equipment: no quota and no sum of quotas exceeds all workers together; one task of each class fits at least one kind of worker and the quota of at least one team.
- A service has at least as many connections as slots for each runner, and its timeout is not shorter than its target.
`

// Reference returns the reference page of the declaration in Markdown,
// generated from the types, their doc comments and the defaults of Provision.
func Reference() []byte {
	docs := readDocs()
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, t := range documentedTypes {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", t.Name(), docs[t.Name()])
		b.WriteString("| field | type | default | meaning |\n|---|---|---|---|\n")
		for i := range t.NumField() {
			field := t.Field(i)
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", yamlName(field), typeName(field.Type),
				defaultCell(t, i), docs[docKey(t.Name(), field.Name)])
		}
	}
	return []byte(b.String())
}

// defaultCell returns the table cell with the default of a field.
func defaultCell(t reflect.Type, i int) string {
	if value := defaultOf(t, i); value != nil {
		return fmt.Sprintf("`%v`", value)
	}
	if strings.Contains(t.Field(i).Tag.Get("yaml"), ",omitempty") {
		return "none"
	}
	return "required"
}

// typeName returns the name of a field's type for the reference page.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "duration"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Struct:
		return fmt.Sprintf("[%s](#%s)", t.Name(), strings.ToLower(t.Name()))
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	}
	return "whole number"
}
