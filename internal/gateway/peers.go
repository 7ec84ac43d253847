package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	peerDial = 300 * time.Millisecond
	peerIdle = 30 * time.Second
	// releaseTimeout bounds handing on results to free.
	releaseTimeout = time.Second
	// aliveFor is how long a member that gave a sign of life is trusted to make
	// items without another.
	aliveFor = 700 * time.Millisecond
	// aliveTimeout bounds asking a member for a sign of life.
	aliveTimeout = 350 * time.Millisecond
)

func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDial}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: peerIdle, DisableCompression: true,
	}}
}

func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGossip, g.serveGossip)
	mux.HandleFunc("POST "+wire.PathItems, g.serveItems)
	mux.HandleFunc("POST "+wire.PathRelease, g.serveRelease)
	mux.HandleFunc("POST "+wire.PathPlan, g.servePlan)
	mux.HandleFunc("POST "+wire.PathPlace, g.servePlace)
	mux.HandleFunc("POST "+wire.PathRead, g.serveRead)
	mux.HandleFunc("GET "+wire.PathView, g.serveView)
	return mux
}

// call sends JSON to a member and reads its JSON answer.
func (g *Gateway) call(ctx context.Context, method, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := g.peers.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("member %s answered with status %d", address, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	decoder := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxAnswerBytes))
	if answer, ok := out.(*itemAnswer); ok {
		return answer.read(decoder)
	}
	return decoder.Decode(out)
}

// itemAnswer is a member's answer to a group: perhaps the news that the inputs
// are read, and then the results.
type itemAnswer struct {
	message.ItemResults
	started func()
}

func (a *itemAnswer) read(decoder *json.Decoder) error {
	for {
		a.ItemResults = message.ItemResults{}
		if err := decoder.Decode(&a.ItemResults); err != nil {
			return err
		}
		if !a.Started {
			return nil
		}
		a.started()
	}
}

func readMessage(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxAnswerBytes)).Decode(into)
	if err != nil {
		http.Error(w, "the message does not read", http.StatusBadRequest)
	}
	return err == nil
}

func writeMessage(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// runAtLiveMember has a member make the items of a group, and gives up on the
// member when it shows no sign of life meanwhile.
func (g *Gateway) runAtLiveMember(ctx context.Context, member, service string, group relay.Group, started func()) ([]batching.Result, *verdict.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		results []batching.Result
		err     *verdict.Error
	}
	answered := make(chan answer, 1)
	go func() {
		results, err := g.runAtMember(ctx, member, service, group, started)
		answered <- answer{results, err}
	}()
	watch := time.NewTicker(aliveFor)
	defer watch.Stop()
	for {
		select {
		case a := <-answered:
			return a.results, a.err
		case <-watch.C:
			if !g.alive(ctx, member) {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "member %s shows no sign of life", member)
			}
		}
	}
}

// alive says whether a member gave a sign of life lately or answers now.
func (g *Gateway) alive(ctx context.Context, member string) bool {
	if g.now().Sub(g.members.lastContact(member)) < aliveFor {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return g.exchange(ctx, member)
}

// runAtMember has a member make the items of a group.
func (g *Gateway) runAtMember(ctx context.Context, member, service string, group relay.Group, started func()) ([]batching.Result, *verdict.Error) {
	now := g.now()
	ctx, cancel := context.WithTimeout(ctx, group.Deadline.Sub(now))
	defer cancel()
	in := message.ItemGroup{
		Service: service, Request: group.Request, Stage: group.Stage, Count: group.Count,
		Source: group.Source, Inputs: group.Inputs, Bytes: int(group.Bytes),
		DueMs: int(group.Due.Sub(now).Milliseconds()), DeadlineMs: int(group.Deadline.Sub(now).Milliseconds()),
		Priority: group.Priority, DataCentre: group.DataCentre,
	}
	out := itemAnswer{started: started}
	if err := g.call(ctx, http.MethodPost, member, wire.PathItems, in, &out); err != nil {
		return nil, verdict.New(verdict.NotRun, unansweredReason(ctx), "member %s gave no results", member).WithCause(err)
	}
	if out.Reason != "" {
		return nil, verdict.New(verdict.NotRun, verdict.Reason(out.Reason), "%s", out.Text).
			WithRetryAfter(time.Duration(out.RetryAfterMs) * time.Millisecond)
	}
	if len(out.Results) != group.Count {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "member %s gave %d results for %d items", member, len(out.Results), group.Count)
	}
	return resultsOf(out.Results), nil
}

// unansweredReason says why a call that ended with an error got no answer. When
// its time was over or nobody waits any more, that says nothing of the member.
func unansweredReason(ctx context.Context) verdict.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return verdict.ReasonDeadline
	case context.Canceled:
		return verdict.ReasonCancelled
	}
	return verdict.ReasonConnection
}

