// Command floatconversions lists the conversions of a float to a whole number in the packages that its arguments
// name, as go list reads them. Go leaves such a conversion to the machine where the value is out of range; package
// saturate has one within bounds. Tests are passed over. It exits with 1 if it found any, with 2 if it could not look.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// converter is the package whose conversions are bounded.
const converter = "/internal/saturate"

// listedPackage is what go list reports of a package.
type listedPackage struct {
	ImportPath string
	Dir        string
	Export     string
	GoFiles    []string
	DepOnly    bool
}

func main() {
	found, err := find(os.Args[1:]...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, f := range found {
		fmt.Println(f)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

// find returns the places of the packages that convert a float to a whole number.
func find(patterns ...string) ([]string, error) {
	packages, err := list(patterns)
	if err != nil {
		return nil, err
	}
	exports := make(map[string]string, len(packages))
	for _, p := range packages {
		exports[p.ImportPath] = p.Export
	}
	fset := token.NewFileSet()
	imports := importer.ForCompiler(fset, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })
	var found []string
	for _, p := range packages {
		if p.DepOnly || strings.HasSuffix(p.ImportPath, converter) {
			continue
		}
		places, err := conversions(fset, imports, p)
		if err != nil {
			return nil, errors.Wrap(err, p.ImportPath)
		}
		found = append(found, places...)
	}
	return found, nil
}

// list returns packages and all that they import, with their export data.
func list(patterns []string) ([]listedPackage, error) {
	cmd := exec.Command("go", append([]string{"list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles,DepOnly"}, patterns...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, errors.Wrap(err, "go list")
	}
	var packages []listedPackage
	for d := json.NewDecoder(bytes.NewReader(out)); d.More(); {
		var p listedPackage
		if err := d.Decode(&p); err != nil {
			return nil, errors.Wrap(err, "go list")
		}
		packages = append(packages, p)
	}
	return packages, nil
}

// conversions returns the places of a package that convert a float to a whole number.
func conversions(fset *token.FileSet, imports types.Importer, p listedPackage) ([]string, error) {
	var files []*ast.File
	for _, name := range p.GoFiles {
		f, err := parser.ParseFile(fset, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	info := &types.Info{Types: make(map[ast.Expr]types.TypeAndValue)}
	if _, err := (&types.Config{Importer: imports}).Check(p.ImportPath, fset, files, info); err != nil {
		return nil, err
	}
	var places []string
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && convertsFloat(info, call) {
				places = append(places, fmt.Sprintf("%s: a float is converted to a whole number without bounds", fset.Position(call.Pos())))
			}
			return true
		})
	}
	return places, nil
}

// convertsFloat reports whether a call converts a float that is no constant to a whole number. A type
// parameter counts as what its constraint allows.
func convertsFloat(info *types.Info, call *ast.CallExpr) bool {
	target := info.Types[call.Fun]
	if !target.IsType() || len(call.Args) != 1 {
		return false
	}
	arg := info.Types[call.Args[0]]
	return arg.Value == nil && allows(target.Type, types.IsInteger) && allows(arg.Type, types.IsFloat)
}

// allows reports whether a type, or one that a type parameter stands for, is of a kind.
func allows(t types.Type, kind types.BasicInfo) bool {
	if p, ok := types.Unalias(t).(*types.TypeParam); ok {
		return constraintAllows(p.Constraint().Underlying(), kind)
	}
	b, ok := t.Underlying().(*types.Basic)
	return ok && b.Info()&kind != 0
}

func constraintAllows(t types.Type, kind types.BasicInfo) bool {
	c, ok := t.(*types.Interface)
	if !ok {
		return allows(t, kind)
	}
	for i := range c.NumEmbeddeds() {
		switch e := c.EmbeddedType(i).(type) {
		case *types.Union:
			for j := range e.Len() {
				if allows(e.Term(j).Type(), kind) {
					return true
				}
			}
		default:
			if constraintAllows(e.Underlying(), kind) {
				return true
			}
		}
	}
	return false
}
