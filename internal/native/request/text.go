package request

import "strings"

// pieces is an immutable list of pieces of text that grows at its end. Adding
// costs the same however long the text is, and a copy shares what it can.
type pieces struct {
	last *piece
	// size is the length of the whole text in bytes.
	size int
}

type piece struct {
	before *piece
	text   string
}

func (p pieces) with(text string) pieces {
	if text == "" {
		return p
	}
	return pieces{last: &piece{before: p.last, text: text}, size: p.size + len(text)}
}

func (p pieces) String() string {
	var parts []string
	for n := p.last; n != nil; n = n.before {
		parts = append(parts, n.text)
	}
	var b strings.Builder
	b.Grow(p.size)
	for i := len(parts) - 1; i >= 0; i-- {
		b.WriteString(parts[i])
	}
	return b.String()
}
