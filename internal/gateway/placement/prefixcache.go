package placement

import (
	"maps"
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
	used map[uint64]map[directory.Life]time.Time
	// forgotten is when parts that were too old were last looked for.
	forgotten time.Time
}

func newPrefixCache() prefixCache {
	return prefixCache{used: map[uint64]map[directory.Life]time.Time{}}
}

// use notes that an engine prefills shared parts, or has them cached.
func (c *prefixCache) use(now time.Time, engine directory.Life, parts []SharedPart) {
	for _, part := range parts {
		if c.used[part.Key] == nil {
			c.used[part.Key] = map[directory.Life]time.Time{}
		}
		c.used[part.Key][engine] = now
	}
}

// tokens returns how many tokens of a prompt's shared parts each engine has cached, in
// the order of the engines: a part counts only when all parts before it do.
func (c *prefixCache) tokens(engines []directory.Target, parts []SharedPart) []int {
	totals := make([]int, len(engines))
	holders := make([]map[directory.Life]time.Time, len(parts))
	for k, part := range parts {
		holders[k] = c.used[part.Key]
	}
	for i, e := range engines {
		for k, part := range parts {
			if _, cached := holders[k][e.Life()]; !cached {
				break
			}
			totals[i] += part.Tokens
		}
	}
	return totals
}

// lastUsed returns when an engine last used the last of the parts.
func (c *prefixCache) lastUsed(engine directory.Life, parts []SharedPart) time.Time {
	if len(parts) == 0 {
		return time.Time{}
	}
	return c.used[parts[len(parts)-1].Key][engine]
}

// prune forgets engines that are gone or have started again, which leaves nothing cached.
func (c *prefixCache) prune(d *directory.Directory) {
	for _, engines := range c.used {
		maps.DeleteFunc(engines, func(l directory.Life, _ time.Time) bool { return !d.Lives(l) })
	}
}

// forgetExpired drops what is too old to count, at most once in forgetInterval.
func (c *prefixCache) forgetExpired(now time.Time) {
	if now.Sub(c.forgotten) < forgetInterval {
		return
	}
	c.forgotten = now
	maps.DeleteFunc(c.used, func(_ uint64, engines map[directory.Life]time.Time) bool {
		maps.DeleteFunc(engines, func(_ directory.Life, used time.Time) bool { return now.Sub(used) > cachedFor })
		return len(engines) == 0
	})
}
