package admission

// Rule: when a target counts as leaving.
//
// A leaving target gets no new work. A mark, from the target itself or from
// another node, holds for one incarnation: no later report of that incarnation
// takes it back, whatever the order in which reports and marks arrive. A target
// whose incarnation is not known counts as leaving with any mark, until its own
// report names an incarnation without one.
//
// Why so: docs/decisions/0006-membership.md. A missed mark costs each attempt sent
// there a refusal and a retry; a mark held for the wrong incarnation leaves a
// started target without work. Marks take a few bytes each and are dropped with
// the target.

// mark records that an incarnation is leaving.
func (t *target) mark(incarnation string) {
	if t.marks == nil {
		t.marks = make(map[string]bool)
	}
	t.marks[incarnation] = true
	if t.incarnation == "" || t.incarnation == incarnation {
		t.leaving = true
	}
}
