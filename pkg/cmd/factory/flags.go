package factory

import (
	"os"
	"time"

	"github.com/spf13/cobra"
)

// keyVariable is the environment variable that holds an organisation's key.
const keyVariable = "HONEYDYKE_KEY"

// AddJSONFlag adds the flag that asks for JSON in place of text.
func AddJSONFlag(cmd *cobra.Command, v *bool) {
	cmd.Flags().BoolVar(v, "json", false, "print JSON")
}

// CallFlags are the flags of the verbs that send requests to nodes.
type CallFlags struct {
	// Nodes are the URLs of the nodes' caller addresses.
	Nodes    []string
	Key      string
	Pipeline string
	// Deadline is the longest wait; the pipeline's when zero.
	Deadline time.Duration
}

// Add adds the flags to a verb.
func (c *CallFlags) Add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringArrayVar(&c.Nodes, "node", nil, "URL of a node; may be given again")
	flags.StringVar(&c.Key, "key", "", "bearer key of the organisation; else from "+keyVariable)
	flags.StringVar(&c.Pipeline, "pipeline", "", "pipeline to run")
	flags.DurationVar(&c.Deadline, "deadline", 0, "longest wait; the pipeline's when 0")
}

// Complete takes the key from the environment when no flag gave one, and returns
// a UsageError when a flag that must be given is missing.
func (c *CallFlags) Complete() error {
	if len(c.Nodes) == 0 || c.Pipeline == "" {
		return Usagef("--node and --pipeline are required")
	}
	if c.Key == "" {
		c.Key = os.Getenv(keyVariable)
	}
	return nil
}
