package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Change is what differs between two catalogs in one part.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Part is the kind of the part: "route", "service", "organisation" or "limits"; Name names it.
	Part string `json:"part"`
	Name string `json:"name"`
	// Details says what the part is, or what of it differs. It never holds a key.
	Details []string `json:"details"`
}

// String returns the change as text, a line each for the part and its details.
func (c Change) String() string {
	sign := map[string]string{added: "+", removed: "-", changed: "~"}[c.Kind]
	return strings.Join(append([]string{strings.TrimSpace(sign + " " + c.Part + " " + c.Name)}, c.Details...), "\n    ")
}

const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// Diff returns what an operator sees change from one catalog to the next: routes, services, organisations and limits, in
// the order of their names.
func Diff(old, next *Catalog) []Change {
	var list []Change
	list = append(list, diffParts(partRoute, old.routesByName(), next.routesByName(), diffRoutes)...)
	list = append(list, diffParts(partService, old.services, next.services, diffServices)...)
	list = append(list, diffParts(partOrganisation, old.keysByOrganisation(), next.keysByOrganisation(), diffKeys)...)
	var limits, whole comparison
	limits.value("size of a body", old.Limits.BodyBytes, next.Limits.BodyBytes)
	whole.value("routes that are not public require a key", old.needsKeys, next.needsKeys)
	if len(limits.list) > 0 {
		list = append(list, Change{Kind: changed, Part: partLimits, Details: limits.list})
	}
	if len(whole.list) > 0 {
		list = append(list, Change{Kind: changed, Part: partConfiguration, Details: whole.list})
	}
	return list
}

// diffParts compares parts by their names. diff returns the differences of two parts, of which the zero value is
// none at all.
func diffParts[P any](part string, old, next map[string]P, diff func(old, next P) []string) []Change {
	var list []Change
	names := maps.Clone(next)
	maps.Copy(names, old)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		o, wasThere := old[name]
		n, isThere := next[name]
		kind := changed
		switch {
		case !wasThere:
			kind = added
		case !isThere:
			kind = removed
		}
		if details := diff(o, n); kind != changed || len(details) > 0 {
			list = append(list, Change{Kind: kind, Part: part, Name: name, Details: details})
		}
	}
	return list
}

// routesByName returns the routes by host and prefix.
func (c *Catalog) routesByName() map[string]*Route {
	byName := make(map[string]*Route)
	for _, r := range c.Routes() {
		byName[strings.ToLower(r.Host)+r.Prefix] = r
	}
	return byName
}

// keysByOrganisation returns the keys of each organisation by its name.
func (c *Catalog) keysByOrganisation() map[string]map[string]bool {
	byName := make(map[string]map[string]bool)
	for key, o := range c.organisations {
		if byName[o.Name] == nil {
			byName[o.Name] = make(map[string]bool)
		}
		byName[o.Name][key] = true
	}
	return byName
}

// comparison describes values that differ between two parts.
type comparison struct {
	// added is set if there was no part before.
	added bool
	list  []string
}

// value adds a value, of a comparable type, if it differs. An empty one counts as none.
func (c *comparison) value(what string, old, next any) {
	switch {
	case old == next:
	case c.added:
		c.list = append(c.list, fmt.Sprintf("%s: %v", what, next))
	default:
		c.list = append(c.list, fmt.Sprintf("%s: %v -> %v", what, orNone(old), orNone(next)))
	}
}

func orNone(v any) any {
	if v == "" || v == time.Duration(0) {
		return "none"
	}
	return v
}

// note adds a sentence, unless it is empty.
func (c *comparison) note(sentence string) {
	if sentence != "" {
		c.list = append(c.list, sentence)
	}
}

