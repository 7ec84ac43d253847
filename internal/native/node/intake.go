package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// defaultMaxTokens is the ceiling of an engine stage whose bundle names none; not
// measured.
const defaultMaxTokens = 256

// job is one request on its way through its stages.
type job struct {
	// id is unique to the job in the whole fleet; identities of calls to targets
	// are derived from it.
	id           string
	organisation *bundle.Organisation
	plan         *bundle.Plan
	pipeline     *bundle.PipelinePlan
	deadline     time.Time
	input        string
	// messages is the conversation of a chat request; nil for the native endpoint.
	messages []openai.Message
	// maxTokens is the caller's ceiling; 0 for none.
	maxTokens int
	// key is the caller's idempotency key for targets that check them.
	key string
}

// ceiling returns the most tokens that the stage may generate for the job.
func (j *job) ceiling(spec bundle.Stage) int {
	ceiling := spec.MaxTokens
	if ceiling == 0 {
		ceiling = defaultMaxTokens
	}
	if j.maxTokens > 0 {
		ceiling = min(ceiling, j.maxTokens)
	}
	return ceiling
}

// intake authenticates calls and builds their jobs. Its errors are *verdict.Error
// with the verdict "not run".
type intake struct {
	incarnation *incarnation
	ids         *identities
}

// authenticate returns the plan that governs a call and the call's organisation.
func (i *intake) authenticate(r *http.Request) (*bundle.Plan, *bundle.Organisation, error) {
	plan, err := i.incarnation.governing()
	if err != nil {
		return nil, nil, err
	}
	org := plan.Authenticate(bearerOf(r))
	if org == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the bearer key belongs to no organisation")
	}
	return plan, org, nil
}

// pipelineJob builds the job of a native call and sets the form of its answer. It
// takes the plan that governs now, since the body may have been long in coming.
func (i *intake) pipelineJob(r *http.Request, org *bundle.Organisation, body []byte, out *reply) (*job, error) {
	plan, err := i.incarnation.governing()
	if err != nil {
		return nil, err
	}
	j, err := i.newJob(r, plan, org, r.PathValue("pipeline"))
	if err != nil {
		return nil, err
	}
	var req message.PipelineRequest
	if err := json.Unmarshal(body, &req); err != nil || req.MaxTokens < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a request of a pipeline").WithCause(err)
	}
	j.input = req.Input
	j.maxTokens = req.MaxTokens
	out.form = nativeForm{stream: req.Stream, bundle: plan.Number()}
	return j, nil
}

// chatJob builds the job of a chat call, whose model names the pipeline, and sets
// the form of its answer.
func (i *intake) chatJob(r *http.Request, plan *bundle.Plan, org *bundle.Organisation, body []byte, out *reply) (*job, error) {
	var req openai.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a chat request: %s", err)
	}
	if why := req.Unsupported(); why != "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", why)
	}
	j, err := i.newJob(r, plan, org, req.Model)
	if err != nil {
		return nil, err
	}
	j.messages = req.Messages
	j.input = joinMessages(req.Messages)
	j.maxTokens = req.CeilingOfTokens()
	usage := req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	out.form = chatForm{id: out.id, model: req.Model, stream: req.Stream, usage: usage, created: time.Now().Unix()}
	return j, nil
}

// joinMessages is the conversation as one text, for the stages before an engine.
func joinMessages(messages []openai.Message) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Role+": "+string(m.Content))
	}
	return strings.Join(parts, "\n")
}

// newJob builds the job of a pipeline, without its input.
func (i *intake) newJob(r *http.Request, plan *bundle.Plan, org *bundle.Organisation, pipeline string) (*job, error) {
	p := plan.Pipeline(pipeline)
	if p == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotFound, "there is no pipeline %q", pipeline)
	}
	left, err := deadlineOf(r, p)
	if err != nil {
		return nil, err
	}
	return &job{id: i.ids.next(), organisation: org, plan: plan, pipeline: p, deadline: i.incarnation.now().Add(left)}, nil
}

// deadlineOf returns the time that the caller allows, at most the pipeline's.
func deadlineOf(r *http.Request, p *bundle.PipelinePlan) (time.Duration, error) {
	given := r.Header.Get(wire.HeaderDeadline)
	if given == "" {
		return p.Deadline(), nil
	}
	ms, err := strconv.Atoi(given)
	if err != nil || ms <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s must be a number of milliseconds above 0", wire.HeaderDeadline)
	}
	return min(p.Deadline(), time.Duration(ms)*time.Millisecond), nil
}
