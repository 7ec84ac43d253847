package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	bearerPrefix = "Bearer "
	// readTimeout bounds the time that a caller takes to send a body.
	readTimeout = 30 * time.Second
)

// bearerOf returns the key that a call carries, or "" for none.
func bearerOf(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// readJSON reads a bounded body and decodes it.
func readJSON(w http.ResponseWriter, r *http.Request, out any) error {
	raw, err := readBody(w, r)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// readBody reads a body that is bounded in size and time. The error is a
// *verdict.Error. The deadline is lifted afterwards: net/http ends the context
// of a request whose read deadline passes while it is served, and would cut
// long streams.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// net/http's own writers all have deadlines, so neither call can fail here.
	_ = rc.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxRequestBytes))
	if err == nil {
		return raw, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", wire.MaxRequestBytes)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body did not come whole").WithCause(err)
}

// writeJSON writes v as a whole answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	writeRaw(w, status, raw)
}

// writeRaw writes JSON as a whole answer.
func writeRaw(w http.ResponseWriter, status int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a failure means that the caller is gone
}
