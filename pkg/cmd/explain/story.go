package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Messages of lines that name no request and bear on many.
const (
	quarantinePrefix = "quarantine:"
	evacuatedMessage = "view: data centre evacuated"
	takenBackMessage = "view: data centre taken back"
)

// story is what is known of one request: its own lines, and those of its background.
type story struct {
	own        []line
	background []line
}

// add keeps a line of the request, or one that may belong to its background.
func (s *story) add(l line, request string) {
	message, _ := l.Fields["message"].(string)
	switch {
	case l.Fields["request"] == request, l.names(request):
		s.own = append(s.own, l)
	case strings.HasPrefix(message, quarantinePrefix), message == evacuatedMessage, message == takenBackMessage:
		s.background = append(s.background, l)
	}
}

// names reports whether the line is of a batch with items of the request.
func (l line) names(request string) bool {
	requests, _ := l.Fields["requests"].([]any)
	return slices.Contains(requests, any(request))
}

// lines returns the request's lines and those of its background that bear on it, in the
// order of their times.
func (s *story) lines() []line {
	byTime := func(a, b line) int { return a.at().Compare(b.at()) }
	slices.SortStableFunc(s.own, byTime)
	slices.SortStableFunc(s.background, byTime)
	end := s.own[len(s.own)-1].at()
	lines := slices.Concat(s.held(end), s.evacuated(end), s.own)
	slices.SortStableFunc(lines, byTime)
	return lines
}

// held returns what nodes decided until a time about requests that ask for the same.
func (s *story) held(end time.Time) []line {
	digest := s.digest()
	return slices.DeleteFunc(slices.Clone(s.background), func(l line) bool {
		return digest == "" || l.Fields["digest"] != digest || l.at().After(end)
	})
}

// digest is what the request asks for; empty when no line says it.
func (s *story) digest() string {
	for _, l := range s.own {
		if digest, ok := l.Fields["digest"].(string); ok {
			return digest
		}
	}
	return ""
}

// evacuated returns, for each node, the evacuations that it knew of at a time.
func (s *story) evacuated(end time.Time) []line {
	type known struct{ from, dataCentre string }
	latest := map[known]line{}
	for _, l := range s.background {
		dataCentre, is := l.Fields["dataCentre"].(string)
		if is && !l.at().After(end) {
			latest[known{l.From, dataCentre}] = l
		}
	}
	var lines []line
	for _, l := range latest {
		if l.Fields["message"] == evacuatedMessage {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Or(a.at().Compare(b.at()), cmp.Compare(a.From, b.From)) })
	return lines
}
