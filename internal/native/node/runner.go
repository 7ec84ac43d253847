package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/request"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// prefixBytes is how much of the input decides which engine is likely to hold
// its prefix in its cache.
const prefixBytes = 1024

// defaultMaxTokens is the ceiling of an engine stage whose bundle names none.
const defaultMaxTokens = 256

// job is one request on its way through its stages.
type job struct {
	// id is unique to the job in the whole fleet; identities of calls to targets
	// are made from it.
	id           string
	organisation *bundle.Organisation
	plan         *bundle.Plan
	pipeline     *bundle.PipelinePlan
	deadline     time.Time
	input        string
	messages     []openai.Message
	maxTokens    int
	// key is the caller's idempotency key for targets that check them.
	key string
}

// result is a whole answer.
type result struct {
	finish string
	stages []message.StageUse
	tokens int
}

// run takes the job through its stages and passes the output to emit, in order.
// The error is a *verdict.Error whose verdict speaks of the whole request.
func (n *Node) run(ctx context.Context, j *job, emit func(text string) error) (*result, error) {
	state := request.New(j.pipeline, j.deadline)
	closeRequest, err := n.gate.open(j, state)
	if err != nil {
		return nil, err
	}
	defer closeRequest()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{node: n, job: j, state: state, emit: emit, cancel: cancel, events: make(chan request.Event)}
	return r.loop(ctx)
}

// run is the shell around the request core for one job.
type run struct {
	node   *Node
	job    *job
	state  request.State
	emit   func(string) error
	cancel context.CancelFunc
	events chan request.Event

	whole *result
	err   *verdict.Error
}

