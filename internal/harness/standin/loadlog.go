package standin

import (
	"sync"
	"time"
)

// keptLoads bounds the loads that are kept.
const keptLoads = 1024

// loadLog remembers the load so that reports can lag.
type loadLog struct {
	mu     sync.Mutex
	points []loadPoint
}

// loadPoint is the load at one time, in calls.
type loadPoint struct {
	at      time.Time
	running int
	waiting int
}

// add records the load at a time.
func (l *loadLog) add(at time.Time, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, loadPoint{at, running, waiting})
	if len(l.points) > keptLoads {
		l.points = l.points[keptLoads/2:]
	}
}

// at returns the newest load that is not newer than t.
func (l *loadLog) at(t time.Time) (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.points) - 1; i >= 0; i-- {
		if !l.points[i].at.After(t) {
			return l.points[i].running, l.points[i].waiting
		}
	}
	return 0, 0
}
