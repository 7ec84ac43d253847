package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// inForceLimit bounds the wait for a bundle to be in force everywhere, as
	// docs/CAPACITY.md asks; the examples' second wave waits 2 s of it.
	inForceLimit = 9 * time.Second
	// leavingLimit bounds the wait until every node knows that a target leaves. Three
	// nodes look at an idle target every three seconds together; a busy one's refusal
	// makes them look at once.
	leavingLimit = 6 * time.Second
	// killAfter is the piece of a stream after which its engine is killed.
	killAfter = 20
	// ticketUses is how often one ticket is used at once.
	ticketUses = 12
	// drainReplies is how many streams are open when a node is stopped.
	drainReplies = 8
	// tooShort is a deadline that no pipeline can meet.
	tooShort = 5 * time.Millisecond
	// newCostWeight is what the published bundle changes.
	newCostWeight = 0.5
)

var kowhaiMix = []load.Share{
	{Pipeline: "summarise-claim", Organisation: "assessors", Weight: 3, InputBytes: 2000},
	{Pipeline: "chat-reply", Organisation: "members-app", Weight: 1, InputBytes: 300, Stream: true},
	{Pipeline: "annotate-licence", Organisation: "licences", Weight: 3, InputBytes: 400},
	{Pipeline: "availability", Organisation: "depots", Weight: 6, InputBytes: 80},
	{Pipeline: "release-locker", Organisation: "depots", Weight: 1, InputBytes: 60, Once: true},
	{Pipeline: "charge-member", Organisation: "members-app", Weight: 1, InputBytes: 60, Once: true},
}

var florariaMix = []load.Share{
	{Pipeline: "florist-brief", Organisation: "shops", Weight: 3, InputBytes: 12000, Stream: true},
	{Pipeline: "card-message", Organisation: "web", Weight: 4, InputBytes: 200},
	{Pipeline: "tag-order", Organisation: "web", Weight: 6, InputBytes: 300},
	{Pipeline: "charge-order", Organisation: "web", Weight: 1, InputBytes: 80, Once: true},
	{Pipeline: "fill-order", Organisation: "shops", Weight: 1, InputBytes: 80, Once: true},
}

// mixes sends requests of every kind and holds each answer against the one
// right one.
func (s *show) mixes(ctx context.Context) (string, error) {
	var err error
	if s.report.Kowhai, err = s.mix(ctx, s.kowhai, kowhaiMix); err != nil {
		return "", err
	}
	if s.report.Floraria, err = s.mix(ctx, s.floraria, florariaMix); err != nil {
		return "", err
	}
	k, f := s.report.Kowhai, s.report.Floraria
	return fmt.Sprintf("%d of %d and %d of %d whole in time, none crossed", k.Whole, k.Sent, f.Whole, f.Sent), nil
}

func (s *show) mix(ctx context.Context, l *lab.Lab, mix []load.Share) (*load.Report, error) {
	plan := l.Plan
	rep, err := load.Run(ctx, load.Plan{
		Nodes: urls(l), Key: examples.Key, Rate: mixRate, Duration: mixTime, Seed: seed, Mix: mix,
		Check: func(sh load.Share, input, output string) bool {
			return output == lab.Expected(plan, sh.Organisation, sh.Pipeline, input)
		},
	})
	if err != nil {
		return nil, err
	}
	if rep.Wrong > 0 || rep.Whole < rep.Sent {
		return rep, errors.Errorf("%s: %d of %d whole, %d wrong", plan.Name(), rep.Whole, rep.Sent, rep.Wrong)
	}
	return rep, nil
}

func urls(l *lab.Lab) []string {
	var list []string
	for _, m := range l.Nodes {
		list = append(list, m.URL())
	}
	return list
}

const (
	hirer    = "members-app"
	question = "My flight lands at 23:40; may I still collect the car?"
)

func (s *show) stream(ctx context.Context) (string, error) {
	pieces := 0
	answer, err := caller(s.kowhai.Nodes[0], hirer).Run(ctx,
		client.Request{Pipeline: "chat-reply", Input: question, Stream: true}, func(string) { pieces++ })
	if err != nil {
		return "", err
	}
	if answer.Output != lab.Expected(s.kowhai.Plan, hirer, "chat-reply", question) {
		return "", errors.New("the reply is not the right one")
	}
	return fmt.Sprintf("%d pieces, whole, finish %q", pieces, answer.Finish), nil
}

