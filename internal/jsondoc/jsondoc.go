// Package jsondoc reads JSON with comments, checks it against a JSON Schema and
// reports every problem with its file, line and key. Bundles and settings are read
// by it. It relies on hujson for the text and its positions and on jsonschema for
// the rules; a document with any problem is refused whole.
package jsondoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// Problem is one fault of a document.
type Problem struct {
	// File names the document.
	File string `json:"file"`
	// Line is 1 for the first line.
	Line int `json:"line"`
	// Key is the JSON pointer of the value at fault; empty for the document itself.
	Key string `json:"key"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String gives the problem in the form file:line: key: text.
func (p Problem) String() string {
	key := p.Key
	if key == "" {
		key = "/"
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, key, p.Text)
}

// Problems is the error returned for a document that is refused.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// MustCompile compiles an embedded schema and panics when it is invalid.
func MustCompile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Wrap(err, name))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(errors.Wrap(err, name))
	}
	return c.MustCompile(name)
}

// Document is a parsed text that knows the line of each of its keys.
type Document struct {
	file string
	text []byte
	tree hujson.Value
}

// Read parses text, checks it against schema and decodes it into out.
// The error is of type Problems.
func Read(file string, text []byte, schema *jsonschema.Schema, out any) (*Document, error) {
	doc := &Document{file: file, text: text}
	tree, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{{File: file, Line: lineOfSyntaxError(err), Text: err.Error()}}
	}
	doc.tree = tree
	if ps := doc.duplicates(&doc.tree, "", nil); len(ps) > 0 {
		return nil, ps
	}
	plain := tree.Clone()
	plain.Standardize()
	writeOutWholeNumbers(&plain)
	packed := plain.Pack()
	if ps := doc.validate(packed, schema); len(ps) > 0 {
		return nil, ps
	}
	dec := json.NewDecoder(bytes.NewReader(packed))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, Problems{{File: file, Line: 1, Text: err.Error()}}
	}
	return doc, nil
}

// maxExact is beyond all whole numbers that each float64 below it names exactly.
const maxExact = 1 << 53

// writeOutWholeNumbers writes whole numbers without a fraction or an exponent: 7.5e3 is 7500. The schema
// takes both, encoding/json reads the second alone into an integer.
func writeOutWholeNumbers(v *hujson.Value) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		for i := range node.Members {
			writeOutWholeNumbers(&node.Members[i].Value)
		}
	case *hujson.Array:
		for i := range node.Elements {
			writeOutWholeNumbers(&node.Elements[i])
		}
	case hujson.Literal:
		text := string(node)
		if node.Kind() != '0' || !strings.ContainsAny(text, ".eE") {
			return
		}
		if f, err := strconv.ParseFloat(text, 64); err == nil && f == math.Trunc(f) && math.Abs(f) < maxExact {
			v.Value = hujson.Int(saturate.Int64(f))
		}
	}
}

// Problem makes a problem for the value at key, a JSON pointer.
func (d *Document) Problem(key, format string, args ...any) Problem {
	return Problem{File: d.file, Line: d.line(key), Key: key, Text: fmt.Sprintf(format, args...)}
}

func (d *Document) line(key string) int {
	for {
		if v := d.tree.Find(key); v != nil {
			return d.lineAt(v.StartOffset)
		}
		cut := strings.LastIndexByte(key, '/')
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// Locate returns the line and the column, from 1, of the value at a JSON pointer in a text, or of what the value would
// stand in; 1 and 1 for a text that is no JSON.
func Locate(text []byte, pointer string) (line, column int) {
	tree, err := hujson.Parse(text)
	if err != nil {
		return 1, 1
	}
	for {
		if v := tree.Find(pointer); v != nil {
			return LocateOffset(text, v.StartOffset)
		}
		pointer = pointer[:max(strings.LastIndexByte(pointer, '/'), 0)]
	}
}

// LocateOffset returns the line and the column, from 1, of a byte of a text.
func LocateOffset(text []byte, offset int) (line, column int) {
	before := text[:min(max(offset, 0), len(text))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// lineOfSyntaxError takes the line from hujson's text "hujson: line 3, column 4: ...".
func lineOfSyntaxError(err error) int {
	line := 1
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d", &line) // another text leaves the first line
	return line
}

func (d *Document) duplicates(v *hujson.Value, key string, ps Problems) Problems {
	switch node := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(node.Members))
		for i := range node.Members {
			name := memberName(&node.Members[i])
			child := key + "/" + escape(name)
			if seen[name] {
				line := d.lineAt(node.Members[i].Name.StartOffset)
				ps = append(ps, Problem{File: d.file, Line: line, Key: child, Text: "the key stands twice; it may stand once"})
			}
			seen[name] = true
			ps = d.duplicates(&node.Members[i].Value, child, ps)
		}
	case *hujson.Array:
		for i := range node.Elements {
			ps = d.duplicates(&node.Elements[i], key+"/"+strconv.Itoa(i), ps)
		}
	}
	return ps
}

func memberName(m *hujson.ObjectMember) string {
	lit, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return lit.String()
}

func (d *Document) validate(packed []byte, schema *jsonschema.Schema) Problems {
	inst, err := jsonschema.UnmarshalJSON(bytes.NewReader(packed))
	if err != nil {
		return Problems{{File: d.file, Line: 1, Text: err.Error()}}
	}
	err = schema.Validate(inst)
	if err == nil {
		return nil
	}
	var verr *jsonschema.ValidationError
	if !errors.As(err, &verr) {
		return Problems{{File: d.file, Line: 1, Text: err.Error()}}
	}
	return d.leaves(verr, nil)
}

// leaves collects the innermost causes, which name the value really at fault.
func (d *Document) leaves(e *jsonschema.ValidationError, ps Problems) Problems {
	for _, cause := range e.Causes {
		ps = d.leaves(cause, ps)
	}
	if len(e.Causes) > 0 {
		return ps
	}
	key := pointer(e.InstanceLocation)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range extra.Properties {
			ps = append(ps, d.Problem(key+"/"+escape(name), "unknown key"))
		}
		return ps
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return append(ps, d.Problem(key, "%s", text))
}

func pointer(parts []string) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteByte('/')
		b.WriteString(escape(part))
	}
	return b.String()
}

func escape(part string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(part)
}
