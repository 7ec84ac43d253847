package relay

import "time"

const (
	// firstTokenTime is the time of the shortest prompt's first event.
	firstTokenTime = 40 * time.Millisecond
	// firstReadingPace is assumed until a pace is learnt, for each token.
	firstReadingPace = 20 * time.Microsecond
	// minReadTokens is the shortest prompt that a pace is learnt from.
	minReadTokens = 2000
	// readingWeight is the weight of the newest prompt in the learnt pace.
	readingWeight = 0.05
	// maxReadingPace bounds what one prompt can teach.
	maxReadingPace = 10 * firstReadingPace
)

// readingPace is how fast a service's engines read prompts, parts that they keep
// included.
type readingPace struct {
	// perToken is the learnt time for each token of a prompt, in nanoseconds.
	perToken float64
}

func newReadingPace() *readingPace { return &readingPace{perToken: float64(firstReadingPace)} }

// time returns how long an engine takes until the first event of a prompt.
func (p *readingPace) time(tokens int) time.Duration {
	return firstTokenTime + time.Duration(p.perToken*float64(tokens))
}

// learn takes in how long a prompt's first event took.
func (p *readingPace) learn(tokens int, took time.Duration) {
	if tokens < minReadTokens {
		return
	}
	pace := float64(max(took-firstTokenTime, 0)) / float64(tokens)
	p.perToken += readingWeight * (min(pace, float64(maxReadingPace)) - p.perToken)
}

// reader returns what was learnt of a service; the caller holds the lock.
func (s *Server) reader(service string) *readingPace {
	p := s.readers[service]
	if p == nil {
		p = newReadingPace()
		s.readers[service] = p
	}
	return p
}

// readingTime returns how long a service takes until the first event of a
// prompt.
func (s *Server) readingTime(service string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader(service).time(tokens)
}

// learnReading takes in how long a prompt's first event took.
func (s *Server) learnReading(service string, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader(service).learn(tokens, took)
}
