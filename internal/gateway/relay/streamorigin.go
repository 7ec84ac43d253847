package relay

import "github.com/honeydyke/honeydyke/internal/gateway/directory"

// streamOrigin is what began the stream that a request continues. Targets do not check whether
// they understand a stream of another software version, so that it goes on only at targets of
// the version that began it.
type streamOrigin struct {
	// begun is true once the client has a part of the stream.
	begun bool
	// version is that of the target that began it; unknown if a member of an earlier version
	// reported that target.
	version directory.Version
}

// begin records the target that began the stream, unless it has begun already.
func (o *streamOrigin) begin(t directory.Target) {
	if !o.begun {
		o.begun, o.version = true, t.Version
	}
}

// mayContinueAt reports whether a target may get the request.
func (o *streamOrigin) mayContinueAt(t directory.Target) bool {
	return !o.begun || o.version.Known() && t.Version == o.version
}

// nowhere reports whether no target may get the request since it is not known which began it.
func (o *streamOrigin) nowhere() bool { return o.begun && !o.version.Known() }
