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

// TestServeAgainstOracle lets targets and stages do anything and holds what a
// caller and the targets see against the promises.
func TestServeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := chain()
		r.Kind = catalog.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
		r.Resumable = rapid.Bool().Draw(t, "resumable")
		r.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		w, s := setup(r, true)
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			w.answers = append(w.answers, drawAnswer(t))
		}
		for range rapid.IntRange(0, 8).Draw(t, "groups") {
			w.groupErrs = append(w.groupErrs, rapid.SampledFrom([]*verdict.Error{nil, nil, gone(), verdict.New(verdict.NotRun, verdict.ReasonOverload, "full")}).Draw(t, "group"))
		}
		out := &client{}
		err := s.Serve(context.Background(), request(1, 2, 3), out)
		may := r.Retryable()
		switch {
		case !may && w.ran > 1:
			t.Fatalf("a request that must not run twice ran %d times", w.ran)
		case may && w.ran > r.MaxAttempts:
			t.Fatalf("%d targets may have run it, %d are allowed", w.ran, r.MaxAttempts)
		case err != nil && err.Verdict() == verdict.NotRun && w.ran > 0 && !may:
			t.Fatalf("refused as not run, and it ran")
		case len(w.held) > 0:
			t.Fatalf("results %v were never released", w.held)
		case err != nil && err.Verdict() == verdict.NotRun && err.RetryAfter() <= 0:
			t.Fatalf("refused without a time to retry: %v", err)
		case err == nil && !out.begun:
			t.Fatal("no error and no answer")
		}
		for _, m := range w.groups {
			if len(r.Stages[m.Stage].After) > 0 && len(m.Inputs) == 0 {
				t.Fatalf("stage %d ran without inputs", m.Stage)
			}
		}
		if r.Kind == catalog.Stream && out.status == 200 && !strings.HasPrefix(events(1, 9), out.body.String()) {
			t.Fatalf("the stream has a gap or a repeat: %q", out.body.String())
		}
	})
}

// drawAnswer draws what a target does. A stream's events depend on nothing but
// their numbers, so a target that goes on from the start sends them again.
func drawAnswer(t *rapid.T) answer {
	switch rapid.IntRange(0, 5).Draw(t, "answer") {
	case 0:
		return lost()
	case 1:
		return refused()
	case 2:
		return answer{status: 500, body: "sorry"}
	case 3:
		return answer{status: 200, body: events(1, rapid.IntRange(0, 9).Draw(t, "events")) + rapid.SampledFrom([]string{"", "id: "}).Draw(t, "torn"), cut: true}
	case 4:
		return answer{err: gone()}
	}
	return answer{status: 200, body: events(1, 9)}
}
