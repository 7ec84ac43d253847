package directory

import (
	"strconv"
	"strings"
)

// Life is one life of a target: its identity, and the start of its process. A target may
// start again under the identity that it had; it then holds and knows nothing of before.
// What is believed of a target is kept under its Life, so that all of it ends with it.
type Life struct {
	// ID is the target's identity.
	ID string
	// Born is when its process started, in Unix milliseconds of its own clock; 0 for
	// unknown. It distinguishes lives and does not order them: the clock may have been set back.
	Born int64
}

// bornMark parts identity and start in the text of a Life.
const bornMark = "@"

// bornBase is decimal, in which the log shows times.
const bornBase = 10

// Life returns the target's present life.
func (t Target) Life() Life { return Life{ID: t.ID, Born: t.Born} }

// String gives the identity, and behind it the start where that is known or the identity
// would read as if it were.
func (l Life) String() string {
	if l.Born == 0 && !strings.Contains(l.ID, bornMark) {
		return l.ID
	}
	return l.ID + bornMark + strconv.FormatInt(l.Born, bornBase)
}

// ParseLife reads what String gives. A text without a start that reads is an identity.
func ParseLife(s string) Life {
	i := strings.LastIndex(s, bornMark)
	if i < 0 {
		return Life{ID: s}
	}
	born, err := strconv.ParseInt(s[i+len(bornMark):], bornBase, 64)
	if err != nil {
		return Life{ID: s}
	}
	return Life{ID: s[:i], Born: born}
}

// Lives says whether a life is that of a target which is listed or lapsed.
func (d *Directory) Lives(l Life) bool {
	t, known := d.targets[l.ID]
	return known && t.Born == l.Born
}
