package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// cacheTTL is the time after its last use for which an engine is assumed to have a shared
// part cached, as engines do not report evictions. If it is too long, prompts go to engines
// that lack the part; if it is too short, the part is prefilled again on another engine.
const cacheTTL = 30 * time.Second

// expiryInterval is the minimum interval between scans for expired parts. Scanning thousands
// of parts for each prompt would take longer than placing the prompt.
const expiryInterval = time.Second

// SharedPart is a segment of a prompt prefix that other prompts may share.
type SharedPart struct {
	// Key is the hash of the part's ID.
	Key uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// prefixCache models the shared parts that engines have cached: those of the prompts that
// were placed on them within cacheTTL. Engines do not report their cache state, so parts
// that an engine has evicted for lack of memory are still included.
type prefixCache struct {
	// lastUse is the time at which each engine last used a part, by the key of the part.
	lastUse map[uint64]map[directory.Incarnation]time.Time
	// lastUser is the engine that used a part last, by the key of the part.
	lastUser map[uint64]directory.Incarnation
	// lastExpiry is the time of the last scan for expired parts.
	lastExpiry time.Time
}

func newPrefixCache() prefixCache {
	return prefixCache{lastUse: map[uint64]map[directory.Incarnation]time.Time{}, lastUser: map[uint64]directory.Incarnation{}}
}

// record records that an engine prefills shared parts or reads them from its cache.
func (c *prefixCache) record(now time.Time, engine directory.Incarnation, parts []SharedPart) {
	for _, part := range parts {
		if c.lastUse[part.Key] == nil {
			c.lastUse[part.Key] = map[directory.Incarnation]time.Time{}
		}
		c.lastUse[part.Key][engine] = now
		c.lastUser[part.Key] = engine
	}
}

// tokens returns the number of tokens of the shared parts that an engine has cached. A part
// only counts if the engine has cached all parts before it.
func (c *prefixCache) tokens(engine directory.Incarnation, parts []SharedPart) int {
	total := 0
	for _, part := range parts {
		if _, cached := c.lastUse[part.Key][engine]; !cached {
			break
		}
		total += part.Tokens
	}
	return total
}

// lastUsers returns the engines that used one of the parts last, without duplicates.
func (c *prefixCache) lastUsers(parts []SharedPart) []directory.Incarnation {
	var engines []directory.Incarnation
	for _, part := range parts {
		if engine, known := c.lastUser[part.Key]; known && !slices.Contains(engines, engine) {
			engines = append(engines, engine)
		}
	}
	return engines
}

// lastUsed returns the time at which an engine last used the last of the parts.
func (c *prefixCache) lastUsed(engine directory.Incarnation, parts []SharedPart) time.Time {
	if len(parts) == 0 {
		return time.Time{}
	}
	return c.lastUse[parts[len(parts)-1].Key][engine]
}

// prune removes engines that are gone or have restarted, as a restart clears the cache.
func (c *prefixCache) prune(d *directory.Directory) {
	for _, engines := range c.lastUse {
		maps.DeleteFunc(engines, func(l directory.Incarnation, _ time.Time) bool { return !d.IsCurrent(l) })
	}
}

// removeExpired removes expired entries, at most once per expiryInterval.
func (c *prefixCache) removeExpired(now time.Time) {
	if now.Sub(c.lastExpiry) < expiryInterval {
		return
	}
	c.lastExpiry = now
	maps.DeleteFunc(c.lastUse, func(_ uint64, engines map[directory.Incarnation]time.Time) bool {
		maps.DeleteFunc(engines, func(_ directory.Incarnation, used time.Time) bool { return now.Sub(used) > cacheTTL })
		return len(engines) == 0
	})
	maps.DeleteFunc(c.lastUser, func(key uint64, _ directory.Incarnation) bool { return c.lastUse[key] == nil })
}
