package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// unsupportedMemberTime is how long a member of a version that does not know a message is not sent
// it again.
const unsupportedMemberTime = 10 * time.Second

// avoidedMembers holds the members that are not sent a kind of message for a while. It is safe for
// concurrent use.
type avoidedMembers struct {
	now func() time.Time

	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoidedMembers(now func() time.Time) *avoidedMembers {
	return &avoidedMembers{now: now, until: map[string]time.Time{}}
}

// avoid avoids a member for a time at least, or for unsupportedMemberTime if err says that it does
// not know the message.
func (a *avoidedMembers) avoid(member string, d time.Duration, err error) {
	if errors.Is(err, errUnsupported) {
		d = unsupportedMemberTime
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := a.now().Add(d); until.After(a.until[member]) {
		a.until[member] = until
	}
}

// accept returns a function that reports whether a member is not avoided now.
func (a *avoidedMembers) accept() func(member string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	maps.DeleteFunc(a.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	avoided := maps.Clone(a.until)
	return func(member string) bool { return avoided[member].IsZero() }
}
