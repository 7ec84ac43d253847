package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/throttle"
)

// coordinatorLoad holds back requests from coordinators that do not answer in time, by
// their members' addresses; the empty one is this node's own. It is safe for concurrent use.
type coordinatorLoad struct {
	now func() time.Time

	mu        sync.Mutex
	throttles map[string]*throttle.Throttle
}

func newCoordinatorLoad(now func() time.Time) *coordinatorLoad {
	return &coordinatorLoad{now: now, throttles: map[string]*throttle.Throttle{}}
}

// allows says whether to announce a request to a coordinator that it needs.
func (l *coordinatorLoad) allows(member string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	t := l.throttles[member]
	if t == nil {
		// Members come and go; only those that are called count.
		maps.DeleteFunc(l.throttles, func(_ string, t *throttle.Throttle) bool { return t.Idle(now) })
		t = &throttle.Throttle{}
		l.throttles[member] = t
	}
	return t.Allow(now, rand.Float64())
}

// holds says whether requests that need a coordinator are held back.
func (l *coordinatorLoad) holds(member string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.throttles[member]
	return t != nil && t.Holds(l.now())
}

// ended counts the end of a call to a coordinator, and whether it was answered in time.
func (l *coordinatorLoad) ended(member string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.throttles[member]; t != nil {
		t.Ended(l.now(), answered)
	}
}
