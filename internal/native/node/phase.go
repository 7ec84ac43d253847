package node

// Phase is the part of its life that a node is in.
type Phase int32

// Phases of a node.
const (
	Starting Phase = iota
	Serving
	Leaving
)

// String returns the text used on the wire.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving"}[p]
}
