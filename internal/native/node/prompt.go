package node

import (
	"maps"
	"slices"
	"strings"

	"github.com/honeydyke/honeydyke/internal/native/request"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// chatRequest returns what the attempt asks an engine of the pool.
func (a *attempt) chatRequest(pool *bundle.Pool) *openai.ChatRequest {
	model := pool.Model
	if a.spec.Adapter != "" {
		model = a.spec.Adapter
	}
	req := &openai.ChatRequest{
		Model:         model,
		Messages:      composeMessages(a.spec, a.job, a.needs),
		MaxTokens:     a.job.ceiling(a.spec),
		Stream:        true,
		StreamOptions: &openai.StreamOptions{IncludeUsage: true},
	}
	if a.start.Prefix != "" {
		continueFrom(req, a.start)
	}
	return req
}

// continueFrom lets the engine go on from the text that the caller has, as the
// final message of the assistant. The tokens spent on it are taken off the
// ceiling, so that both parts together keep to it.
func continueFrom(req *openai.ChatRequest, start request.Run) {
	newTurn := false
	req.Messages = append(req.Messages, openai.Message{Role: openai.RoleAssistant, Content: openai.Content(start.Prefix)})
	req.ContinueFinalMessage = true
	req.AddGenerationPrompt = &newTurn
	req.MaxTokens = max(1, req.MaxTokens-start.PrefixTokens)
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

// joinNeeds is one line for each output, in the order of the stages' names.
func joinNeeds(needs map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(needs)) {
		b.WriteString(name + ": " + needs[name] + "\n")
	}
	return b.String()
}
