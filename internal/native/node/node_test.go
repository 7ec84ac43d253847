package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const limit = 60 * time.Second

// deployment starts Kōwhai's deployment for one test.
func deployment(t *testing.T, opts ...lab.Option) (*lab.Lab, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	l, err := lab.Start(ctx, examples.Kowhai(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, ctx
}

func clientOf(m *lab.Member, organisation string) *client.Client {
	return client.New(m.URL(), examples.Key(organisation))
}

// post sends a raw call to the native endpoint.
func post(m *lab.Member, pipeline, key, body string, h http.Header) (*http.Response, message.Refusal) {
	req, _ := http.NewRequest(http.MethodPost, m.URL()+wire.PathPipelines+pipeline, strings.NewReader(body))
	req.Header = h.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	var refusal message.Refusal
	_ = json.Unmarshal(raw, &refusal)
	return resp, refusal
}

func TestRefusalsOfBadCalls(t *testing.T) {
	l, _ := deployment(t, lab.WithNodes(1))
	m := l.Nodes[0]
	key := examples.Key("depots")
	cases := []struct {
		name, pipeline, key, body string
		header                    http.Header
		status                    int
	}{
		{"no key", "availability", "", `{"input":"x"}`, nil, http.StatusUnauthorized},
		{"a wrong key", "availability", "guess", `{"input":"x"}`, nil, http.StatusUnauthorized},
		{"no such pipeline", "nothing", key, `{"input":"x"}`, nil, http.StatusNotFound},
		{"no JSON", "availability", key, `{`, nil, http.StatusBadRequest},
		{"a body too large", "availability", key, `{"input":"` + strings.Repeat("x", wire.MaxRequestBytes) + `"}`, nil, http.StatusRequestEntityTooLarge},
		{"a bad deadline", "availability", key, `{"input":"x"}`, http.Header{wire.HeaderDeadline: {"soon"}}, http.StatusBadRequest},
		{"an impossible deadline", "availability", key, `{"input":"x"}`, http.Header{wire.HeaderDeadline: {"1"}}, http.StatusServiceUnavailable},
		{"a key where nobody checks it", "release-locker", key, `{"input":"x"}`, http.Header{wire.HeaderIdempotency: {"k"}}, http.StatusPreconditionRequired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("The call is refused as not run and echoes its identity", t, func() {
				h := c.header.Clone()
				if h == nil {
					h = http.Header{}
				}
				h.Set(wire.HeaderIdentity, "mine")
				resp, refusal := post(m, c.pipeline, c.key, c.body, h)
				convey.So(resp.StatusCode, convey.ShouldEqual, c.status)
				convey.So(refusal.Verdict, convey.ShouldEqual, message.RefusalVerdictNotRun)
				convey.So(refusal.SafeToRetry, convey.ShouldBeTrue)
				convey.So(resp.Header.Get(wire.HeaderVerdict), convey.ShouldEqual, "not-run")
				convey.So(resp.Header.Get(wire.HeaderIdentity), convey.ShouldEqual, "mine")
				convey.So(refusal.Request, convey.ShouldEqual, "mine")
			})
		})
	}
	convey.Convey("No target saw any of them", t, func() {
		for _, target := range l.Targets {
			convey.So(target.Calls(), convey.ShouldEqual, 0)
		}
	})
}

func TestOfficialClient(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(1))
	c := openai.NewClient(option.WithBaseURL(l.Nodes[0].URL()+"/v1"), option.WithAPIKey(examples.Key("members-app")))
	params := openai.ChatCompletionNewParams{
		Model: "chat-reply",
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Be brief."), openai.UserMessage("May I bring a dog?"),
		},
		MaxTokens: openai.Int(40),
	}
	convey.Convey("OpenAI's official client", t, func() {
		convey.Convey("gets a whole answer", func() {
			answer, err := c.Chat.Completions.New(ctx, params)
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Choices[0].Message.Content, convey.ShouldNotBeEmpty)
			convey.So(answer.Choices[0].FinishReason, convey.ShouldEqual, "stop")
			convey.So(answer.Usage.CompletionTokens, convey.ShouldBeBetween, 0, 41)
			convey.Convey("and the same one streamed, with usage", func() {
				streamed := params
				streamed.StreamOptions.IncludeUsage = openai.Bool(true)
				stream := c.Chat.Completions.NewStreaming(ctx, streamed)
				acc := openai.ChatCompletionAccumulator{}
				for stream.Next() {
					acc.AddChunk(stream.Current())
				}
				convey.So(stream.Err(), convey.ShouldBeNil)
				convey.So(acc.Choices[0].Message.Content, convey.ShouldEqual, answer.Choices[0].Message.Content)
				convey.So(acc.Usage.CompletionTokens, convey.ShouldEqual, answer.Usage.CompletionTokens)
			})
		})
		convey.Convey("lists the pipelines as models", func() {
			page, err := c.Models.List(ctx)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(page.Data), convey.ShouldEqual, 6)
		})
		convey.Convey("gets errors in its own shape", func() {
			bad := params
			bad.Model = "nothing"
			_, err := c.Chat.Completions.New(ctx, bad)
			var apiErr *openai.Error
			convey.So(err, convey.ShouldHaveSameTypeAs, apiErr)
			convey.So(err.(*openai.Error).Code, convey.ShouldEqual, "not-found")
		})
		convey.Convey("sees the error of a stream that is cut, and no clean end", func() {
			for _, e := range l.Pool("engines") {
				e.Fail(standin.Cut, 4)
			}
			stream := c.Chat.Completions.NewStreaming(ctx, params)
			for stream.Next() {
				_ = stream.Current()
			}
			convey.So(stream.Err(), convey.ShouldNotBeNil)
		})
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
	convey.Convey("Given a node with long streams in flight", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2))
		m := l.Nodes[1]
		const streams = 12
		begun := make(chan struct{}, streams)
		ends := make(chan error, streams)
		for i := range streams {
			go func() {
				input := fmt.Sprint("stream ", i)
				first := true
				answer, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, func(string) {
					if first {
						begun <- struct{}{}
					}
					first = false
				})
				if err == nil && answer.Output != lab.Expected(l.Plan, "members-app", "chat-reply", input) {
					err = fmt.Errorf("stream %d got another answer", i)
				}
				ends <- err
			}()
		}
		for range streams {
			<-begun
		}
		m.Stop()
		convey.So(lab.Poll(ctx, func() bool { return m.Phase() == 2 }), convey.ShouldBeNil)
		_, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "chat-reply", Input: "new"}, nil)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.NotRun)
		for range streams {
			convey.So(<-ends, convey.ShouldBeNil)
		}
		convey.So(m.Wait(), convey.ShouldBeNil)
	})
}

