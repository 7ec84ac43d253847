package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// logKind is a kind of log line: its level with the fixed prefix of its message,
// and the names of its fields.
type logKind struct {
	name   string
	fields []string
}

func (k logKind) String() string { return k.name + " {" + strings.Join(k.fields, " ") + "}" }

// logKinds keeps the kinds of lines that are logged.
type logKinds struct {
	mu    sync.Mutex
	kinds map[string]logKind
}

// Write implements io.Writer.
func (l *logKinds) Write(p []byte) (int, error) {
	for _, line := range bytes.Split(bytes.TrimSpace(p), []byte("\n")) {
		var entry map[string]any
		if err := json.Unmarshal(line, &entry); err != nil {
			return 0, err
		}
		message, _ := entry[zerolog.MessageFieldName].(string)
		prefix, _, _ := strings.Cut(message, ":")
		name := fmt.Sprint(entry[zerolog.LevelFieldName], " ", prefix, ":")
		for _, field := range []string{zerolog.MessageFieldName, zerolog.LevelFieldName, "node"} {
			delete(entry, field) // the lab adds the node
		}
		kind := logKind{name: name, fields: slices.Sorted(maps.Keys(entry))}
		l.mu.Lock()
		l.kinds[kind.String()] = kind
		l.mu.Unlock()
	}
	return len(p), nil
}

// text lists the kinds, one a line.
func (l *logKinds) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(l.kinds)), "\n") + "\n"
}

// has reports whether a line of a level and prefix, with at least these fields, was
// logged.
func (l *logKinds) has(name string, fields ...string) bool {
	return slices.ContainsFunc(parseKinds(l.text()), func(k logKind) bool {
		return k.standsFor(logKind{name: name, fields: fields})
	})
}

// parseKinds reads what text returns.
func parseKinds(text string) []logKind {
	var kinds []logKind
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, fields, _ := strings.Cut(strings.TrimSuffix(line, "}"), " {")
		kinds = append(kinds, logKind{name: name, fields: strings.Fields(fields)})
	}
	return kinds
}

// standsFor reports whether a line of kind k may have been one of the wanted kind
// before it gained fields.
func (k logKind) standsFor(want logKind) bool {
	return k.name == want.name &&
		!slices.ContainsFunc(want.fields, func(field string) bool { return !slices.Contains(k.fields, field) })
}

// allLogged reports whether each wanted kind has a seen kind that stands for it
// alone.
func allLogged(want, seen string) bool {
	p := pairing{want: parseKinds(want), seen: parseKinds(seen), wantOf: map[int]int{}}
	for i := range p.want {
		if !p.find(i, map[int]bool{}) {
			return false
		}
	}
	return true
}

// pairing gives wanted kinds a seen kind each.
type pairing struct {
	want, seen []logKind
	// wantOf is the wanted kind that a seen one stands for.
	wantOf map[int]int
}

// find finds a seen kind for wanted kind i, moving others when need be.
func (p *pairing) find(i int, tried map[int]bool) bool {
	for k := range p.seen {
		if tried[k] || !p.seen[k].standsFor(p.want[i]) {
			continue
		}
		tried[k] = true
		other, taken := p.wantOf[k]
		if !taken || p.find(other, tried) {
			p.wantOf[k] = i
			return true
		}
	}
	return false
}

func TestAllLogged(t *testing.T) {
	want := "info a: {x}\ninfo a: {x y}\n"
	cases := []struct {
		name, seen string
		all        bool
	}{
		{"the same", "info a: {x}\ninfo a: {x y}", true},
		{"a field more", "info a: {x z}\ninfo a: {x y}", true},
		{"a field more in each", "info a: {x y z}\ninfo a: {x y}", true},
		{"a line more", "info a: {x}\ninfo a: {x y}\ninfo b: {}", true},
		{"a field renamed", "info a: {z}\ninfo a: {x y}", false},
		{"a field dropped", "info a: {x}\ninfo a: {x}", false},
		{"another prefix", "info b: {x}\ninfo a: {x y}", false},
		{"another level", "warn a: {x}\ninfo a: {x y}", false},
		{"one for two", "info a: {x y}", false},
	}
	for _, c := range cases {
		if allLogged(want, c.seen) != c.all {
			t.Errorf("%s: want %v", c.name, c.all)
		}
	}
}
