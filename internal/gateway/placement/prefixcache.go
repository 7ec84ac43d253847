package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// cachedFor is the time after its last use for which an engine is assumed to have a shared
// part cached, as engines do not report evictions. If it is too long, prompts go to engines
// that lack the part; if it is too short, the part is prefilled again on another engine.
const cachedFor = 30 * time.Second

// forgetInterval is the minimum interval between scans for expired parts. Scanning thousands
// of parts for each prompt would take longer than placing the prompt.
const forgetInterval = time.Second

// SharedPart is a segment of a prompt prefix that other prompts may share.
type SharedPart struct {
	// Key is the hash of the part's ID.
	Key uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// prefixCache models the shared parts that engines have cached: those of the prompts that
// were placed on them within cachedFor. Engines do not report their cache state, so parts
// that an engine has evicted for lack of memory are still included.
type prefixCache struct {
	// used is the time at which each engine last used a part, by the key of the part.
	used map[uint64]map[directory.Life]time.Time
	// last is the engine that used a part last, by the key of the part.
	last map[uint64]directory.Life
	// forgotten is the time of the last scan for expired parts.
	forgotten time.Time
}

func newPrefixCache() prefixCache {
	return prefixCache{used: map[uint64]map[directory.Life]time.Time{}, last: map[uint64]directory.Life{}}
}

// use records that an engine prefills shared parts or reads them from its cache.
func (c *prefixCache) use(now time.Time, engine directory.Life, parts []SharedPart) {
	for _, part := range parts {
		if c.used[part.Key] == nil {
			c.used[part.Key] = map[directory.Life]time.Time{}
		}
		c.used[part.Key][engine] = now
		c.last[part.Key] = engine
	}
}

// tokens returns the number of tokens of the shared parts that an engine has cached. A part
// only counts if the engine has cached all parts before it.
func (c *prefixCache) tokens(engine directory.Life, parts []SharedPart) int {
	total := 0
	for _, part := range parts {
		if _, cached := c.used[part.Key][engine]; !cached {
			break
		}
		total += part.Tokens
	}
	return total
}

// lastUsers returns the engines that used one of the parts last, without duplicates.
func (c *prefixCache) lastUsers(parts []SharedPart) []directory.Life {
	var lives []directory.Life
	for _, part := range parts {
		if life, known := c.last[part.Key]; known && !slices.Contains(lives, life) {
			lives = append(lives, life)
		}
	}
	return lives
}

// lastUsed returns the time at which an engine last used the last of the parts.
func (c *prefixCache) lastUsed(engine directory.Life, parts []SharedPart) time.Time {
	if len(parts) == 0 {
		return time.Time{}
	}
	return c.used[parts[len(parts)-1].Key][engine]
}

// prune removes engines that are gone or have restarted, as a restart clears the cache.
func (c *prefixCache) prune(d *directory.Directory) {
	for _, engines := range c.used {
		maps.DeleteFunc(engines, func(l directory.Life, _ time.Time) bool { return !d.Lives(l) })
	}
}

// forgetExpired removes expired entries, at most once per forgetInterval.
func (c *prefixCache) forgetExpired(now time.Time) {
	if now.Sub(c.forgotten) < forgetInterval {
		return
	}
	c.forgotten = now
	maps.DeleteFunc(c.used, func(_ uint64, engines map[directory.Life]time.Time) bool {
		maps.DeleteFunc(engines, func(_ directory.Life, used time.Time) bool { return now.Sub(used) > cachedFor })
		return len(engines) == 0
	})
	maps.DeleteFunc(c.last, func(key uint64, _ directory.Life) bool { return c.used[key] == nil })
}
