package contract

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// schema is the part of a JSON schema document that the tests read.
type schema map[string]any

func parseSchema(t *testing.T, path string) schema {
	t.Helper()
	var s schema
	if err := json.Unmarshal(readSource(t, path), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s schema) object(key string) schema {
	o, _ := s[key].(map[string]any)
	return o
}

// definitions returns the names of the schema's definitions, sorted.
func (s schema) definitions() []string {
	return slices.Sorted(maps.Keys(s.object("$defs")))
}

// resolve follows a reference; keys beside it win.
func (s schema) resolve(node schema) schema {
	ref, ok := node["$ref"].(string)
	if !ok {
		return node
	}
	target := maps.Clone(s.object("$defs").object(refName(ref)))
	maps.Copy(target, node)
	delete(target, "$ref")
	return target
}

// flatten lists a node's fields as paths with their rules, sorted by path.
// Names of definitions don't appear, so that renaming one changes nothing.
func (s schema) flatten(path string, node schema, required bool) []string {
	node = s.resolve(node)
	lines := []string{fmt.Sprintf("%s: %s", cmp.Or(path, "."), rules(node, required))}
	needed, _ := node["required"].([]any)
	for _, name := range slices.Sorted(maps.Keys(node.object("properties"))) {
		child := node.object("properties").object(name)
		lines = append(lines, s.flatten(join(path, name), child, slices.Contains(needed, any(name)))...)
	}
	if items := node.object("items"); items != nil {
		lines = append(lines, s.flatten(path+"[]", items, true)...)
	}
	if values := node.object("additionalProperties"); values != nil {
		lines = append(lines, s.flatten(path+"{}", values, true)...)
	}
	return lines
}

// rules is what one node demands, apart from its children.
func rules(node schema, required bool) string {
	parts := []string{fmt.Sprint(node["type"]), "optional"}
	if required {
		parts[1] = "required"
	}
	for _, key := range slices.Sorted(maps.Keys(node)) {
		switch key {
		case "$schema", "$id", "$defs", "title", "description", "type", "required", "properties", "items":
			continue
		}
		value, isObject := node[key].(map[string]any)
		if isObject && value != nil {
			continue
		}
		parts = append(parts, key+"="+compact(node[key]))
	}
	return strings.Join(parts, " ")
}

func compact(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// refName returns the name of the definition that a reference points to.
func refName(ref string) string { return strings.TrimPrefix(ref, "#/$defs/") }
