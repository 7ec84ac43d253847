package relay_test

import (
	"context"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestServeAgainstOracle runs requests against targets and stages with random behaviour,
// and checks the guarantees to clients and targets: no more runs than the route allows, a
// correct verdict, no gap or repeat in a stream, and no leaked results.
func TestServeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := chainRoute()
		r.Kind = catalog.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
		r.Resumable = rapid.Bool().Draw(t, "resumable")
		r.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		f, s := setup(r, true)
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			f.replies = append(f.replies, drawReply(t))
		}
		for range rapid.IntRange(0, 8).Draw(t, "groups") {
			f.groupErrs = append(f.groupErrs, rapid.SampledFrom([]*verdict.Error{nil, nil, inputGone(), verdict.New(verdict.NotRun, verdict.ReasonOverload, "full")}).Draw(t, "group"))
		}
		out := &fakeClient{}
		err := s.Serve(context.Background(), request(1, 2, 3), out)
		may := r.Retryable()
		switch {
		case !may && f.ran > 1:
			t.Fatalf("a request that must not run twice ran %d times", f.ran)
		case may && f.ran > r.MaxAttempts:
			t.Fatalf("%d targets may have run it, %d are allowed", f.ran, r.MaxAttempts)
		case err != nil && err.Verdict() == verdict.NotRun && f.ran > 0 && !may:
			t.Fatalf("refused as not run, but it ran")
		case len(f.held) > 0:
			t.Fatalf("results %v were never released", f.held)
		case err != nil && err.Verdict() == verdict.NotRun && err.RetryAfter() <= 0:
			t.Fatalf("refused without a time to retry: %v", err)
		case err == nil && !out.begun:
			t.Fatal("no error and no response")
		}
		for _, m := range f.groups {
			if len(r.Stages[m.Stage].After) > 0 && len(m.Inputs) == 0 {
				t.Fatalf("stage %d ran without inputs", m.Stage)
			}
		}
		if r.Kind == catalog.Stream && out.status == 200 && !strings.HasPrefix(events(1, 9), out.body.String()) {
			t.Fatalf("the stream has a gap or a repeat: %q", out.body.String())
		}
	})
}

// drawReply draws the behaviour of a target. The events of a stream depend on their
// numbers only, so a target that starts from the beginning repeats them.
func drawReply(t *rapid.T) fakeReply {
	switch rapid.IntRange(0, 5).Draw(t, "answer") {
	case 0:
		return lostConnection()
	case 1:
		return refusedCall()
	case 2:
		return fakeReply{status: 500, body: "sorry"}
	case 3:
		return fakeReply{status: 200, body: events(1, rapid.IntRange(0, 9).Draw(t, "events")) + rapid.SampledFrom([]string{"", "id: "}).Draw(t, "torn"), cut: true}
	case 4:
		return fakeReply{err: inputGone()}
	}
	return fakeReply{status: 200, body: events(1, 9)}
}
