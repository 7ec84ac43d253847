package node

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// answerer runs jobs and writes their answers. It counts the calls in flight, for
// which a planned stop waits.
type answerer struct {
	ids     *identities
	runner  *runner
	metrics *metrics
	log     zerolog.Logger
}

// serveFunc serves one call. An error that it returns is the answer.
type serveFunc func(http.ResponseWriter, *http.Request, *reply) error

// counted counts calls in flight and gives each its identity.
func (a *answerer) counted(serve serveFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.metrics.calls.Add(1)
		defer a.metrics.calls.Add(-1)
		out := &reply{w: w, id: a.ids.of(r)}
		w.Header().Set(wire.HeaderIdentity, out.id)
		if err := serve(w, r, out); err != nil {
			out.refuse(err)
		}
	}
}

// answer runs the job and writes its answer.
func (a *answerer) answer(ctx context.Context, j *job, out *reply) {
	start := a.runner.now()
	res, err := a.runner.run(ctx, j, out.text)
	refusal := verdict.From(err)
	a.metrics.answered(j.pipeline.Name, refusal, a.runner.now().Sub(start))
	if refusal != nil {
		a.log.Info().Str("request", out.id).Str("job", j.id).Str("pipeline", j.pipeline.Name).Err(refusal).Msg("request: refused")
		out.refuse(refusal)
		return
	}
	a.metrics.stages(j.pipeline.Name, res.stages)
	a.log.Debug().Str("request", out.id).Str("job", j.id).Str("pipeline", j.pipeline.Name).Msg("request: answered")
	out.finish(res)
}
