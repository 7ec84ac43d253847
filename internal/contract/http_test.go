package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// recorder keeps the requests that a server receives, as text.
type recorder struct {
	mu   sync.Mutex
	list []string
}

// recording returns a handler that records requests before next serves them.
func (rec *recorder) recording(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler) // the node has given the request up
		}
		text := requestText(r, string(body))
		rec.mu.Lock()
		rec.list = append(rec.list, text)
		rec.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// take removes what was recorded and returns those requests that contain a text,
// sorted, each once.
func (rec *recorder) take(contains string) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	list := slices.DeleteFunc(rec.list, func(text string) bool { return !strings.Contains(text, contains) })
	rec.list = nil
	slices.Sort(list)
	return strings.Join(slices.Compact(list), "\n")
}

// find returns the last request that contains all the texts, or "".
func (rec *recorder) find(parts ...string) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, text := range slices.Backward(rec.list) {
		if containsAll(text, parts) {
			return text
		}
	}
	return ""
}

// has reports whether one request contains all the texts.
func (rec *recorder) has(parts ...string) bool { return rec.find(parts...) != "" }

func containsAll(text string, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(text, part) })
}

// section is one titled part of a file.
func section(title, text string) string {
	return "== " + title + "\n" + strings.TrimRight(text, "\n") + "\n\n"
}

// requestText is a request as its receiver sees it.
func requestText(r *http.Request, body string) string {
	return withPlaceholders(fmt.Sprintf("%s %s %s\n%s\n%s\n", r.Method, r.RequestURI, r.Proto, headerText(r.Header), bodyText(body)))
}

// answerText is an answer as the caller sees it.
func answerText(resp *http.Response, body string) string {
	h := resp.Header.Clone()
	if resp.Close {
		h.Set("Connection", "close")
	}
	return withPlaceholders(fmt.Sprintf("%s %s\n%s\n%s\n", resp.Proto, resp.Status, headerText(h), bodyText(body)))
}

func headerText(h http.Header) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, value := range h[name] {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	return b.String()
}

// bodyText is a body with its JSON indented and its fields sorted; each event of a
// stream stays on a line.
func bodyText(body string) string {
	if text, ok := jsonText(body, "  "); ok {
		return text
	}
	lines := strings.Split(body, "\n")
	for i, line := range lines {
		data, isData := strings.CutPrefix(line, "data: ")
		if text, ok := jsonText(data, ""); ok && isData {
			lines[i] = "data: " + text
		}
	}
	return strings.Join(lines, "\n")
}

func jsonText(text, indent string) (string, bool) {
	var v any
	if json.Unmarshal([]byte(text), &v) != nil {
		return "", false
	}
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", indent)
	if encoder.Encode(heldPart(v)) != nil {
		return "", false
	}
	return strings.TrimSuffix(b.String(), "\n"), true
}

// heldPart returns what the tests hold of a JSON value: without the explanations of
// refusals, which are for people only, and with items of a list that look alike
// next to each other shown once, since their number may vary.
func heldPart(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = heldPart(v[i])
		}
		return slices.CompactFunc(v, lookAlike)
	case map[string]any:
		_, isRefusal := v["verdict"]
		for key, value := range v {
			if _, isText := value.(string); isText && isRefusal && (key == "text" || key == "message") {
				v[key] = "<words>"
				continue
			}
			v[key] = heldPart(value)
		}
		if v["reason"] == "deadline" {
			// A call that notices the deadline names its stage, and the request, which
			// notices it at the same time, does not. Chance says which comes first.
			delete(v, "stage")
		}
	}
	return v
}

func lookAlike(a, b any) bool { return withPlaceholders(compact(a)) == withPlaceholders(compact(b)) }

// varying are the values that differ from run to run, with their placeholders.
var varying = []struct {
	value       *regexp.Regexp
	placeholder string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`/tickets/[\w.=-]+`), "/tickets/<ticket>"},
	{regexp.MustCompile(`(?m)^(Honeydyke-Ticket): .+$`), "$1: <ticket>"},
	{regexp.MustCompile(`(?m)^(Date|User-Agent|Etag): .+$`), "$1: <text>"},
	{regexp.MustCompile(`(?m)^(Content-Length|Honeydyke-Deadline-Ms|Retry-After): \d+$`), "$1: <number>"},
	{regexp.MustCompile(`"(ticket|signature)": ?"[^"]+"`), `"$1": "<text>"`},
	{regexp.MustCompile(`"(tookMs|retryAfterMs|retry_after_ms|expiresInMs|created|ageMs|start|end)": ?[0-9.e-]+`), `"$1": <number>`},
	{regexp.MustCompile(`"text": "\{.+"`), `"text": "<bundle>"`},
	{regexp.MustCompile(`sha256(:|%3A)[0-9a-f]{64}`), "<digest>"},
	{regexp.MustCompile(`%22[0-9a-f]{16}%22`), "<tag>"},
	{regexp.MustCompile(`[0-9a-f]{16,}-\d+`), "<job>"},
	{regexp.MustCompile(`[0-9a-f]{16,}`), "<incarnation>"},
}

// withPlaceholders replaces the values that differ from run to run.
func withPlaceholders(text string) string {
	for _, v := range varying {
		text = v.value.ReplaceAllString(text, v.placeholder)
	}
	return text
}
