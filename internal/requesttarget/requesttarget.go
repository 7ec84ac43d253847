// Package requesttarget translates the target of a request line, its path and query, so that a
// request which is passed on has the same.
//
// net/url changes some targets when it writes them: a path that begins with two slashes becomes the
// address of a host, an empty query is lost. A Target is written as it was read; what cannot be
// written so is refused by Parse.
package requesttarget

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Target is the path and the query of a request line, as they were sent. The zero value is none.
type Target struct {
	path, query string
	// hasQuery is whether there is a question mark, with or without a query after it.
	hasQuery bool
}

// Parse returns the target of a request line: a path with an optional query, or an absolute URL, of
// which the host goes before the header Host. It returns an error for other forms, such as the "*" of
// OPTIONS, and for a path that cannot be passed on as it is.
func Parse(raw string) (Target, error) {
	text := raw
	if scheme, rest, absolute := strings.Cut(raw, "://"); absolute && isHTTP(scheme) {
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		text = rest[end:]
		if !strings.HasPrefix(text, "/") {
			text = "/" + text
		}
	}
	if !strings.HasPrefix(text, "/") {
		return Target{}, errors.Errorf("the target %q has no path", raw)
	}
	path, query, hasQuery := strings.Cut(text, "?")
	t := Target{path: path, query: query, hasQuery: hasQuery}
	if t.URL("http", "host").RequestURI() != t.String() {
		return Target{}, errors.Errorf("the target %q cannot be passed on as it is", raw)
	}
	return t, nil
}

func isHTTP(scheme string) bool {
	return strings.EqualFold(scheme, "http") || strings.EqualFold(scheme, "https")
}

// Require answers requests with 400 whose target Parse refuses, and passes others to a handler.
func Require(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := Parse(r.RequestURI); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Path returns the path, with its escapes.
func (t Target) Path() string { return t.path }

// String returns the path and the query.
func (t Target) String() string {
	if !t.hasQuery {
		return t.path
	}
	return t.path + "?" + t.query
}

// URL returns a URL whose request line has this target, at an address.
func (t Target) URL(scheme, address string) *url.URL {
	u := &url.URL{Scheme: scheme, Host: address, RawQuery: t.query, ForceQuery: t.hasQuery}
	if !strings.HasPrefix(t.path, "//") {
		u.Opaque = t.path
		return u
	}
	// An opaque part that begins so would be written behind the scheme.
	path, err := url.PathUnescape(t.path)
	if err == nil {
		u.Path, u.RawPath = path, t.path
	}
	return u
}
