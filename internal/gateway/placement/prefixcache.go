package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// cachedFor is how long an engine is taken to have a shared part cached after its last
// use; engines do not say what they have dropped. Too long has prompts sent to engines
// that lack the part; too short has it prefilled again elsewhere.
const cachedFor = 30 * time.Second

// forgetInterval is how often parts that are too old are looked for: to go through
// thousands of them for each prompt takes longer than to place it.
const forgetInterval = time.Second

// SharedPart is a part of a prompt that other prompts may begin with too.
type SharedPart struct {
	// Key is the hash of the part's identity.
	Key uint64
	// Tokens is its length.
	Tokens int
}

// prefixCache is what engines are taken to have cached of shared parts: those of
// the prompts that were placed there within cachedFor. Engines do not report it here,
// so a part that an engine has dropped for want of memory still counts.
type prefixCache struct {
	// used says when each engine last used a part, by the part's key.
	used map[uint64]map[directory.Incarnation]time.Time
	// last is the engine that used a part last.
	last map[uint64]directory.Incarnation
	// forgotten is when parts that were too old were last looked for.
	forgotten time.Time
}

func newPrefixCache() prefixCache {
	return prefixCache{used: map[uint64]map[directory.Incarnation]time.Time{}, last: map[uint64]directory.Incarnation{}}
}

// use notes that an engine prefills shared parts, or has them cached.
func (c *prefixCache) use(now time.Time, engine directory.Incarnation, parts []SharedPart) {
	for _, part := range parts {
		if c.used[part.Key] == nil {
			c.used[part.Key] = map[directory.Incarnation]time.Time{}
		}
		c.used[part.Key][engine] = now
		c.last[part.Key] = engine
	}
}

// tokens returns how many tokens of a prompt's shared parts an engine has cached: a part
// counts only when all parts before it do.
func (c *prefixCache) tokens(engine directory.Incarnation, parts []SharedPart) int {
	total := 0
	for _, part := range parts {
		if _, cached := c.used[part.Key][engine]; !cached {
			break
		}
		total += part.Tokens
	}
	return total
}

// lastUsers returns the engines that used one of the parts last, each once.
func (c *prefixCache) lastUsers(parts []SharedPart) []directory.Incarnation {
	var lives []directory.Incarnation
	for _, part := range parts {
		if life, known := c.last[part.Key]; known && !slices.Contains(lives, life) {
			lives = append(lives, life)
		}
	}
	return lives
}

// lastUsed returns when an engine last used the last of the parts.
func (c *prefixCache) lastUsed(engine directory.Incarnation, parts []SharedPart) time.Time {
	if len(parts) == 0 {
		return time.Time{}
	}
	return c.used[parts[len(parts)-1].Key][engine]
}

// prune forgets engines that are gone or have started again, which leaves nothing cached.
func (c *prefixCache) prune(d *directory.Directory) {
	for _, engines := range c.used {
		maps.DeleteFunc(engines, func(l directory.Incarnation, _ time.Time) bool { return !d.IsCurrent(l) })
	}
}

// forgetExpired drops what is too old to count, at most once in forgetInterval.
func (c *prefixCache) forgetExpired(now time.Time) {
	if now.Sub(c.forgotten) < forgetInterval {
		return
	}
	c.forgotten = now
	maps.DeleteFunc(c.used, func(_ uint64, engines map[directory.Incarnation]time.Time) bool {
		maps.DeleteFunc(engines, func(_ directory.Incarnation, used time.Time) bool { return now.Sub(used) > cachedFor })
		return len(engines) == 0
	})
	maps.DeleteFunc(c.last, func(key uint64, _ directory.Incarnation) bool { return c.used[key] == nil })
}
