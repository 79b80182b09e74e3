package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes is the size in bytes above which a text is refused.
const MaxBytes = 10_000_000

// Document is a declaration together with the text it was read from.
type Document struct {
	// Name is the file name or another label used in messages.
	Name string
	// Text is the text as it was read, with comments and order.
	Text []byte
	// Digest identifies the content; see Digest.
	Digest string
	// Declaration is the decoded content with defaults filled in.
	Declaration *Declaration

	// positions tells where each field is written; nil after Parse, which
	// Validate makes good when it finds a fault.
	positions map[string]token.Position
}

// Parse decodes text and fills in defaults. The error is a Faults that lists
// every fault of form: encoding, syntax, unknown or repeated fields and wrong
// types. Parse does not check the content, so that a node can always load a
// text that was accepted under an earlier build's rules; use Check for new
// texts. The name is used in messages only.
func Parse(name string, text []byte) (*Document, error) {
	doc, faults := read(name, text, nil)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Check parses text and validates its content. The error is a Faults that
// lists the faults of form and of content together.
func Check(name string, text []byte) (*Document, error) {
	doc, faults := read(name, text, map[string]token.Position{})
	if doc == nil || doc.Declaration.isEmpty() && len(faults) > 0 {
		return nil, faults.orNil()
	}
	form := faults
	for _, fault := range doc.contentFaults() {
		if !form.cover(fault.Path) {
			faults = append(faults, fault)
		}
	}
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return doc, nil
}

// isEmpty reports whether nothing was decoded, as from a text that is no
// declaration at all; its content needs no check.
func (d *Declaration) isEmpty() bool {
	return d.Version == 0 && d.Deployment == "" && d.DataCentres == nil && d.Services == nil
}

// Validate checks the content of the document and reports all faults at once
// with their positions. The error is a Faults.
func (d *Document) Validate() error { return d.contentFaults().orNil() }

// contentFaults validates the declaration and adds positions to the faults.
func (d *Document) contentFaults() Faults {
	faults := d.Declaration.faults()
	if len(faults) > 0 && d.positions == nil {
		d.locate()
	}
	for i := range faults {
		faults[i].File = d.Name
		pos := d.position(faults[i].Path)
		faults[i].Line, faults[i].Column = pos.Line, pos.Column
	}
	return faults
}

// locate reads the text again for the positions that Parse did not keep.
func (d *Document) locate() {
	d.positions = map[string]token.Position{}
	if again, _ := read(d.Name, d.Text, d.positions); again == nil {
		d.positions = nil // the text was replaced by one that cannot be read
	}
}

// position returns where path is written, or where the nearest enclosing
// field is when path itself is absent from the text.
func (d *Document) position(path string) token.Position {
	for path != "" {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		path = parentPath(path)
	}
	return token.Position{Line: 1, Column: 1}
}

// parentPath cuts the last field or index from path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// cover reports whether f already has a fault at path or at a part of it, so
// that a value which could not be decoded is not reported as missing as well.
func (f Faults) cover(path string) bool {
	for _, fault := range f {
		if fault.Path == "" {
			continue
		}
		if rest, ok := strings.CutPrefix(fault.Path, path); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// read decodes text and fills positions unless it is nil. The document is nil
// when nothing could be decoded.
func read(name string, text []byte, positions map[string]token.Position) (*Document, Faults) {
	if fault := checkEncoding(text); fault != nil {
		fault.File = name
		return nil, Faults{*fault}
	}
	body, fault := parseYAML(text)
	if fault != nil {
		fault.File = name
		return nil, Faults{*fault}
	}
	dec := &decoder{file: name, positions: positions}
	decl := &Declaration{}
	dec.decode(body, decl)
	doc := &Document{Name: name, Text: text, Declaration: decl, positions: positions}
	doc.Digest = decl.digest()
	decl.Provision()
	return doc, dec.faults
}

var (
	utf8BOM    = []byte{0xEF, 0xBB, 0xBF}
	utf16LEBOM = []byte{0xFF, 0xFE}
	utf16BEBOM = []byte{0xFE, 0xFF}
)

// checkEncoding returns a fault when text cannot be a declaration at all.
func checkEncoding(text []byte) *Fault {
	const remedy = "save the file as UTF-8 text"
	switch {
	case len(text) > MaxBytes:
		return &Fault{
			Reason: fmt.Sprintf("the text has %d bytes; the limit is %d (10 MB)", len(text), MaxBytes),
			Remedy: "pass the declaration and not another file, or remove what it does not need",
		}
	case len(bytes.TrimSpace(text)) == 0:
		return &Fault{Reason: "the text is empty", Remedy: "start from one of the sample declarations under examples/"}
	case bytes.HasPrefix(text, utf16LEBOM), bytes.HasPrefix(text, utf16BEBOM):
		return &Fault{Line: 1, Column: 1, Reason: "the text is encoded as UTF-16", Remedy: remedy}
	}
	if i := bytes.IndexByte(text, 0); i >= 0 {
		return faultAt(text, i, "the file is binary: it contains a NUL byte", "pass a declaration written as YAML text")
	}
	if i := invalidUTF8(text); i >= 0 {
		return faultAt(text, i, fmt.Sprintf("byte 0x%02X is not valid UTF-8", text[i]), remedy)
	}
	return nil
}

// invalidUTF8 returns the offset of the first byte that is not UTF-8, or -1.
func invalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// faultAt returns a fault at a byte offset of text.
func faultAt(text []byte, offset int, reason, remedy string) *Fault {
	before := text[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:]) + 1
	return &Fault{Line: line, Column: column, Reason: reason, Remedy: remedy}
}

// parseYAML returns the root node of the only document in text.
func parseYAML(text []byte) (ast.Node, *Fault) {
	tokens := lexer.Tokenize(string(bytes.TrimPrefix(text, utf8BOM)))
	if fault := checkNesting(tokens); fault != nil {
		return nil, fault
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			pos := doc.Body.GetToken().Position
			return nil, &Fault{
				Line: pos.Line, Column: pos.Column,
				Reason: "the text holds more than one YAML document",
				Remedy: "keep one document and remove the --- line before the next",
			}
		}
		body = doc.Body
	}
	if body == nil {
		return nil, &Fault{Reason: "the text holds only comments", Remedy: "start from one of the sample declarations under examples/"}
	}
	return body, nil
}

// Nesting limits. A declaration is 4 deep; the YAML parser needs quadratic time
// in the depth (4,000 open brackets took 48 ms, a megabyte of them minutes).
const (
	maxFlowDepth = 32
	maxIndent    = 200
)

// checkNesting refuses texts that would take the parser very long.
func checkNesting(tokens token.Tokens) *Fault {
	depth, line := 0, 0
	for _, tok := range tokens {
		first := tok.Position.Line != line
		line = tok.Position.Line
		switch tok.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		reason := ""
		switch {
		case depth > maxFlowDepth:
			reason = fmt.Sprintf("brackets are nested more than %d deep", maxFlowDepth)
		case tok.Position.Column > maxIndent && (first || tok.Type == token.SequenceEntryType):
			reason = fmt.Sprintf("the text is indented by more than %d columns", maxIndent)
		}
		if reason != "" {
			return &Fault{Line: line, Column: tok.Position.Column, Reason: reason, Remedy: "pass a declaration, which needs no such depth"}
		}
	}
	return nil
}

// syntaxFault turns an error of the YAML parser into a fault.
func syntaxFault(err error) *Fault {
	fault := &Fault{Reason: "not valid YAML: " + firstLine(err.Error()), Remedy: "correct the YAML at this position"}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return fault
	}
	fault.Reason = "not valid YAML: " + firstLine(yamlErr.GetMessage())
	if tok := yamlErr.GetToken(); tok != nil && tok.Position != nil {
		fault.Line, fault.Column = tok.Position.Line, tok.Position.Column
	}
	return fault
}

// firstLine returns s up to its first line break.
func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}
