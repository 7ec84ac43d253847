package explain

import "fmt"

// withdrawal is why an admitted request was refused, from the fields of its last log line.
// Times are in milliseconds, from the request's arrival.
type withdrawal struct {
	// service is the one whose coordinator refused the request's items.
	service string
	// waited is how long the request had waited.
	waited float64
	// priority is that of the work that would have been late, projected when it would have
	// been done, and due when it was due.
	priority, projected, due float64
}

// withdrawalOf reads a withdrawal from a line; false when the line has none.
func withdrawalOf(fields map[string]any) (w withdrawal, ok bool) {
	if w.service, ok = fields["withdrawnBy"].(string); !ok {
		return withdrawal{}, false
	}
	for name, value := range map[string]*float64{
		"waitedMs": &w.waited, "latePriority": &w.priority, "projectedMs": &w.projected, "dueMs": &w.due,
	} {
		if *value, ok = fields[name].(float64); !ok {
			return withdrawal{}, false
		}
	}
	return w, true
}

// text is the withdrawal in one sentence.
func (w withdrawal) text() string {
	return fmt.Sprintf("The request was admitted and refused %.1f ms later, before anything of it ran, because more urgent work had displaced it: with its items, work of priority %v at %s would have been done %.1f ms after it was due.",
		w.waited, w.priority, w.service, w.projected-w.due)
}
