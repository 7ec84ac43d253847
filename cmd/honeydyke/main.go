// Command honeydyke serves multi-stage model pipelines from a signed bundle.
package main

import (
	"os"

	"github.com/honeydyke/honeydyke/pkg/cmd/root"
)

func main() {
	os.Exit(root.Main(os.Args[1:]))
}
