package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is one difference between two bundles.
type Change struct {
	// Key names the value; items of lists are named by their name.
	Key string `json:"key"`
	// Before and After are JSON; empty for a value that is not there.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String gives the change as one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Key, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Key, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Key, c.Before, c.After)
	}
}

// Diff lists the differences between two bundles, by key.
func Diff(before, after Bundle) ([]Change, error) {
	a, err := flatten(before)
	if err != nil {
		return nil, err
	}
	b, err := flatten(after)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(a)
	maps.Copy(all, b)
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if a[key] != b[key] {
			changes = append(changes, Change{Key: key, Before: a[key], After: b[key]})
		}
	}
	return changes, nil
}

// flatten returns the leaves of a bundle, as JSON, by key.
func flatten(b Bundle) (map[string]string, error) {
	raw, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, err
	}
	leaves := make(map[string]string)
	flattenInto(leaves, "", tree)
	return leaves, nil
}

func flattenInto(leaves map[string]string, key string, v any) {
	switch node := v.(type) {
	case map[string]any:
		for name, child := range node {
			flattenInto(leaves, key+"/"+name, child)
		}
	case []any:
		for i, child := range node {
			flattenInto(leaves, key+"/"+itemName(i, child), child)
		}
	default:
		raw, _ := json.Marshal(node) // a leaf of decoded JSON always encodes
		leaves[key] = string(raw)
	}
}

// itemName names an item of a list by its name where it has one, so that moving
// it is no change.
func itemName(i int, v any) string {
	if object, ok := v.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	return strconv.Itoa(i)
}
