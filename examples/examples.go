// Package examples holds the deployments of honeydyke's first users, as bundles.
package examples

import (
	_ "embed" // the bundles
	"slices"
)

//go:embed kowhai/bundle.hujson
var kowhai []byte

//go:embed floraria/bundle.hujson
var floraria []byte

// Kowhai returns the bundle of Kōwhai Co-op, which weighs cost by stage.
func Kowhai() []byte { return slices.Clone(kowhai) }

// Floraria returns the bundle of Floraria Norte, which weighs attainment.
func Floraria() []byte { return slices.Clone(floraria) }

// Key returns the bearer key of an organisation in the examples.
func Key(organisation string) string { return "example-" + organisation }
