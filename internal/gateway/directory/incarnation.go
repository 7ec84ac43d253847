package directory

import (
	"strconv"
	"strings"
)

// Incarnation identifies one process of a target by the target's identity and the start of
// the process. A target may restart under the same identity, which loses its state. State
// kept about a target is keyed by its Incarnation, so that it is discarded after a restart.
type Incarnation struct {
	// ID is the target's identity.
	ID string
	// StartMs is the start of the process in Unix milliseconds, by the target's clock; 0 if
	// unknown. It does not order the processes, since that clock may have been set back.
	StartMs int64
}

const (
	// startSeparator separates the identity from the start in the text form of an
	// Incarnation.
	startSeparator = "@"
	// startBase is the number base of the start, decimal like the times in logs.
	startBase = 10
)

// Incarnation returns the target's current incarnation.
func (t Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, StartMs: t.StartMs} }

// String returns the identity, followed by the start if that is known or if the identity
// itself contains the separator.
func (i Incarnation) String() string {
	if i.StartMs == 0 && !strings.Contains(i.ID, startSeparator) {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartMs, startBase)
}

// ParseIncarnation parses the result of String. A text without a valid start is an
// identity.
func ParseIncarnation(s string) Incarnation {
	i := strings.LastIndex(s, startSeparator)
	if i < 0 {
		return Incarnation{ID: s}
	}
	startMs, err := strconv.ParseInt(s[i+len(startSeparator):], startBase, 64)
	if err != nil {
		return Incarnation{ID: s}
	}
	return Incarnation{ID: s[:i], StartMs: startMs}
}

// IsCurrent reports whether the directory has a target with this identity and start.
func (d *Directory) IsCurrent(i Incarnation) bool {
	t, known := d.targets[i.ID]
	return known && t.StartMs == i.StartMs
}
