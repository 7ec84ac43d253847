package node

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/native/request"
)

// runner runs jobs: admission gives their attempts targets, delivery calls those.
type runner struct {
	gate     *gate
	delivery *delivery.Client
	metrics  *metrics
	now      func() time.Time
	// permit is checked just before the first byte of every call to a target.
	permit func() error
}

// run takes the job through its stages and passes the output to emit, in order.
// The error is a *verdict.Error whose verdict is about the whole request.
func (r *runner) run(ctx context.Context, j *job, emit func(text string) error) (*result, error) {
	state := request.New(j.pipeline, j.deadline)
	closeRequest, err := r.gate.open(j, state)
	if err != nil {
		return nil, err
	}
	defer closeRequest()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &execution{runner: r, job: j, state: state, emit: emit, cancel: cancel, events: make(chan request.Event)}
	return e.loop(ctx)
}
