package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// maxWatch is how long a watch of the configuration service waits for a change.
	maxWatch = 30 * time.Second
	// tagBytes is how much of the value's digest is its entity tag.
	tagBytes = 8
)

// Configuration is a stand-in for the read-only configuration service. It holds
// one value, the signed bundle.
type Configuration struct {
	down atomic.Bool

	mu      sync.Mutex
	value   []byte
	changed chan struct{}
}

// NewConfiguration returns a service that holds value.
func NewConfiguration(value []byte) *Configuration {
	return &Configuration{value: value, changed: make(chan struct{})}
}

// Put changes the value, as the platform's own publishing does.
func (c *Configuration) Put(value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = value
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDown makes the service fail every call, or serve again.
func (c *Configuration) SetDown(down bool) { c.down.Store(down) }

// ServeHTTP answers with the value and its entity tag. With the query "after"
// it waits until the tag is another one.
func (c *Configuration) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWatch)
	defer cancel()
	value, tag, changed := c.get()
	if r.URL.Query().Get("after") == tag {
		select {
		case <-changed:
			value, tag, _ = c.get()
		case <-ctx.Done():
		}
	}
	w.Header().Set("ETag", tag)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(value) // fails only when the caller has gone
}

// get returns the value, its tag and a channel that the next Put closes.
func (c *Configuration) get() (value []byte, tag string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := sha256.Sum256(c.value)
	return c.value, `"` + hex.EncodeToString(sum[:tagBytes]) + `"`, c.changed
}

// PlatformHandler serves the configuration service, and a list of instances that
// is always empty, on the paths that nodes know.
func PlatformHandler(c *Configuration) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathConfiguration, c)
	mux.HandleFunc("GET "+wire.PathInstances, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []struct{}{}) })
	return mux
}