func diffRoutes(old, next *Route) []string {
	var c comparison
	switch {
	case next == nil:
		c.note(takeUps(old, nil))
		return c.list
	case old == nil:
		c.added = true
		old = &Route{Kind: unknownKind}
	}
	c.value("name", old.Name, next.Name)
	c.value("kind", old.Kind, next.Kind)
	c.value("services", shares(old.Split), shares(next.Split))
	c.value("refused", old.Refused, next.Refused)
	c.value("timeout", old.Timeout, next.Timeout)
	c.value("objective", old.Objective, next.Objective)
	c.value("longest pause of a stream", old.PauseLimit, next.PauseLimit)
	c.value("priority", old.Priority, next.Priority)
	c.value("most attempts", old.MaxAttempts, next.MaxAttempts)
	c.value("public", old.Public, next.Public)
	c.value("streams may be taken up", old.Resumable, next.Resumable)
	c.note(takeUps(old, next))
	if was, is := graph(old.Stages), graph(next.Stages); !slices.Equal(was, is) {
		c.list = append(append(c.list, "stages:"), is...)
	}
	return c.list
}

// unknownKind is the kind of no route.
const unknownKind Kind = -1

// shares describes the services of a route, with their parts of the requests in percent.
func shares(split []Share) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	var list []string
	for _, s := range split {
		list = append(list, fmt.Sprintf("%s %.4g%%", s.Service, 100*float64(s.Weight)/float64(max(total, 1))))
	}
	return strings.Join(list, ", ")
}

// graph draws stages, a line each.
func graph(stages []Stage) []string {
	var lines []string
	for i, s := range stages {
		line := fmt.Sprintf("  %d %s", i, s.Service)
		for k, a := range s.After {
			line += map[bool]string{true: " <- ", false: ", "}[k == 0] + fmt.Sprint(a)
		}
		lines = append(lines, line)
	}
	return lines
}

// takeUps says what a change means for running streams that their clients take up again; empty if nothing.
func takeUps(old, next *Route) string {
	if old.Kind != Stream || !old.Resumable {
		return ""
	}
	if next == nil {
		return "running streams: one that is taken up again gets 404"
	}
	var gone []string
	for _, s := range old.Split {
		if !slices.ContainsFunc(next.Split, func(n Share) bool { return n.Service == s.Service }) {
			gone = append(gone, s.Service)
		}
	}
	if len(gone) == 0 {
		return ""
	}
	return "running streams: one that began at " + strings.Join(gone, " or ") + " is refused when it is taken up again"
}

func diffServices(old, next *Service) []string {
	var c comparison
	switch {
	case next == nil:
		return nil
	case old == nil:
		c.added = true
		old = &Service{}
	}
	was, is := cmp.Or(old.Batch, &Batch{}), cmp.Or(next.Batch, &Batch{})
	c.value("connections of a target", old.MaxConnections, next.MaxConnections)
	c.value("generates", old.Engine, next.Engine)
	c.value("processes stages", old.Batch != nil, next.Batch != nil)
	c.value("items of a call", was.MaxItems, is.MaxItems)
	c.value("time of a call", was.CallLatency, is.CallLatency)
	c.value("time of an item", was.PerItem, is.PerItem)
	c.value("memory for results", was.memory(), is.memory())
	c.value("results are kept", was.ResultTTL, is.ResultTTL)
	c.value("cold for", old.WarmUp.Duration, next.WarmUp.Duration)
	c.value("requests a second while cold", old.WarmUp.RequestsPerSecond, next.WarmUp.RequestsPerSecond)
	c.value("time to copy a token", old.CopyTimePerToken, next.CopyTimePerToken)
	return c.list
}

// memory describes the memory for results.
func (b *Batch) memory() string {
	switch b.MemoryBytes {
	case 0:
		return ""
	case UnknownMemory:
		return "unknown"
	}
	return fmt.Sprintf("%d bytes", b.MemoryBytes)
}

func diffKeys(old, next map[string]bool) []string {
	more, fewer := 0, 0
	for key := range next {
		if !old[key] {
			more++
		}
	}
	for key := range old {
		if !next[key] {
			fewer++
		}
	}
	var list []string
	if more > 0 {
		list = append(list, fmt.Sprintf("keys added: %d", more))
	}
	if fewer > 0 {
		list = append(list, fmt.Sprintf("keys taken away: %d", fewer))
	}
	return list
}

// String names the kind.
func (k Kind) String() string {
	return map[Kind]string{Idempotent: "idempotent", AtMostOnce: "at most once", Stream: "stream"}[k]
}
