package node_test

import (
	"fmt"
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

func TestBadCallsAreRefusedAsNotRun(t *testing.T) {
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
				shouldBeRefusedAsNotRun(resp, refusal, c.status, "mine")
			})
		})
	}
	convey.Convey("No target saw any of them", t, func() {
		for _, target := range l.Targets {
			convey.So(target.Calls(), convey.ShouldEqual, 0)
		}
	})
}

// officialClient returns OpenAI's client of the node and a call for it.
func officialClient(m *lab.Member) (openai.Client, openai.ChatCompletionNewParams) {
	c := openai.NewClient(option.WithBaseURL(m.URL()+"/v1"), option.WithAPIKey(examples.Key("members-app")))
	return c, openai.ChatCompletionNewParams{
		Model: "chat-reply",
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Be brief."), openai.UserMessage("May I bring a dog?"),
		},
		MaxTokens: openai.Int(40),
	}
}

func TestOpenAIsOfficialClientIsServed(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(1))
	c, params := officialClient(l.Nodes[0])
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
	})
}

func TestOpenAIsOfficialClientSeesEachError(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(1))
	c, params := officialClient(l.Nodes[0])
	convey.Convey("OpenAI's official client", t, func() {
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
		var streams []*stream
		for i := range 12 {
			streams = append(streams, startStream(ctx, l, m, fmt.Sprint("stream ", i)))
		}
		for _, s := range streams {
			<-s.begun
		}
		stopAndWaitUntilLeaving(ctx, m)
		_, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "chat-reply", Input: "new"}, nil)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.NotRun)
		for _, s := range streams {
			convey.So(<-s.ended, convey.ShouldBeNil)
		}
		convey.So(m.Wait(), convey.ShouldBeNil)
	})
}

func TestTicketsRunAtMostOnce(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(3))
	convey.Convey("Given a ticket whose home is node 0", t, func() {
		req := takeTicket(ctx, l)
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
			failOnce(l.Pool("fleet-yard"), standin.ResetAfter)
			for _, m := range l.Nodes {
				_, err := clientOf(m, "depots").Run(ctx, req, nil)
				shouldNeverRetry(err)
			}
			convey.So(runsOf(l, "fleet-yard", "locker 2"), convey.ShouldEqual, 1)
		})
		convey.Convey("a target's proof that nothing ran leads to another target, not to a refusal", func() {
			req.Input = "locker 3"
			failOnce(l.Pool("fleet-yard")[:2], standin.Refuse)
			_, err := clientOf(l.Nodes[1], "depots").Run(ctx, req, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(runsOf(l, "fleet-yard", "locker 3"), convey.ShouldEqual, 1)
		})
	})
}

func TestTicketsOnTheWayToTheirHomeAreNeverCalledNotRun(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(3))
	convey.Convey("Given a ticket whose home is node 0", t, func() {
		req := takeTicket(ctx, l)
		convey.Convey("a call refused on the way is not called not run, since another use may have run", func() {
			body := `{"input":"` + strings.Repeat("x", wire.MaxRequestBytes) + `"}`
			_, refusal := post(l.Nodes[1], "release-locker", examples.Key("depots"), body, http.Header{wire.HeaderTicket: {req.Ticket}})
			convey.So(refusal.Reason, convey.ShouldEqual, string(verdict.ReasonTooLarge))
			convey.So(refusal.Verdict, convey.ShouldEqual, message.RefusalVerdictMayHaveRun)
			convey.So(refusal.SafeToRetry, convey.ShouldBeFalse)
		})
		convey.Convey("another organisation cannot use it, and gets no answer that it did not run", func() {
			_, err := clientOf(l.Nodes[1], "partners").Run(ctx, req, nil)
			convey.So(verdict.From(err).Reason(), convey.ShouldEqual, verdict.ReasonTicketInvalid)
			convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		})
	})
}

func TestTicketsOfAKilledHomeAreNeverRun(t *testing.T) {
	l, ctx := deployment(t, lab.WithNodes(3))
	convey.Convey("A ticket whose home was killed is never run and never called not run", t, func() {
		req := takeTicket(ctx, l)
		req.Input = "locker 4"
		l.Nodes[0].Kill()
		_, err := clientOf(l.Nodes[1], "depots").Run(ctx, req, nil)
		shouldNeverRetry(err)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(runsOf(l, "fleet-yard", "locker 4"), convey.ShouldEqual, 0)
	})
}

func TestLeavingHomeDoesNotDenyASpentTicket(t *testing.T) {
	convey.Convey("Given a spent ticket whose home is leaving", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2), lab.WithSpeed(bundle.KindEngine, standin.Speed{PerToken: 2 * time.Millisecond}))
		home := l.Nodes[0]
		req := takeTicket(ctx, l)
		req.Input = "locker"
		_, err := clientOf(home, "depots").Run(ctx, req, nil)
		convey.So(err, convey.ShouldBeNil)
		// A long stream keeps the home from ending while the ticket is used again.
		s := startStream(ctx, l, home, "x")
		<-s.begun
		stopAndWaitUntilLeaving(ctx, home)
		for _, m := range l.Nodes {
			_, err := clientOf(m, "depots").Run(ctx, req, nil)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(<-s.ended, convey.ShouldBeNil)
		convey.So(runsOf(l, "fleet-yard", "locker"), convey.ShouldEqual, 1)
	})
}

func TestKeysReachTheTargetsThatCheckThem(t *testing.T) {
	convey.Convey("A caller's key goes to targets that check keys, and runs once at all nodes", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2))
		for _, m := range l.Nodes {
			_, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "charge-member", Input: "5 dollars", Key: "k"}, nil)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(runsOf(l, "member-ledger", "5 dollars"), convey.ShouldEqual, 1)
	})
}

func TestCallsBetweenNodesNeedTheNodesKey(t *testing.T) {
	convey.Convey("A call without the key is refused at every path", t, func() {
		l, _ := deployment(t, lab.WithNodes(1))
		shouldAnswerPosts(l.Nodes[0].PeerAddress(), http.StatusUnauthorized, wire.PathExchange, wire.PathBundle, wire.PathForward+"release-locker")
	})
}

func TestNothingOnTheAdminAddressCanBeWritten(t *testing.T) {
	convey.Convey("A write is refused at every path", t, func() {
		l, _ := deployment(t, lab.WithNodes(1))
		shouldAnswerPosts(l.Nodes[0].AdminAddress(), http.StatusMethodNotAllowed, wire.PathState, wire.PathMetrics, wire.PathReady, wire.PathHealth)
	})
}

func TestNodesFollowThePublishedBundle(t *testing.T) {
	convey.Convey("Given two nodes", t, func() {
		l, ctx := deployment(t, lab.WithNodes(2))
		resp, err := http.Get("http://" + l.Nodes[0].AdminAddress() + wire.PathHealth)
		convey.So(err, convey.ShouldBeNil)
		_ = resp.Body.Close()
		convey.So(l.Publish(func(b *bundle.Bundle) { b.Rollout = nil }), convey.ShouldBeNil)
		for _, m := range l.Nodes {
			convey.So(lab.Poll(ctx, func() bool { return m.Bundle() == 2 }), convey.ShouldBeNil)
		}
		convey.Convey("with the service down, a new node takes the newest from its peers", func() {
			l.Configuration.SetDown(true)
			m, err := l.AddNode()
			convey.So(err, convey.ShouldBeNil)
			convey.So(lab.WaitReady(ctx, m.AdminAddress()), convey.ShouldBeNil)
			convey.So(m.Bundle(), convey.ShouldEqual, 2)
		})
	})
}
