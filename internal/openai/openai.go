// Package openai holds the parts of OpenAI's chat completions API that honeydyke
// speaks to engines and to callers. Source: the API reference of OpenAI,
// "Chat Completions", and the identity rule of vLLM's compatible server, which
// names a completion "chatcmpl-" followed by the X-Request-Id of its request.
//
// It owns the JSON forms of that API, which are fixed by it, and what of it is refused
// (Unsupported); it relies on nothing else and does no input or output. A body that
// does not decode is an error.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Object names and marks of the API.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
	// DoneMark is the payload of the event that ends a whole stream.
	DoneMark = "[DONE]"
	// FinishStop is the finish reason of an answer that came to its own end.
	FinishStop = "stop"

	// Roles of messages.
	RoleSystem    = "system"
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// CompletionID returns the identity of the completion of request id.
func CompletionID(id string) string { return "chatcmpl-" + id }

// ChatRequest is the body of a call.
type ChatRequest struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int             `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	Tools               json.RawMessage `json:"tools,omitempty"`
	ResponseFormat      *ResponseFormat `json:"response_format,omitempty"`
	N                   int             `json:"n,omitempty"`
	// Priority is vLLM's extension; a lower number is served first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage is vLLM's and SGLang's extension: the answer goes on
	// from the last message instead of starting a new one.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
	// AddGenerationPrompt must be false with ContinueFinalMessage.
	AddGenerationPrompt *bool `json:"add_generation_prompt,omitempty"`
}

// StreamOptions asks for usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ResponseFormat asks for structured output.
type ResponseFormat struct {
	Type string `json:"type"`
}

// Message is one turn of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. On the wire it is a string or a list of
// text parts.
type Content string

// UnmarshalJSON reads both forms and refuses parts that are not text.
func (c *Content) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Errorf("content part of type %q is not supported; text is", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = Content(b.String())
	return nil
}

// Chunk is the payload of one event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *ErrorBody    `json:"error,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one choice of a completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ErrorAnswer is the body of a failed call.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is an error in the API's shape; the last fields are honeydyke's.
type ErrorBody struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Verdict      string  `json:"verdict,omitempty"`
	SafeToRetry  bool    `json:"safe_to_retry,omitempty"`
	RetryAfterMs int     `json:"retry_after_ms,omitempty"`
}

// CeilingOfTokens returns the most tokens that the request allows, 0 for no
// ceiling of its own.
func (r *ChatRequest) CeilingOfTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// Unsupported says which part of the request honeydyke refuses, empty for none.
func (r *ChatRequest) Unsupported() string {
	switch {
	case len(r.Messages) == 0:
		return "messages must hold at least one message"
	case len(r.Tools) > 0 && string(r.Tools) != "null" && string(r.Tools) != "[]":
		return "tools are not supported: a call cut in its middle could not be proved whole"
	case r.ResponseFormat != nil && r.ResponseFormat.Type != "" && r.ResponseFormat.Type != "text":
		return "response_format " + r.ResponseFormat.Type + " is not supported"
	case r.N > 1:
		return "n above 1 is not supported"
	}
	return ""
}
