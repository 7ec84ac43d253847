package openai_test

import (
	"encoding/json"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/openai"
)

func TestWhatIsUnsupported(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"hi"}]`
	cases := []struct{ question, body, want string }{
		{"a plain request", `{` + messages + `}`, ""},
		{"no message", `{}`, "messages must hold at least one message"},
		{"tools", `{` + messages + `,"tools":[{}]}`, "tools are not supported"},
		{"an empty list of tools", `{` + messages + `,"tools":[]}`, ""},
		{"structured output", `{` + messages + `,"response_format":{"type":"json_object"}}`, "response_format json_object"},
		{"plain text asked for", `{` + messages + `,"response_format":{"type":"text"}}`, ""},
		{"two choices", `{` + messages + `,"n":2}`, "n above 1"},
	}
	convey.Convey("A chat request with", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				var r openai.ChatRequest
				convey.So(json.Unmarshal([]byte(c.body), &r), convey.ShouldBeNil)
				convey.So(r.Unsupported(), convey.ShouldStartWith, c.want)
				convey.So(r.Unsupported() == "", convey.ShouldEqual, c.want == "")
			})
		}
	})
}

func TestContent(t *testing.T) {
	read := func(raw string) (string, error) {
		var c openai.Content
		err := json.Unmarshal([]byte(raw), &c)
		return string(c), err
	}
	convey.Convey("The content of a message is a text or a list of texts", t, func() {
		for _, raw := range []string{`"ab"`, `[{"type":"text","text":"a"},{"type":"text","text":"b"}]`} {
			text, err := read(raw)
			convey.So(err, convey.ShouldBeNil)
			convey.So(text, convey.ShouldEqual, "ab")
		}
	})
	convey.Convey("anything else is an error", t, func() {
		for _, raw := range []string{`1`, `[{"type":"image_url"}]`} {
			_, err := read(raw)
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
}

func TestCeilingOfTokens(t *testing.T) {
	convey.Convey("max_completion_tokens goes before max_tokens", t, func() {
		convey.So((&openai.ChatRequest{MaxTokens: 2}).CeilingOfTokens(), convey.ShouldEqual, 2)
		convey.So((&openai.ChatRequest{MaxTokens: 2, MaxCompletionTokens: 1}).CeilingOfTokens(), convey.ShouldEqual, 1)
		convey.So((&openai.ChatRequest{}).CeilingOfTokens(), convey.ShouldEqual, 0)
	})
}
