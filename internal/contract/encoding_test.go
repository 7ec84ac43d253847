package contract

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// filling says which value of a type is built.
type filling int

const (
	filled     filling = iota // each field has a value, each list one item
	emptyLists                // lists and maps are there and empty, the rest is zero
	zeroItems                 // each list has one item and each pointer a value, the rest is zero
)

// build returns a value of type t.
func build(t reflect.Type, f filling) reflect.Value {
	v := reflect.New(t).Elem()
	fill(v, f)
	return v
}

func fill(v reflect.Value, f filling) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), f)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 0, 1))
		if f != emptyLists {
			v.Set(reflect.Append(v, build(v.Type().Elem(), f)))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		if f != emptyLists {
			v.SetMapIndex(build(v.Type().Key(), f), build(v.Type().Elem(), f))
		}
	case reflect.Pointer:
		if f != emptyLists {
			v.Set(reflect.New(v.Type().Elem()))
			fill(v.Elem(), f)
		}
	default:
		if f == filled {
			fillPlain(v)
		}
	}
}

func fillPlain(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	default:
		panic(fmt.Sprintf("no value known for %s", v.Type()))
	}
}

// encodings gives the JSON of a type's values, and checks that the filled one
// is the same after decoding.
func encodings(t *testing.T, typ reflect.Type) string {
	t.Helper()
	full := build(typ, filled)
	again := reflect.New(typ)
	if err := json.Unmarshal([]byte(indented(t, full.Interface())), again.Interface()); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(full.Interface(), again.Elem().Interface()); diff != "" {
		t.Errorf("%s changes by encoding and decoding:\n%s", typ, diff)
	}
	return "zero value:\n" + indented(t, reflect.Zero(typ).Interface()) +
		"\nempty lists:\n" + indented(t, build(typ, emptyLists).Interface()) +
		"\nzero items:\n" + indented(t, build(typ, zeroItems).Interface()) +
		"\nfilled:\n" + indented(t, full.Interface()) + "\n"
}

func indented(t *testing.T, v any) string {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// typeFields lists the paths, kinds and words of a type's JSON fields.
func typeFields(path string, t reflect.Type, words map[string][]string) []string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeFields(path, t.Elem(), words)
	case reflect.Slice:
		return append([]string{path + ": list"}, typeFields(path+"[]", t.Elem(), words)...)
	case reflect.Map:
		return append([]string{path + ": map"}, typeFields(path+"{}", t.Elem(), words)...)
	case reflect.Struct:
		var lines []string
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			lines = append(lines, typeFields(join(path, name), t.Field(i).Type, words)...)
		}
		slices.Sort(lines)
		return lines
	}
	line := path + ": " + t.Kind().String()
	if w := words[t.Name()]; t.PkgPath() != "" {
		line += " " + strings.Join(w, "|")
	}
	return []string{line}
}

// structsOf returns the named struct types that a type's values hold, itself
// included, by name.
func structsOf(t reflect.Type) map[string]reflect.Type {
	found := map[string]reflect.Type{}
	var visit func(reflect.Type)
	visit = func(t reflect.Type) {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Map:
			visit(t.Elem())
		case reflect.Struct:
			found[t.Name()] = t
			for i := range t.NumField() {
				visit(t.Field(i).Type)
			}
		}
	}
	visit(t)
	return found
}

// generated is what the generated source of a package declares.
type generated struct {
	structs []string
	words   map[string][]string
}

// readGenerated reads the declarations of the generated files in a directory.
func readGenerated(t *testing.T, dir string) generated {
	t.Helper()
	out := generated{words: map[string][]string{}}
	files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*_gen.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no generated files in %s: %v", dir, err)
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, out.note)
	}
	slices.Sort(out.structs)
	for _, words := range out.words {
		slices.Sort(words)
	}
	return out
}

func (g *generated) note(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.TypeSpec:
		if _, ok := n.Type.(*ast.StructType); ok {
			g.structs = append(g.structs, n.Name.Name)
		}
	case *ast.ValueSpec:
		typ, isNamed := n.Type.(*ast.Ident)
		if !isNamed || len(n.Values) != 1 {
			return true
		}
		if lit, ok := n.Values[0].(*ast.BasicLit); ok {
			word, _ := strconv.Unquote(lit.Value) // the parser let it pass, so it is well formed
			g.words[typ.Name] = append(g.words[typ.Name], word)
		}
	}
	return true
}

// checkReached fails when a generated struct is not part of root, since the
// tests would not see it then.
func checkReached(t *testing.T, g generated, root reflect.Type) {
	t.Helper()
	if diff := cmp.Diff(slices.Sorted(maps.Keys(structsOf(root))), g.structs); diff != "" {
		t.Errorf("types of %s differ (-part of the root type +declared):\n%s", root, diff)
	}
}

// describe is the recorded text of one type with its definition in a schema.
func describe(t *testing.T, s schema, definition schema, typ reflect.Type, g generated) string {
	t.Helper()
	return "schema:\n" + strings.Join(s.flatten("", definition, true), "\n") +
		"\n\ntype:\n" + strings.Join(typeFields("", typ, g.words), "\n") +
		"\n\n" + encodings(t, typ)
}
