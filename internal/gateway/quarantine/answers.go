package quarantine

import "time"

// maxAnswers limits the answers in each generation of an answerMemory, of 8 bytes each.
const maxAnswers = 32_768

// answerMemory remembers what targets answered lately. It has two generations: when the newer one
// is old enough or full, the older one is dropped. An answer is thus remembered for keep at least,
// and twice that at most, unless there are too many others.
type answerMemory struct {
	// keep is how long answers are remembered; 0 for not at all.
	keep         time.Duration
	newer, older map[Digest]bool
	// newerSince is when the newer generation began.
	newerSince time.Time
}

// add remembers an answer.
func (m *answerMemory) add(now time.Time, d Digest) {
	if m.keep == 0 {
		return
	}
	m.rotate(now)
	m.newer[d] = true
}

// has reports whether an answer is remembered.
func (m *answerMemory) has(now time.Time, d Digest) bool {
	if m.keep == 0 {
		return false
	}
	m.rotate(now)
	return m.newer[d] || m.older[d]
}

// rotate begins a new generation if the newer one is full or old enough.
func (m *answerMemory) rotate(now time.Time) {
	age := now.Sub(m.newerSince)
	if m.newer != nil && age < m.keep && len(m.newer) < maxAnswers {
		return
	}
	m.older = m.newer
	if age >= 2*m.keep {
		m.older = nil
	}
	m.newer, m.newerSince = map[Digest]bool{}, now
}
