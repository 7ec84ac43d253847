package node

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/request"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// prefixBytes is how much of the input decides which engine is likely to hold its
// prefix in its cache.
const prefixBytes = 1024

// attempt is one attempt of one stage: it waits for a target, calls it and sends
// the end to the job's execution.
type attempt struct {
	runner *runner
	job    *job
	start  request.Run
	spec   bundle.Stage
	// needs are the outputs that the stage reads.
	needs  map[string]string
	events chan<- request.Event
}

// run carries out the attempt. ctx ends with the execution.
func (a *attempt) run(ctx context.Context) {
	grant, err := a.runner.gate.acquire(ctx, a.submit())
	if err != nil {
		a.send(ctx, request.Broke{Stage: a.start.Stage, Attempt: a.start.Attempt, Err: verdict.From(err)})
		return
	}
	begun := a.runner.now()
	end, err := a.callTarget(ctx, grant)
	took := a.runner.now().Sub(begun)
	failure := verdict.From(err)
	a.runner.gate.end(grant, failure, took)
	if failure != nil {
		a.runner.metrics.broken(failure)
		a.send(ctx, request.Broke{
			Stage: a.start.Stage, Attempt: a.start.Attempt, Target: grant.Target.Name, Err: failure, Tokens: end.Tokens, Took: took,
		})
		return
	}
	end.Stage = a.start.Stage
	end.Attempt = a.start.Attempt
	end.Target = grant.Target.Name
	end.Took = took
	a.send(ctx, end)
}

// send passes an event to the execution, unless that has ended.
func (a *attempt) send(ctx context.Context, ev request.Event) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

// submit describes the attempt to admission. The size of an engine's work is its
// ceiling of tokens, that of other targets the bytes of the input.
func (a *attempt) submit() admission.Submit {
	s := admission.Submit{
		Organisation: a.job.organisation.Name,
		Pipeline:     a.job.pipeline,
		Stage:        a.start.Stage,
		Deadline:     a.job.deadline,
		Size:         len(a.job.input),
		Exclude:      a.start.Exclude,
		Retry:        retryOf(a.start),
	}
	if pool := a.job.plan.Pool(a.spec.Pool); pool != nil && pool.Kind == bundle.KindEngine {
		s.Size = a.job.ceiling(a.spec)
		s.Prefix = routing.Hash(a.job.organisation.Name + "\x00" + a.job.input[:min(len(a.job.input), prefixBytes)])
	}
	return s
}

func retryOf(start request.Run) admission.Retry {
	switch {
	case start.Attempt == 1:
		return admission.First
	case start.AfterProof:
		return admission.AfterProof
	}
	return admission.AfterLoss
}

// callTarget calls the target of the grant. The answer has no stage, attempt,
// target and time yet. That of an engine that failed counts the tokens that it
// generated.
func (a *attempt) callTarget(ctx context.Context, grant admission.Grant) (request.Answered, error) {
	if grant.Pool.Kind == bundle.KindEngine {
		return a.generate(ctx, grant)
	}
	return a.callStage(ctx, grant)
}

// call returns the call of the attempt, without path and body.
func (a *attempt) call(grant admission.Grant) delivery.Call {
	call := delivery.Call{
		Address:  grant.Target.Address,
		Identity: fmt.Sprintf("%s-%d-%d", a.job.id, a.start.Stage, a.start.Attempt),
		Deadline: a.job.deadline,
		Once:     !a.spec.Repeatable,
		Permit:   a.runner.permit,
	}
	if a.spec.Repeatable && a.start.Attempt < a.spec.AttemptLimit() {
		call.Timeout = grant.Timeout
	}
	if grant.Pool.ChecksKeys && a.job.key != "" {
		call.Key = a.job.key + "/" + a.spec.Name
	}
	return call
}

// callStage calls a target that is no engine.
func (a *attempt) callStage(ctx context.Context, grant admission.Grant) (request.Answered, error) {
	body, err := json.Marshal(message.StageCall{
		Stage: a.spec.Name, Organisation: a.job.organisation.Name, Input: a.job.input, Needs: a.needs,
	})
	if err != nil {
		return request.Answered{}, err
	}
	call := a.call(grant)
	call.Path = wire.PathStage
	call.Body = body
	answer, err := a.runner.delivery.Do(ctx, call)
	if err != nil {
		return request.Answered{}, err
	}
	return request.Answered{Output: answer.Output, Tokens: answer.Tokens}, nil
}

// generate calls an engine and sends its text on while it arrives.
func (a *attempt) generate(ctx context.Context, grant admission.Grant) (request.Answered, error) {
	body, err := json.Marshal(a.chatRequest(grant.Pool))
	if err != nil {
		return request.Answered{}, err
	}
	call := a.call(grant)
	call.Path = wire.PathChat
	call.Body = body
	end, err := a.runner.delivery.Stream(ctx, call, func(text string) error {
		a.send(ctx, request.Text{Stage: a.start.Stage, Attempt: a.start.Attempt, Text: text})
		return ctx.Err()
	})
	return request.Answered{Finish: end.Finish, Tokens: end.Tokens}, err
}
