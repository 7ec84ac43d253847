package explain

import (
	"fmt"
	"strings"
)

// evidence is which answer a failure was concluded from, from the fields of its log line.
type evidence struct {
	verdict, answer, connection string
	// before holds the answers that the connection had brought, the oldest first.
	before []string
}

// evidenceOf reads the evidence from a line; false when the line has none.
func evidenceOf(fields map[string]any) (e evidence, ok bool) {
	if e.answer, ok = fields["answer"].(string); !ok {
		return evidence{}, false
	}
	e.connection, _ = fields["connection"].(string)
	e.verdict, _ = fields["verdict"].(string)
	before, _ := fields["before"].([]any)
	for _, answer := range before {
		e.before = append(e.before, fmt.Sprint(answer))
	}
	return e, true
}

// text is the evidence in one sentence.
func (e evidence) text() string {
	concluded := "This"
	if e.verdict != "" {
		concluded = fmt.Sprintf("The verdict %q", e.verdict)
	}
	before := "nothing before"
	if len(e.before) > 0 {
		before = "before: " + strings.Join(e.before, ", ")
	}
	return fmt.Sprintf("%s was concluded from the answer %s on connection %s, which had brought %s.", concluded, e.answer, e.connection, before)
}
