package directory

import (
	"strconv"
	"strings"
)

// Incarnation is one life of a target: its identity, and the start of its process. A target may
// start again under the identity that it had; it then holds and knows nothing of before.
// What is believed of a target is kept under its Incarnation, so that all of it ends with it.
type Incarnation struct {
	// ID is the target's identity.
	ID string
	// StartMs is when its process started, in Unix milliseconds of its own clock; 0 for
	// unknown. It distinguishes lives and does not order them: the clock may have been set back.
	StartMs int64
}

// bornMark parts identity and start in the text of a Life.
const bornMark = "@"

// bornBase is decimal, in which the log shows times.
const bornBase = 10

// Incarnation returns the target's present life.
func (t Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, StartMs: t.StartMs} }

// String gives the identity, and behind it the start where that is known or the identity
// would read as if it were.
func (l Incarnation) String() string {
	if l.StartMs == 0 && !strings.Contains(l.ID, bornMark) {
		return l.ID
	}
	return l.ID + bornMark + strconv.FormatInt(l.StartMs, bornBase)
}

// ParseIncarnation reads what String gives. A text without a start that reads is an identity.
func ParseIncarnation(s string) Incarnation {
	i := strings.LastIndex(s, bornMark)
	if i < 0 {
		return Incarnation{ID: s}
	}
	born, err := strconv.ParseInt(s[i+len(bornMark):], bornBase, 64)
	if err != nil {
		return Incarnation{ID: s}
	}
	return Incarnation{ID: s[:i], StartMs: born}
}

// IsCurrent says whether a life is that of a target which is listed or lapsed.
func (d *Directory) IsCurrent(l Incarnation) bool {
	t, known := d.targets[l.ID]
	return known && t.StartMs == l.StartMs
}