func (r *run) loop(ctx context.Context) (*result, error) {
	expired := time.NewTimer(r.job.deadline.Sub(r.node.incarnation.now()))
	defer expired.Stop()
	r.step(ctx, request.Begin{})
	for !r.state.Finished() {
		select {
		case ev := <-r.events:
			r.step(ctx, ev)
		case <-expired.C:
			r.step(ctx, request.Expired{})
		case <-ctx.Done():
			r.step(ctx, request.Abandoned{})
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	return r.whole, nil
}

func (r *run) step(ctx context.Context, ev request.Event) {
	var effects []request.Effect
	r.state, effects = request.Step(r.state, r.node.incarnation.now(), ev)
	for _, effect := range effects {
		switch e := effect.(type) {
		case request.Run:
			go r.attempt(ctx, e, r.needs(e.Stage))
		case request.Emit:
			if r.emit(e.Text) != nil {
				r.step(ctx, request.Abandoned{})
				return
			}
		case request.Finish:
			r.whole = r.result()
		case request.Fail:
			r.err = e.Err
			if !r.state.SafeToRetry() {
				r.err = r.err.WithUnsafeRetry()
			}
		case request.CancelAll:
			r.cancel()
		}
	}
}

// needs returns the outputs that a stage reads.
func (r *run) needs(stage int) map[string]string {
	needs := make(map[string]string)
	for i, s := range r.job.pipeline.Stages {
		if slices.Contains(r.job.pipeline.Stages[stage].Needs, s.Name) {
			needs[s.Name] = r.state.Stage(i).Output()
		}
	}
	return needs
}

func (r *run) result() *result {
	res := &result{}
	for i, spec := range r.job.pipeline.Stages {
		st := r.state.Stage(i)
		res.stages = append(res.stages, stageUse(spec, st))
		if i == r.job.pipeline.Last {
			res.finish = st.Finish
			res.tokens = st.Tokens
		}
	}
	return res
}

func stageUse(spec bundle.Stage, st request.Stage) message.StageUse {
	return message.StageUse{
		Stage:    spec.Name,
		Target:   st.Target,
		Attempts: st.Attempt,
		Tokens:   st.Tokens,
		Cost:     float64(st.Ended)*spec.Cost.PerCall + float64(st.Tokens)*spec.Cost.PerToken,
		TookMs:   float64(st.Took.Microseconds()) / 1000,
	}
}

// send passes an event to the loop, unless the loop has ended.
func (r *run) send(ctx context.Context, ev request.Event) {
	select {
	case r.events <- ev:
	case <-ctx.Done():
	}
}

// attempt carries out one attempt of a stage.
func (r *run) attempt(ctx context.Context, e request.Run, needs map[string]string) {
	grant, err := r.node.gate.acquire(ctx, r.submit(e))
	if err != nil {
		r.send(ctx, request.Broke{Stage: e.Stage, Attempt: e.Attempt, Err: verdict.From(err)})
		return
	}
	start := r.node.incarnation.now()
	call := r.call(e, grant)
	var ev request.Event
	if grant.Pool.Kind == bundle.KindEngine {
		ev = r.generate(ctx, e, grant, call, needs)
	} else {
		ev = r.callStage(ctx, e, grant, call, needs)
	}
	took := r.node.incarnation.now().Sub(start)
	switch done := ev.(type) {
	case request.Answered:
		done.Took = took
		r.node.gate.end(grant, nil, took)
		r.send(ctx, done)
	case request.Broke:
		done.Took = took
		r.node.gate.end(grant, done.Err, took)
		r.node.countBroken(done.Err)
		r.send(ctx, done)
	}
}

func (r *run) submit(e request.Run) admission.Submit {
	spec := r.job.pipeline.Stages[e.Stage]
	s := admission.Submit{
		Organisation: r.job.organisation.Name,
		Pipeline:     r.job.pipeline,
		Stage:        e.Stage,
		Deadline:     r.job.deadline,
		Size:         len(r.job.input),
		Exclude:      e.Exclude,
		Retry:        retryOf(e),
	}
	if pool := r.job.plan.Pool(spec.Pool); pool != nil && pool.Kind == bundle.KindEngine {
		s.Size = r.ceiling(spec)
		s.Prefix = routing.Hash(r.job.organisation.Name + "\x00" + r.job.input[:min(len(r.job.input), prefixBytes)])
	}
	return s
}

func retryOf(e request.Run) admission.Retry {
	switch {
	case e.Attempt == 1:
		return admission.First
	case e.AfterProof:
		return admission.AfterProof
	}
	return admission.AfterLoss
}

func (r *run) ceiling(spec bundle.Stage) int {
	ceiling := spec.MaxTokens
	if ceiling == 0 {
		ceiling = defaultMaxTokens
	}
	if r.job.maxTokens > 0 {
		ceiling = min(ceiling, r.job.maxTokens)
	}
	return ceiling
}

func (r *run) call(e request.Run, grant admission.Grant) delivery.Call {
	spec := r.job.pipeline.Stages[e.Stage]
	call := delivery.Call{
		Address:  grant.Target.Address,
		Path:     wire.PathStage,
		Identity: fmt.Sprintf("%s-%d-%d", r.job.id, e.Stage, e.Attempt),
		Deadline: r.job.deadline,
		Once:     !spec.Repeatable,
		Permit:   r.node.pause.check,
	}
	if spec.Repeatable && e.Attempt < spec.AttemptLimit() {
		call.Patience = grant.Patience
	}
	if grant.Pool.ChecksKeys && r.job.key != "" {
		call.Key = r.job.key + "/" + spec.Name
	}
	return call
}

func (r *run) callStage(ctx context.Context, e request.Run, grant admission.Grant, call delivery.Call, needs map[string]string) request.Event {
	spec := r.job.pipeline.Stages[e.Stage]
	body, err := json.Marshal(message.StageCall{
		Stage: spec.Name, Organisation: r.job.organisation.Name, Input: r.job.input, Needs: needs,
	})
	if err == nil {
		call.Body = body
		var answer *message.StageAnswer
		answer, err = r.node.delivery.Do(ctx, call)
		if err == nil {
			return request.Answered{
				Stage: e.Stage, Attempt: e.Attempt, Target: grant.Target.Name,
				Output: answer.Output, Tokens: answer.Tokens,
			}
		}
	}
	return request.Broke{Stage: e.Stage, Attempt: e.Attempt, Target: grant.Target.Name, Err: verdict.From(err)}
}

func (r *run) generate(ctx context.Context, e request.Run, grant admission.Grant, call delivery.Call, needs map[string]string) request.Event {
	spec := r.job.pipeline.Stages[e.Stage]
	call.Path = wire.PathChat
	body, err := json.Marshal(r.chat(e, spec, grant.Pool, needs))
	if err != nil {
		return request.Broke{Stage: e.Stage, Attempt: e.Attempt, Err: verdict.From(err)}
	}
	call.Body = body
	end, err := r.node.delivery.Stream(ctx, call, func(text string) error {
		r.send(ctx, request.Text{Stage: e.Stage, Attempt: e.Attempt, Text: text})
		return ctx.Err()
	})
	if err != nil {
		return request.Broke{
			Stage: e.Stage, Attempt: e.Attempt, Target: grant.Target.Name, Err: verdict.From(err), Tokens: end.Tokens,
		}
	}
	return request.Answered{
		Stage: e.Stage, Attempt: e.Attempt, Target: grant.Target.Name, Finish: end.Finish, Tokens: end.Tokens,
	}
}

func (r *run) chat(e request.Run, spec bundle.Stage, pool *bundle.Pool, needs map[string]string) *openai.ChatRequest {
	model := pool.Model
	if spec.Adapter != "" {
		model = spec.Adapter
	}
	req := &openai.ChatRequest{
		Model:         model,
		Messages:      composeMessages(spec, r.job, needs),
		MaxTokens:     r.ceiling(spec),
		Stream:        true,
		StreamOptions: &openai.StreamOptions{IncludeUsage: true},
	}
	if e.Prefix != "" {
		continueFrom(req, e)
	}
	return req
}

// continueFrom lets the engine go on from the text that the caller has, as the
// final message of the assistant. The tokens spent on it are taken off the
// ceiling, so that both parts together keep to it.
func continueFrom(req *openai.ChatRequest, e request.Run) {
	newTurn := false
	req.Messages = append(req.Messages, openai.Message{Role: openai.RoleAssistant, Content: openai.Content(e.Prefix)})
	req.ContinueFinalMessage = true
	req.AddGenerationPrompt = &newTurn
	req.MaxTokens = max(1, req.MaxTokens-e.PrefixTokens)
}

// composeMessages builds what an engine reads: the stage's instruction, the
// outputs of the stages that it needs, then the caller's own messages.
func composeMessages(spec bundle.Stage, j *job, needs map[string]string) []openai.Message {
	var messages []openai.Message
	if spec.Instruction != "" {
		messages = append(messages, openai.Message{Role: openai.RoleSystem, Content: openai.Content(spec.Instruction)})
	}
	if len(needs) > 0 {
		messages = append(messages, openai.Message{Role: openai.RoleSystem, Content: openai.Content(joinNeeds(needs))})
	}
	if len(j.messages) > 0 {
		return append(messages, j.messages...)
	}
	return append(messages, openai.Message{Role: openai.RoleUser, Content: openai.Content(j.input)})
}

func joinNeeds(needs map[string]string) string {
	names := make([]string, 0, len(needs))
	for name := range needs {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(name + ": " + needs[name] + "\n")
	}
	return b.String()
}