func runsOf(l *lab.Lab, pool, input string) int {
	n := 0
	for _, t := range l.Pool(pool) {
		for _, r := range t.Runs() {
			if r.Input == input {
				n++
			}
		}
	}
	return n
}

func TestTicketsRunAtMostOnce(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(3))
	take := func() client.Request {
		ticket, err := clientOf(l.Nodes[0], "depots").TakeTicket(ctx, "release-locker")
		if err != nil {
			t.Fatal(err)
		}
		return client.Request{Pipeline: "release-locker", Ticket: ticket.Ticket}
	}
	convey.Convey("Given a ticket whose home is node 0", t, func() {
		req := take()
		convey.Convey("uses at all nodes run it once, and later ones get its answer", func() {
			req.Input = "locker 1"
			first, err := clientOf(l.Nodes[1], "depots").Run(ctx, req, nil)
			convey.So(err, convey.ShouldBeNil)
			for _, m := range l.Nodes {
				again, err := clientOf(m, "depots").Run(ctx, req, nil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(again.Output, convey.ShouldEqual, first.Output)
			}
			convey.So(runsOf(l, "fleet-yard", "locker 1"), convey.ShouldEqual, 1)
			look, err := clientOf(l.Nodes[2], "depots").LookTicket(ctx, req.Ticket)
			convey.So(err, convey.ShouldBeNil)
			convey.So(look.State, convey.ShouldEqual, message.TicketAnswerStateRan)
		})
		convey.Convey("a lost answer is never run again", func() {
			req.Input = "locker 2"
			for _, target := range l.Pool("fleet-yard") {
				target.Fail(standin.ResetAfter, 1)
			}
			for _, m := range l.Nodes {
				_, err := clientOf(m, "depots").Run(ctx, req, nil)
				convey.So(verdict.From(err).Verdict(), convey.ShouldNotEqual, verdict.NotRun)
				convey.So(verdict.From(err).SafeToRetry(), convey.ShouldBeFalse)
			}
			convey.So(runsOf(l, "fleet-yard", "locker 2"), convey.ShouldEqual, 1)
			for _, target := range l.Pool("fleet-yard") {
				target.ClearFaults()
			}
		})
		convey.Convey("a target's proof that nothing ran leads to another target, not to a refusal", func() {
			req.Input = "locker 3"
			for _, target := range l.Pool("fleet-yard")[:2] {
				target.Fail(standin.Refuse, 1)
			}
			_, err := clientOf(l.Nodes[1], "depots").Run(ctx, req, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(runsOf(l, "fleet-yard", "locker 3"), convey.ShouldEqual, 1)
			for _, target := range l.Pool("fleet-yard") {
				target.ClearFaults()
			}
		})
		convey.Convey("a call refused on the way is not called not run, since another use may have run", func() {
			body := `{"input":"` + strings.Repeat("x", wire.MaxRequestBytes) + `"}`
			_, refusal := post(l.Nodes[1], "release-locker", examples.Key("depots"), body, http.Header{wire.HeaderTicket: {req.Ticket}})
			convey.So(refusal.Reason, convey.ShouldEqual, string(verdict.ReasonTooLarge))
			convey.So(refusal.Verdict, convey.ShouldEqual, message.RefusalVerdictMayHaveRun)
			convey.So(refusal.SafeToRetry, convey.ShouldBeFalse)
		})
		convey.Convey("another organisation cannot use it, and is not told that it did not run", func() {
			_, err := clientOf(l.Nodes[1], "partners").Run(ctx, req, nil)
			convey.So(verdict.From(err).Reason(), convey.ShouldEqual, verdict.ReasonTicketInvalid)
			convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		})
	})
	convey.Convey("A ticket whose home was killed is never run and never called not run", t, func() {
		req := take()
		req.Input = "locker 4"
		l.Nodes[0].Kill()
		_, err := clientOf(l.Nodes[1], "depots").Run(ctx, req, nil)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(verdict.From(err).SafeToRetry(), convey.ShouldBeFalse)
		convey.So(runsOf(l, "fleet-yard", "locker 4"), convey.ShouldEqual, 0)
	})
}

func TestLeavingHomeDoesNotDenyASpentTicket(t *testing.T) {
	convey.Convey("Given a spent ticket whose home is leaving", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2), lab.WithSpeed(bundle.KindEngine, standin.Speed{PerToken: 2 * time.Millisecond}))
		home := l.Nodes[0]
		c := clientOf(home, "depots")
		ticket, err := c.TakeTicket(ctx, "release-locker")
		convey.So(err, convey.ShouldBeNil)
		req := client.Request{Pipeline: "release-locker", Input: "locker", Ticket: ticket.Ticket}
		_, err = c.Run(ctx, req, nil)
		convey.So(err, convey.ShouldBeNil)
		// A long stream keeps the home from ending while the ticket is used again.
		streaming := make(chan error, 1)
		begun := make(chan struct{})
		go func() {
			first := true
			_, err := clientOf(home, "members-app").Run(ctx, client.Request{Pipeline: "chat-reply", Input: "x", Stream: true}, func(string) {
				if first {
					close(begun)
				}
				first = false
			})
			streaming <- err
		}()
		<-begun
		home.Stop()
		convey.So(lab.Poll(ctx, func() bool { return home.Phase() == 2 }), convey.ShouldBeNil)
		for _, m := range l.Nodes {
			_, err := clientOf(m, "depots").Run(ctx, req, nil)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(<-streaming, convey.ShouldBeNil)
		convey.So(runsOf(l, "fleet-yard", "locker"), convey.ShouldEqual, 1)
	})
}

