package contract

import (
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"strings"
	"testing"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestConstants holds the values of constants in the order in which they are
// declared. Names are free to change; two values that change places are not.
func TestConstants(t *testing.T) {
	for _, dir := range []string{"internal/wire", "pkg/verdict"} {
		t.Run(dir, func(t *testing.T) {
			values := constantsIn(t, dir)
			checkFile(t, "constants/"+filepath.Base(dir)+".txt", strings.Join(values, "\n")+"\n")
		})
	}
}

// constantsIn returns the values of the constants that the Go files of a
// directory declare, leaving out those counted by iota.
func constantsIn(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	var values []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range parsed.Decls {
			values = append(values, constantsOf(t, decl)...)
		}
	}
	return values
}

func constantsOf(t *testing.T, decl ast.Decl) []string {
	t.Helper()
	group, ok := decl.(*ast.GenDecl)
	if !ok || group.Tok != token.CONST {
		return nil
	}
	var values []string
	for _, spec := range group.Specs {
		for _, expr := range spec.(*ast.ValueSpec).Values {
			if id, ok := expr.(*ast.Ident); ok && id.Name == "iota" {
				continue
			}
			text := types.ExprString(expr)
			value, err := types.Eval(token.NewFileSet(), nil, token.NoPos, text)
			if err != nil {
				t.Fatalf("constant %s: %v", text, err)
			}
			values = append(values, plain(value.Value))
		}
	}
	return values
}

func plain(v constant.Value) string {
	if v.Kind() == constant.String {
		return constant.StringVal(v)
	}
	return v.ExactString()
}

// TestVerdicts holds what is read from each word of a verdict, and the verdict
// on a whole from those on two parts.
func TestVerdicts(t *testing.T) {
	words := []string{"ran", "not-run", "may-have-run", "", "RAN", "unknown"}
	var b strings.Builder
	for _, v := range words {
		fmt.Fprintf(&b, "%q is read as %s\n", v, verdict.Parse(v))
	}
	for _, v := range words[:3] {
		for _, w := range words[:3] {
			fmt.Fprintf(&b, "%s and %s make %s\n", v, w, verdict.Join(verdict.Parse(v), verdict.Parse(w)))
		}
	}
	var zero verdict.Verdict
	fmt.Fprintf(&b, "the zero value is %s\n", zero)
	checkFile(t, "constants/verdicts.txt", b.String())
}
