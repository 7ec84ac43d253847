package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAnswerThatHasStarted guards against an answer of the source that is given up on its way, since it takes
// longer than its start may.
func TestAnswerThatHasStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Second
		ctx, answered, cancel := withAnswerTimeout(t.Context(), limit)
		defer cancel()
		answered()
		time.Sleep(answerTimeout - time.Millisecond)
		if ctx.Err() != nil {
			t.Errorf("given up before %v", answerTimeout)
		}
		time.Sleep(2 * time.Millisecond)
		if ctx.Err() == nil {
			t.Errorf("not given up after %v", answerTimeout)
		}
	})
}