func TestKeysThatTargetsCheck(t *testing.T) {
	convey.Convey("A caller's key goes to targets that check keys, and runs once at all nodes", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2))
		for _, m := range l.Nodes {
			_, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "charge-member", Input: "5 dollars", Key: "k"}, nil)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(runsOf(l, "member-ledger", "5 dollars"), convey.ShouldEqual, 1)
	})
}

func TestPeersAreAuthenticated(t *testing.T) {
	convey.Convey("Calls between nodes need the nodes' key", t, func() {
		l, _ := deployment(t, lab.WithNodes(1))
		for _, path := range []string{wire.PathExchange, wire.PathBundle, wire.PathForward + "release-locker"} {
			resp, err := http.Post("http://"+l.Nodes[0].PeerAddress()+path, "application/json", bytes.NewReader(nil))
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusUnauthorized)
		}
	})
	convey.Convey("Nothing on the admin address can be written", t, func() {
		l, _ := deployment(t, lab.WithNodes(1))
		for _, path := range []string{wire.PathState, wire.PathMetrics, wire.PathReady, wire.PathHealth} {
			resp, err := http.Post("http://"+l.Nodes[0].AdminAddress()+path, "application/json", bytes.NewReader(nil))
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusMethodNotAllowed)
		}
	})
}

func TestBundleFollowsThePublishedOne(t *testing.T) {
	convey.Convey("Given two nodes", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2))
		old, _ := http.Get("http://" + l.Nodes[0].AdminAddress() + wire.PathHealth)
		_ = old.Body.Close()
		convey.So(l.Publish(func(b *bundle.Bundle) { b.Rollout = nil }), convey.ShouldBeNil)
		for _, m := range l.Nodes {
			convey.So(lab.Poll(ctx, func() bool { return m.Bundle() == 2 }), convey.ShouldBeNil)
		}
		convey.Convey("an older number, put into the service by mistake, changes nothing, and a new node takes the newer from its peers", func() {
			l.Configuration.SetDown(true)
			m, err := l.AddNode()
			convey.So(err, convey.ShouldBeNil)
			convey.So(lab.WaitReady(ctx, m.AdminAddress()), convey.ShouldBeNil)
			convey.So(m.Bundle(), convey.ShouldEqual, 2)
		})
	})
}
