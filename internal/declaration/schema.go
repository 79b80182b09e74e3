package declaration

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"
)

// typesSource is the source code of the types. Their doc comments appear in the schema
// and on the reference page.
//
//go:embed types.go
var typesSource string

// Schema returns the JSON Schema of a declaration, generated from the types. It covers
// the form: names, types and required fields. Check also covers the content.
func Schema() []byte {
	docs := readDocs()
	reflector := jsonschema.Reflector{
		FieldNameTag: "yaml",
		Anonymous:    true,
		Mapper:       mapText,
		Namer:        schemaName,
		LookupComment: func(t reflect.Type, field string) string {
			return docs[docKey(t.Name(), field)]
		},
	}
	schema := reflector.Reflect(&Declaration{})
	schema.Title = "vanillapier declaration"
	for name, definition := range schema.Definitions {
		addDefaults(definition, name)
	}
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		panic("declaration: " + err.Error()) // the schema contains only values that JSON can encode
	}
	return append(data, '\n')
}

// schemaName returns the name of a type's definition. The string type model.DataCentre
// and the struct DataCentre would share a definition under their Go names.
func schemaName(t reflect.Type) string {
	if t.Kind() == reflect.String {
		return "Text"
	}
	return t.Name()
}

// mapText maps names and durations to the JSON type string; a Duration is a number in Go.
func mapText(t reflect.Type) *jsonschema.Schema {
	if t.Kind() == reflect.String {
		return &jsonschema.Schema{Type: "string"}
	}
	if t != reflect.TypeFor[Duration]() {
		return nil
	}
	return &jsonschema.Schema{
		Type:     "string",
		Pattern:  `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`,
		Examples: []any{"250ms", "5s", "72h"},
	}
}

// addDefaults adds the defaults of Provision to a schema definition.
func addDefaults(definition *jsonschema.Schema, name string) {
	for _, t := range documentedTypes {
		if t.Name() != name {
			continue
		}
		for i := range t.NumField() {
			property, ok := definition.Properties.Get(yamlName(t.Field(i)))
			if value := defaultOf(t, i); ok && value != nil {
				property.Default = value
			}
		}
	}
}

// defaultOf returns the value that Provision sets in field i of t, or nil.
func defaultOf(t reflect.Type, i int) any {
	d := Declaration{DataCentres: make([]DataCentre, 1), Services: make([]Service, 1), BatchClasses: make([]BatchClass, 1)}
	d.Provision()
	var v reflect.Value
	switch t {
	case reflect.TypeFor[DataCentre]():
		v = reflect.ValueOf(d.DataCentres[0])
	case reflect.TypeFor[Service]():
		v = reflect.ValueOf(d.Services[0])
	case reflect.TypeFor[BatchClass]():
		v = reflect.ValueOf(d.BatchClasses[0])
	case reflect.TypeFor[Limits]():
		v = reflect.ValueOf(d.Limits)
	default:
		return nil
	}
	return defaultValue(v.Field(i))
}

// defaultValue returns the value of a provisioned field as it is written in YAML, or nil
// when Provision leaves it unset.
func defaultValue(v reflect.Value) any {
	if v.Kind() == reflect.Struct || v.IsZero() {
		return nil
	}
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	if d, ok := v.Interface().(Duration); ok {
		return d.D().String()
	}
	return v.Interface()
}

// docKey is the key of a type's or field's doc comment.
func docKey(typeName, field string) string {
	if field == "" {
		return typeName
	}
	return typeName + "." + field
}

// readDocs returns the doc comments of the types and their fields.
func readDocs() map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "types.go", typesSource, parser.ParseComments)
	if err != nil {
		panic(fmt.Sprintf("declaration: embedded types.go: %v", err)) // the compiler has parsed the same file
	}
	docs := map[string]string{}
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range group.Specs {
			if t, ok := spec.(*ast.TypeSpec); ok {
				docs[t.Name.Name] = oneLine(group.Doc)
				readFieldDocs(docs, t)
			}
		}
	}
	return docs
}

// readFieldDocs adds the doc comments of a struct's fields.
func readFieldDocs(docs map[string]string, t *ast.TypeSpec) {
	fields, ok := t.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, f := range fields.Fields.List {
		for _, name := range f.Names {
			docs[docKey(t.Name.Name, name.Name)] = oneLine(f.Doc)
		}
	}
}

// oneLine joins a comment's lines.
func oneLine(doc *ast.CommentGroup) string { return strings.Join(strings.Fields(doc.Text()), " ") }
