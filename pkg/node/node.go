// Package node runs one instance of honeydyke's native interface: it serves
// callers by a signed bundle, exchanges state with its peers and stops without
// cutting work.
//
// Another program creates a node with New and runs it with Run; see the
// Example. The node keeps nothing on disk, starts no process and shares no
// state. The implementation is in internal/native; this package is the part of
// it that others may rely on.
package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/native/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Node is one instance. Its Run serves until the context ends and then stops as
// planned.
type Node = node.Node

// Phase is the part of its life that a node is in.
type Phase = node.Phase

// Phases of a node, in the order in which it goes through them.
const (
	Starting = node.Starting
	Serving  = node.Serving
	Leaving  = node.Leaving
)

// Option changes a Node under construction.
type Option = node.Option

// New returns a node that listens on its addresses but serves nothing until Run.
// A port 0 in the settings takes a free port. It fails when an address cannot be
// listened on or when keys or certificates of the settings cannot be read.
func New(cfg *settings.Settings, opts ...Option) (*Node, error) { return node.New(cfg, opts...) }

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option { return node.WithLogger(log) }

// WithClock sets the clock, which must be monotonic; time.Now by default.
func WithClock(now func() time.Time) Option { return node.WithClock(now) }

// WithStall sets the longest silence of an engine's stream, after which the
// stream counts as lost.
func WithStall(d time.Duration) Option { return node.WithStall(d) }
