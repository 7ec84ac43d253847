// Package fixedseed makes the property tests of a package that imports it draw
// the same cases on every run, unless -rapid.seed asks for others.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags before this package sets one
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // rapid no longer has the flag
	}
}
