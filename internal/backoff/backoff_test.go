package backoff_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/backoff"
)

func TestDoubling(t *testing.T) {
	convey.Convey("A backoff doubles with each failure, up to its maximum", t, func() {
		b := backoff.Doubling{First: 150 * time.Millisecond, Max: 2 * time.Second}
		want := []time.Duration{150, 300, 600, 1200, 2000, 2000, 2000}
		for failures, ms := range want {
			convey.So(b.After(failures), convey.ShouldEqual, ms*time.Millisecond)
		}
	})
}

// TestDoublingNeverShrinks holds for any number of failures, however large.
func TestDoublingNeverShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "first"))
		b := backoff.Doubling{First: first, Max: first * time.Duration(rapid.IntRange(1, 1000).Draw(t, "factor"))}
		n := rapid.IntRange(0, 1<<20).Draw(t, "failures")
		if b.After(n) < first || b.After(n) > b.Max || b.After(n+1) < b.After(n) {
			t.Fatalf("%v after %d failures, %v after one more", b.After(n), n, b.After(n+1))
		}
	})
}