// killEngine crashes the engine that generates, once some text has come. The
// caller gets the whole answer or an explicit error, never a short answer that
// looks whole.
func (s *show) killEngine(ctx context.Context) (string, error) {
	input := question + " I travel with a dog."
	killed := ""
	pieces := 0
	answer, err := caller(s.kowhai.Nodes[1], hirer).Run(ctx,
		client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, func(string) {
			pieces++
			if pieces == killAfter {
				killed = s.crashBusyEngine()
			}
		})
	if killed == "" {
		return "", errors.New("no engine was busy when one was to be killed")
	}
	account, err := s.endOfStream(answer, err, input)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s was killed after %d pieces; %s", killed, killAfter, account), s.restart(killed)
}

// endOfStream judges how a damaged stream ended, and sends the request again
// where that is safe.
func (s *show) endOfStream(answer *client.Answer, err error, input string) (string, error) {
	right := lab.Expected(s.kowhai.Plan, hirer, "chat-reply", input)
	if err == nil {
		if answer.Output != right {
			return "", errors.New("the answer looks whole and is not")
		}
		return "the stream went on elsewhere and came whole", nil
	}
	e := verdict.From(err)
	if !e.SafeToRetry() {
		return "", errors.Wrap(err, "the reply should be safe to ask for again")
	}
	again, err := caller(s.kowhai.Nodes[2], hirer).Run(context.Background(), client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, nil)
	if err != nil {
		return "", err
	}
	if again.Output != right {
		return "", errors.New("the second answer is not the right one")
	}
	return fmt.Sprintf("explicit end (%s, %s), asked again and whole", e.Reason(), e.Verdict()), nil
}

func (s *show) crashBusyEngine() string {
	for _, t := range s.kowhai.Pool("engines") {
		if t.Busy() {
			t.Crash()
			return t.Name()
		}
	}
	return ""
}

func (s *show) restart(name string) error {
	t := s.kowhai.Targets[name]
	return t.Start(t.Address())
}

// stallEngine lets every engine fall silent in its next answer.
func (s *show) stallEngine(ctx context.Context) (string, error) {
	input := question + " And a child seat?"
	for _, t := range s.kowhai.Pool("engines") {
		t.Fail(standin.Stall, 1)
	}
	defer s.clearFaults()
	answer, err := caller(s.kowhai.Nodes[0], hirer).Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, nil)
	s.clearFaults()
	return s.endOfStream(answer, err, input)
}

func (s *show) clearFaults() {
	for _, t := range s.kowhai.Targets {
		t.ClearFaults()
	}
}

// locker sends one release with one ticket to every node at once, several times.
func (s *show) locker(ctx context.Context) (string, error) {
	input := "locker 12 of depot Nelson"
	ticket, err := caller(s.kowhai.Nodes[0], "depots").TakeTicket(ctx, "release-locker")
	if err != nil {
		return "", err
	}
	var whole atomic.Int64
	done := make(chan struct{})
	for i := range ticketUses {
		go func() {
			c := caller(s.kowhai.Nodes[i%nodesKowhai], "depots")
			if _, err := c.Run(ctx, client.Request{Pipeline: "release-locker", Input: input, Ticket: ticket.Ticket}, nil); err == nil {
				whole.Add(1)
			}
			done <- struct{}{}
		}()
	}
	for range ticketUses {
		<-done
	}
	if n := s.runsOf("fleet-yard", input); n != 1 {
		return "", errors.Errorf("the locker opened %d times", n)
	}
	return fmt.Sprintf("one ticket used %d times at %d nodes; it opened once, %d callers got the answer", ticketUses, nodesKowhai, whole.Load()), nil
}

// runsOf counts the runs of an input at a pool.
func (s *show) runsOf(pool, input string) int {
	n := 0
	for _, r := range s.kowhai.Runs(pool) {
		if r.Input == input {
			n++
		}
	}
	return n
}

// entryDies kills the home of a ticket after its run; another node must not run it
// a second time.
func (s *show) entryDies(ctx context.Context) (string, error) {
	input := "locker 31 of depot Picton"
	home, err := s.kowhai.AddNode()
	if err != nil {
		return "", err
	}
	if err := lab.WaitReady(ctx, home.AdminAddress()); err != nil {
		return "", err
	}
	ticket, err := caller(home, "depots").TakeTicket(ctx, "release-locker")
	if err != nil {
		return "", err
	}
	req := client.Request{Pipeline: "release-locker", Input: input, Ticket: ticket.Ticket}
	if _, err := caller(home, "depots").Run(ctx, req, nil); err != nil {
		return "", err
	}
	home.Kill()
	_, err = caller(s.kowhai.Nodes[1], "depots").Run(ctx, req, nil)
	e := verdict.From(err)
	if e == nil || e.Verdict() == verdict.NotRun || e.SafeToRetry() {
		return "", errors.Errorf("with its home dead the ticket got: %v", err)
	}
	if n := s.runsOf("fleet-yard", input); n != 1 {
		return "", errors.Errorf("the locker opened %d times", n)
	}
	return fmt.Sprintf("the locker opened once; elsewhere the ticket got %q (%s)", e.Verdict(), e.Reason()), nil
}

