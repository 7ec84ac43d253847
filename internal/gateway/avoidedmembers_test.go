package gateway

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
)

// TestAvoidedMembers guards against messages to members of an earlier version that are sent again
// and again because another message to the same member ended with a timeout.
func TestAvoidedMembers(t *testing.T) {
	convey.Convey("Given a member that does not know a message", t, func() {
		now := time.Unix(1000, 0)
		a := newAvoidedMembers(func() time.Time { return now })
		a.avoid("m", time.Second, errUnsupported)
		convey.Convey("a timeout of another message does not shorten the time for which it is avoided", func() {
			a.avoid("m", time.Second, errors.New("timeout"))
			now = now.Add(unsupportedMemberTime - 1)
			convey.So(a.accept()("m"), convey.ShouldBeFalse)
			now = now.Add(1)
			convey.So(a.accept()("m"), convey.ShouldBeTrue)
		})
	})
}
