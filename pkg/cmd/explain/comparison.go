package explain

import "fmt"

// comparison is what admission compared when it refused a request, from the
// fields of its log line. Times are in milliseconds.
type comparison struct {
	// wait is how long the stages would have waited for other requests' work, bound
	// the most that was allowed.
	wait, bound float64
	// window is the time to the objective, of which share may be planned; alone, lead
	// and priority are taken off.
	window, share, alone, lead, priority float64
	// least is the wait that is always allowed.
	least float64
	// retried says that the client had been refused before, reserved that capacity had been
	// reserved for the request.
	retried, reserved bool
	// returnAfter is when the client is to return with capacity reserved for it; 0 if none is.
	returnAfter float64
	// overShare says that the organisation asked for more than its share of a full service.
	overShare bool
}

// comparisonOf reads a comparison from a line; false when the line has none, as
// those of older nodes.
func comparisonOf(fields map[string]any) (c comparison, ok bool) {
	for name, value := range map[string]*float64{
		"waitMs": &c.wait, "boundMs": &c.bound, "windowMs": &c.window, "planShare": &c.share,
		"aloneMs": &c.alone, "leadMs": &c.lead, "priorityMarginMs": &c.priority, "minWaitMs": &c.least,
	} {
		if *value, ok = fields[name].(float64); !ok {
			return comparison{}, false
		}
	}
	c.reserved, _ = fields["reserved"].(bool)
	c.returnAfter, _ = fields["returnAfter"].(float64)
	// A line of a request that is not over its share has no such field.
	c.overShare, _ = fields["overShare"].(bool)
	c.retried, ok = fields["retried"].(bool)
	return c, ok
}

// text is the comparison in one sentence.
func (c comparison) text() string {
	if c.overShare {
		return fmt.Sprintf("The stages would have waited %.1f ms for other requests, and the request's organisation asked for more than its share of a full service; such a request may wait for %.1f ms.",
			c.wait, c.bound)
	}
	bound := fmt.Sprintf("more than the %.1f ms left for it", c.bound)
	if c.bound <= c.least {
		bound = fmt.Sprintf("more than the %.1f ms that are always allowed", c.bound)
	}
	window := "to the objective,"
	switch {
	case c.reserved:
		window = "of the whole objective, as for each request with reserved capacity,"
	case c.retried:
		window = "of the whole objective, as for each retry,"
	}
	text := fmt.Sprintf("The stages would have waited %.1f ms for other requests, %s: %v of the %.1f ms %s less %.1f ms for the stages themselves, %.1f ms for the engine and %.1f ms for the route's priority.",
		c.wait, bound, c.share, c.window, window, c.alone, c.lead, c.priority)
	if c.returnAfter > 0 {
		text += fmt.Sprintf(" Capacity was reserved for its return after %.1f ms.", c.returnAfter)
	}
	return text
}