// publish puts a new bundle into the configuration service.
func (s *show) publish(ctx context.Context) (string, error) {
	start := time.Now()
	if err := s.kowhai.Publish(func(b *bundle.Bundle) { b.Objective.CostWeight = newCostWeight }); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	number := s.kowhai.Plan.Number()
	for _, m := range s.kowhai.Nodes[:nodesKowhai] {
		if err := lab.Poll(ctx, func() bool { return m.Bundle() == number }); err != nil {
			return "", errors.Errorf("number %d was not in force everywhere within %s", number, inForceLimit)
		}
	}
	return fmt.Sprintf("number %d in force on all nodes after %.1f s, its second wave waits 2 s", number, time.Since(start).Seconds()), nil
}

// leave makes an encoder leave; once every node knows, it must get no new work.
func (s *show) leave(ctx context.Context) (string, error) {
	target := s.floraria.Pool("encoders")[0]
	target.Leave()
	learn, cancel := context.WithTimeout(ctx, leavingLimit)
	defer cancel()
	for _, m := range s.floraria.Nodes {
		if err := lab.Poll(learn, func() bool { return knowsLeaving(m, target.Name()) }); err != nil {
			return "", errors.Errorf("a node did not learn within %s that the target leaves", leavingLimit)
		}
	}
	before := target.Calls()
	rep, err := s.mix(ctx, s.floraria, florariaMix[1:3])
	if err != nil {
		return "", err
	}
	if n := target.Calls() - before; n != 0 {
		return "", errors.Errorf("the leaving target got %d calls", n)
	}
	return fmt.Sprintf("known everywhere; %d more requests whole, none went to it", rep.Whole), nil
}

func knowsLeaving(m *lab.Member, target string) bool {
	for _, t := range m.State().Targets {
		if t.Target == target {
			return t.Leaving
		}
	}
	return false
}

// drain stops a node in the middle of long replies.
func (s *show) drain(ctx context.Context) (string, error) {
	m := s.kowhai.Nodes[2]
	begun := make(chan struct{}, drainReplies)
	ends := make(chan error, drainReplies)
	for i := range drainReplies {
		go func() {
			input := fmt.Sprintf("%s (%d)", question, i)
			first := true
			answer, err := caller(m, hirer).Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, func(string) {
				if first {
					begun <- struct{}{}
				}
				first = false
			})
			if err == nil && answer.Output != lab.Expected(s.kowhai.Plan, hirer, "chat-reply", input) {
				err = errors.New("the reply is not the right one")
			}
			ends <- err
		}()
	}
	for range drainReplies {
		select {
		case <-begun:
		case err := <-ends:
			return "", errors.Errorf("a reply ended before the stop: %v", err)
		}
	}
	m.Stop()
	_, err := caller(m, hirer).Run(ctx, client.Request{Pipeline: "chat-reply", Input: "late"}, nil)
	if verdict.From(err).Verdict() != verdict.NotRun {
		return "", errors.Errorf("new work at a leaving node got: %v", err)
	}
	for range drainReplies {
		if err := <-ends; err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d replies in flight came whole; new work was refused as not run", drainReplies), m.Wait()
}

// refuse asks for an answer sooner than the pipeline can give it.
func (s *show) refuse(ctx context.Context) (string, error) {
	input := "a claim that nobody should see"
	_, err := caller(s.kowhai.Nodes[0], "assessors").Run(ctx,
		client.Request{Pipeline: "summarise-claim", Input: input, Deadline: tooShort}, nil)
	e := verdict.From(err)
	if e == nil || e.Verdict() != verdict.NotRun {
		return "", errors.Errorf("the request got: %v", err)
	}
	if n := s.runsOf("encoders", input); n != 0 {
		return "", errors.New("refused as not run, and it ran")
	}
	return fmt.Sprintf("refused as not run (%s, HTTP %d); no target saw it", e.Reason(), http.StatusServiceUnavailable), nil
}
