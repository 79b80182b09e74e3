package declaration

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder decodes a YAML tree into Go values. The library's own decoder stops at the
// first error and does not keep positions; this one collects all errors and records the
// position of each field. It accepts only the syntax that a declaration needs: no
// anchors, aliases, tags or merge keys.
type decoder struct {
	file string
	errs ValidationErrors
	// positions maps paths to positions. It is nil when they are not needed, because
	// recording them takes a third of the decoding time.
	positions map[string]token.Position
}

// fieldPath is the path of a field. It is formatted only when an error or a position is
// recorded.
type fieldPath struct {
	parent *fieldPath
	key    string
	index  int // index of a list entry, which has no key
}

// String formats the path, for example services[0].runners.
func (p *fieldPath) String() string {
	if p == nil {
		return ""
	}
	parent := p.parent.String()
	switch {
	case p.key == "":
		return parent + "[" + strconv.Itoa(p.index) + "]"
	case parent == "":
		return p.key
	}
	return parent + "." + p.key
}

// field returns the path of a field of p.
func (p *fieldPath) field(key string) *fieldPath { return &fieldPath{parent: p, key: key} }

// entry returns the path of a list entry of p.
func (p *fieldPath) entry(i int) *fieldPath { return &fieldPath{parent: p, index: i} }

// recordPosition records the position of a path.
func (d *decoder) recordPosition(path *fieldPath, pos token.Position) {
	if d.positions != nil {
		d.positions[path.String()] = pos
	}
}

// decode decodes node into target, a pointer to a struct.
func (d *decoder) decode(node ast.Node, target any) {
	d.value(node, nil, reflect.ValueOf(target).Elem())
}

// addError records a validation error at the position of node.
func (d *decoder) addError(node ast.Node, path *fieldPath, remedy, format string, args ...any) {
	pos := nodePosition(node)
	d.errs = append(d.errs, ValidationError{
		File: d.file, Line: pos.Line, Column: pos.Column,
		Path: path.String(), Reason: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// nodePosition returns the start of node. The token of a mapping is its first colon, so
// the position of its first key is used instead.
func nodePosition(node ast.Node) token.Position {
	switch n := node.(type) {
	case *ast.MappingValueNode:
		return nodePosition(n.Key)
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return nodePosition(n.Values[0])
		}
	}
	if tok := node.GetToken(); tok != nil && tok.Position != nil {
		return *tok.Position
	}
	return token.Position{Line: 1, Column: 1}
}

// value decodes node into v.
func (d *decoder) value(node ast.Node, path *fieldPath, v reflect.Value) {
	if _, null := node.(*ast.NullNode); null {
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(node, path, text)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(node, path, v)
	case reflect.Slice:
		d.sequence(node, path, v)
	default:
		d.scalar(node, path, v)
	}
}

// mapping decodes a mapping into a struct.
func (d *decoder) mapping(node ast.Node, path *fieldPath, v reflect.Value) {
	entries, ok := mappingEntries(node)
	if !ok {
		d.addError(node, path, "write fields as name: value", "expected fields, found %s", describe(node))
		return
	}
	seen := map[string]token.Position{}
	for _, entry := range entries {
		d.entry(entry, path, v, seen)
	}
}

// entry decodes one field of a mapping.
func (d *decoder) entry(entry *ast.MappingValueNode, path *fieldPath, v reflect.Value, seen map[string]token.Position) {
	key := entry.Key.GetToken().Value
	i, ok := infoOf(v.Type()).byName[key]
	if !ok {
		d.addError(entry.Key, path.field(key), unknownFieldRemedy(v.Type(), key), "unknown field %q", key)
		return
	}
	if first, dup := seen[key]; dup {
		d.addError(entry.Key, path.field(key), "keep one of them", "field %q is already given in line %d", key, first.Line)
		return
	}
	seen[key] = nodePosition(entry.Key)
	inner := path.field(key)
	d.recordPosition(inner, seen[key])
	d.value(entry.Value, inner, v.Field(i))
}

// mappingEntries returns the entries of a mapping node.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// sequence decodes a list into a slice.
func (d *decoder) sequence(node ast.Node, path *fieldPath, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addError(node, path, "write each entry on its own line after a dash", "expected a list, found %s", describe(node))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, entry := range list.Values {
		inner := path.entry(i)
		d.recordPosition(inner, nodePosition(entry))
		d.value(entry, inner, v.Index(i))
	}
}

// text decodes a scalar into a value that implements encoding.TextUnmarshaler.
func (d *decoder) text(node ast.Node, path *fieldPath, target encoding.TextUnmarshaler) {
	value, ok := scalarText(node)
	if !ok {
		d.addError(node, path, "write one value", "expected one value, found %s", describe(node))
		return
	}
	if err := target.UnmarshalText([]byte(value)); err != nil {
		d.addError(node, path, "write a number with a unit such as 250ms, 5s or 72h", "%q is not a duration", value)
	}
}

// scalar decodes a string, boolean or number.
func (d *decoder) scalar(node ast.Node, path *fieldPath, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := stringValue(node); ok {
			v.SetString(s)
			return
		}
		d.addError(node, path, "write text; put it in quotes when it looks like a number or true", "expected text, found %s", describe(node))
	case reflect.Bool:
		if b, ok := node.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.addError(node, path, "write true or false", "expected true or false, found %s", describe(node))
	case reflect.Int, reflect.Int64:
		if i, ok := intValue(node); ok {
			v.SetInt(i)
			return
		}
		d.addError(node, path, "write a whole number without quotes or a unit", "expected a whole number, found %s", describe(node))
	case reflect.Float64:
		if f, ok := floatValue(node); ok {
			v.SetFloat(f)
			return
		}
		d.addError(node, path, "write a number without quotes or a unit", "expected a number, found %s", describe(node))
	default:
		panic("declaration: field " + path.String() + " has an unsupported kind")
	}
}

// stringValue returns the value of a text node.
func stringValue(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// intValue returns the value of an integer that fits in an int64.
func intValue(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch i := n.Value.(type) {
	case int64:
		return i, true
	case uint64:
		return int64(i), i <= 1<<63-1
	}
	return 0, false
}

// floatValue returns the value of a number.
func floatValue(node ast.Node) (float64, bool) {
	if f, ok := node.(*ast.FloatNode); ok {
		return f.Value, true
	}
	i, ok := intValue(node)
	return float64(i), ok
}

// scalarText returns a string or number as it is written.
func scalarText(node ast.Node) (string, bool) {
	if s, ok := stringValue(node); ok {
		return s, true
	}
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return node.GetToken().Value, true
	}
	return "", false
}

// describe describes node for error messages.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a group of fields"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "a YAML anchor or alias, which a declaration cannot use"
	case *ast.TagNode:
		return "a YAML tag, which a declaration cannot use"
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", shorten(n.Value))
	}
	return shorten(node.GetToken().Value)
}

// maxQuoted bounds the bytes of a value that an error message quotes.
const maxQuoted = 40

// shorten truncates s to maxQuoted bytes.
func shorten(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
}

// unknownFieldRemedy suggests the closest known field, or lists all of them.
func unknownFieldRemedy(t reflect.Type, key string) string {
	names := infoOf(t).names
	if best := closest(key, names); best != "" {
		return fmt.Sprintf("did you mean %s? otherwise remove it", best)
	}
	return "remove it, or use one of " + strings.Join(names, ", ")
}
