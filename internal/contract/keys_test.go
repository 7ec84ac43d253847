package contract

import (
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// TestKeys holds the keys of the files that operators write: schema and
// generated type, from the root down.
func TestKeys(t *testing.T) {
	documents := []struct {
		name, dir string
		typ       reflect.Type
	}{
		{"settings", "pkg/settings", reflect.TypeFor[settings.Settings]()},
		{"bundle", "pkg/bundle", reflect.TypeFor[bundle.Bundle]()},
	}
	for _, d := range documents {
		t.Run(d.name, func(t *testing.T) {
			s := parseSchema(t, d.dir+"/"+d.name+".schema.json")
			g := readGenerated(t, d.dir)
			checkReached(t, g, d.typ)
			if diff := cmp.Diff(s.definitions(), s.referenced()); diff != "" {
				t.Errorf("definitions differ (-declared +referred to):\n%s", diff)
			}
			checkFile(t, d.name+".txt", describe(t, s, s, d.typ, g))
		})
	}
}

// referenced returns the names of the definitions that the root refers to,
// directly or by another, sorted.
func (s schema) referenced() []string {
	var names []string
	var visit func(v any)
	visit = func(v any) {
		switch v := v.(type) {
		case []any:
			for _, item := range v {
				visit(item)
			}
		case map[string]any:
			if ref, ok := v["$ref"].(string); ok {
				names = append(names, refName(ref))
				visit(map[string]any(s.object("$defs").object(refName(ref))))
			}
			for _, child := range v {
				visit(child)
			}
		}
	}
	visit(map[string]any(s.object("properties")))
	slices.Sort(names)
	return slices.Compact(names)
}