func (g *Gateway) serveItems(w http.ResponseWriter, r *http.Request) {
	var in message.ItemGroup
	if !readMessage(w, r, &in) {
		return
	}
	now := g.now()
	answer := &itemWriter{w: w}
	results, err := g.batches.makeHere(r.Context(), in.Service, relay.Group{
		Request: in.Request, Stage: in.Stage, Count: in.Count, Source: in.Source, Inputs: in.Inputs, Bytes: int64(in.Bytes),
		Due: now.Add(time.Duration(in.DueMs) * time.Millisecond), Deadline: now.Add(time.Duration(in.DeadlineMs) * time.Millisecond),
		Priority: in.Priority, DataCentre: in.DataCentre,
	}, answer.started)
	out := message.ItemResults{Results: itemsOf(results)}
	if err != nil {
		out.Reason, out.Text, out.RetryAfterMs = string(err.Reason()), err.Text(), int(err.RetryAfter().Milliseconds())
	}
	answer.finish(out)
}

// itemWriter writes the answer to a group; the news that the inputs are read may
// come at any moment before the end.
type itemWriter struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	ended bool
}

func (a *itemWriter) started() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	writeMessage(a.w, message.ItemResults{Results: []message.ItemResult{}, Started: true})
	_ = http.NewResponseController(a.w).Flush()
}

func (a *itemWriter) finish(out message.ItemResults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	writeMessage(a.w, out)
}

func resultsOf(items []message.ItemResult) []batching.Result {
	results := make([]batching.Result, len(items))
	for i, r := range items {
		results[i] = batching.Result{Handle: r.Handle, Target: r.Target, DataCentre: r.DataCentre}
	}
	return results
}

func itemsOf(results []batching.Result) []message.ItemResult {
	items := make([]message.ItemResult, len(results))
	for i, r := range results {
		items[i] = message.ItemResult{Handle: r.Handle, Target: r.Target, DataCentre: r.DataCentre}
	}
	return items
}

func (g *Gateway) askRelease(member, service string, results []batching.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	in := message.ItemRelease{Service: service, Results: itemsOf(results)}
	if err := g.call(ctx, http.MethodPost, member, wire.PathRelease, in, nil); err != nil {
		g.batches.releaseHere(service, results)
	}
}

func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in message.ItemRelease
	if readMessage(w, r, &in) {
		g.batches.releaseHere(in.Service, resultsOf(in.Results))
	}
}

// planOf is the part of a request's plan that concerns one member.
func planOf(now time.Time, request string, stages []relay.PlannedStage, numbers []int) message.ItemPlan {
	plan := message.ItemPlan{Request: request, Stages: make([]message.PlannedStage, len(numbers))}
	for k, i := range numbers {
		s := stages[i]
		plan.Stages[k] = message.PlannedStage{Service: s.Service, Stage: s.Stage, Items: s.Items, DueMs: int(s.Due.Sub(now).Milliseconds())}
	}
	return plan
}

// askPlan tells a member of planned stages and notes their backlogs.
func (g *Gateway) askPlan(ctx context.Context, member, request string, stages []relay.PlannedStage, numbers []int, backlogs []time.Duration) {
	var out message.ItemBacklogs
	err := g.call(ctx, http.MethodPost, member, wire.PathPlan, planOf(g.now(), request, stages, numbers), &out)
	if err != nil || len(out.BacklogMs) != len(numbers) {
		return
	}
	for k, i := range numbers {
		backlogs[i] = time.Duration(out.BacklogMs[k]) * time.Millisecond
	}
}

func (g *Gateway) askCancel(member, request string, stages []relay.PlannedStage, numbers []int) {
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	plan := planOf(g.now(), request, stages, numbers)
	plan.Cancelled = true
	_ = g.call(ctx, http.MethodPost, member, wire.PathPlan, plan, nil)
}

func (g *Gateway) servePlan(w http.ResponseWriter, r *http.Request) {
	var in message.ItemPlan
	if !readMessage(w, r, &in) {
		return
	}
	now := g.now()
	out := message.ItemBacklogs{BacklogMs: make([]int, len(in.Stages))}
	for i, s := range in.Stages {
		stage := relay.PlannedStage{Service: s.Service, Stage: s.Stage, Items: s.Items, Due: now.Add(time.Duration(s.DueMs) * time.Millisecond)}
		if in.Cancelled {
			g.batches.cancelHere(in.Request, stage)
			continue
		}
		out.BacklogMs[i] = int(g.batches.planHere(r.Context(), in.Request, stage).Milliseconds())
	}
	writeMessage(w, out)
}
