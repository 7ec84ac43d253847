package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// roomWaitShare is the share of the objective for which a request waits for a crowded target. A
// refusal that comes later leaves the client less time to return than it would need to be served.
const roomWaitShare = 0.125

// RoomWait decides how long a request waits for room when all targets that it may go to are
// crowded: too long delays a refusal that lets the client return in time, too short refuses
// requests that targets have room for within milliseconds.
func RoomWait(objective time.Duration) time.Duration {
	return saturate.Duration(roomWaitShare * float64(objective))
}
