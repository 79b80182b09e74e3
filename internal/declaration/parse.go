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

// MaxBytes is the maximum size of a text in bytes.
const MaxBytes = 10_000_000

// Document is a declaration together with the text it was read from.
type Document struct {
	// Name is the file name or another label used in messages.
	Name string
	// Text is the unmodified text, including comments.
	Text []byte
	// Digest identifies the content; see Digest.
	Digest string
	// Declaration is the decoded content with defaults filled in.
	Declaration *Declaration

	// positions maps paths to positions. It is nil after Parse; loadPositions fills it
	// when Validate finds an error.
	positions map[string]token.Position
}

// Parse decodes text and fills in defaults. The error is a ValidationErrors that lists all
// errors of form: encoding, syntax, unknown or repeated fields and wrong types. Parse does
// not check the content, so that a node can always load a text that was accepted under an
// earlier build's rules; use Check for new texts. The name is used in messages only.
func Parse(name string, text []byte) (*Document, error) {
	doc, errs := read(name, text, nil)
	if err := errs.asError(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Check parses text and validates its content. The error is a ValidationErrors that lists
// the errors of form and content together.
func Check(name string, text []byte) (*Document, error) {
	doc, errs := read(name, text, map[string]token.Position{})
	if doc == nil || doc.Declaration.isEmpty() && len(errs) > 0 {
		return nil, errs.asError()
	}
	form := errs
	for _, verr := range doc.contentErrors() {
		if !form.covers(verr.Path) {
			errs = append(errs, verr)
		}
	}
	if err := errs.asError(); err != nil {
		return nil, err
	}
	return doc, nil
}

// isEmpty reports whether nothing was decoded, for example because the text is not a
// declaration. Its content is then not checked.
func (d *Declaration) isEmpty() bool {
	return d.Version == 0 && d.Deployment == "" && d.DataCentres == nil && d.Services == nil
}

// Validate checks the content of the document. The error is a ValidationErrors that lists
// all errors with their positions.
func (d *Document) Validate() error { return d.contentErrors().asError() }

// contentErrors validates the declaration and adds positions to the errors.
func (d *Document) contentErrors() ValidationErrors {
	errs := d.Declaration.validationErrors()
	if len(errs) > 0 && d.positions == nil {
		d.loadPositions()
	}
	for i := range errs {
		errs[i].File = d.Name
		pos := d.position(errs[i].Path)
		errs[i].Line, errs[i].Column = pos.Line, pos.Column
	}
	return errs
}

// loadPositions parses the text again to get the positions that Parse did not record.
func (d *Document) loadPositions() {
	d.positions = map[string]token.Position{}
	if again, _ := read(d.Name, d.Text, d.positions); again == nil {
		d.positions = nil // the text was replaced by one that cannot be parsed
	}
}

// position returns the position of path, or that of the nearest enclosing field when path
// is absent from the text.
func (d *Document) position(path string) token.Position {
	for path != "" {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		path = parentPath(path)
	}
	return token.Position{Line: 1, Column: 1}
}

// parentPath removes the last field or index from path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// covers reports whether f has an error at path or below it. A value that could not be
// decoded is then not also reported as missing.
func (f ValidationErrors) covers(path string) bool {
	for _, verr := range f {
		if verr.Path == "" {
			continue
		}
		if rest, ok := strings.CutPrefix(verr.Path, path); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// read decodes text and records positions unless the map is nil. The document is nil when
// the text cannot be parsed.
func read(name string, text []byte, positions map[string]token.Position) (*Document, ValidationErrors) {
	if verr := checkEncoding(text); verr != nil {
		verr.File = name
		return nil, ValidationErrors{*verr}
	}
	body, verr := parseYAML(text)
	if verr != nil {
		verr.File = name
		return nil, ValidationErrors{*verr}
	}
	dec := &decoder{file: name, positions: positions}
	decl := &Declaration{}
	dec.decode(body, decl)
	doc := &Document{Name: name, Text: text, Declaration: decl, positions: positions}
	doc.Digest = decl.digest()
	decl.Provision()
	return doc, dec.errs
}

var (
	utf8BOM    = []byte{0xEF, 0xBB, 0xBF}
	utf16LEBOM = []byte{0xFF, 0xFE}
	utf16BEBOM = []byte{0xFE, 0xFF}
)

// checkEncoding returns an error when text is too large, empty or not UTF-8 text.
func checkEncoding(text []byte) *ValidationError {
	const remedy = "save the file as UTF-8 text"
	switch {
	case len(text) > MaxBytes:
		return &ValidationError{
			Reason: fmt.Sprintf("the text has %d bytes; the limit is %d (10 MB)", len(text), MaxBytes),
			Remedy: "pass the declaration and not another file, or remove what it does not need",
		}
	case len(bytes.TrimSpace(text)) == 0:
		return &ValidationError{Reason: "the text is empty", Remedy: "start from one of the sample declarations under examples/"}
	case bytes.HasPrefix(text, utf16LEBOM), bytes.HasPrefix(text, utf16BEBOM):
		return &ValidationError{Line: 1, Column: 1, Reason: "the text is encoded as UTF-16", Remedy: remedy}
	}
	if i := bytes.IndexByte(text, 0); i >= 0 {
		return errorAt(text, i, "the file is binary: it contains a NUL byte", "pass a declaration written as YAML text")
	}
	if i := invalidUTF8(text); i >= 0 {
		return errorAt(text, i, fmt.Sprintf("byte 0x%02X is not valid UTF-8", text[i]), remedy)
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

// errorAt returns an error at a byte offset of text.
func errorAt(text []byte, offset int, reason, remedy string) *ValidationError {
	before := text[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:]) + 1
	return &ValidationError{Line: line, Column: column, Reason: reason, Remedy: remedy}
}

// parseYAML returns the root node of the single document in text.
func parseYAML(text []byte) (ast.Node, *ValidationError) {
	tokens := lexer.Tokenize(string(bytes.TrimPrefix(text, utf8BOM)))
	if verr := checkNesting(tokens); verr != nil {
		return nil, verr
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(err)
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			pos := doc.Body.GetToken().Position
			return nil, &ValidationError{
				Line: pos.Line, Column: pos.Column,
				Reason: "the text holds more than one YAML document",
				Remedy: "keep one document and remove the --- line before the next",
			}
		}
		body = doc.Body
	}
	if body == nil {
		return nil, &ValidationError{Reason: "the text holds only comments", Remedy: "start from one of the sample declarations under examples/"}
	}
	return body, nil
}

// Nesting limits. A declaration is 4 levels deep. The YAML parser takes quadratic time in
// the depth: 48 ms for 4,000 open brackets, minutes for a megabyte of them.
const (
	maxFlowDepth = 32
	maxIndent    = 200
)

// checkNesting rejects texts that would take the parser very long.
func checkNesting(tokens token.Tokens) *ValidationError {
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
			return &ValidationError{Line: line, Column: tok.Position.Column, Reason: reason, Remedy: "pass a declaration, which needs no such depth"}
		}
	}
	return nil
}

// syntaxError converts an error of the YAML parser.
func syntaxError(err error) *ValidationError {
	verr := &ValidationError{Reason: "not valid YAML: " + firstLine(err.Error()), Remedy: "correct the YAML at this position"}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return verr
	}
	verr.Reason = "not valid YAML: " + firstLine(yamlErr.GetMessage())
	if tok := yamlErr.GetToken(); tok != nil && tok.Position != nil {
		verr.Line, verr.Column = tok.Position.Line, tok.Position.Column
	}
	return verr
}

// firstLine returns s up to its first line break.
func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}
