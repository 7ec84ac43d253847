package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/openai"
)

// StageOutput is what a pool or plain service answers: a text that only this
// call can have, so that a crossed answer shows. Writing to a hash never fails.
func StageOutput(call message.StageCall) string {
	h := xxhash.New()
	_, _ = h.WriteString(call.Stage + "\x00" + call.Organisation + "\x00" + call.Input)
	for _, name := range slices.Sorted(maps.Keys(call.Needs)) {
		_, _ = h.WriteString("\x00" + name + "\x00" + call.Needs[name])
	}
	return fmt.Sprintf("%s:%016x", call.Stage, h.Sum64())
}

// seedShifts is how many shifts of a 64-bit seed leave 16 bits of it.
const seedShifts = 64 - 16

// EngineTokens is what an engine generates for messages: between half and all
// of the ceiling, every token bound to the messages.
func EngineTokens(messages []openai.Message, ceiling int) []string {
	seed := hashMessages(messages)
	n := max(1, ceiling/2+int(seed%uint64(ceiling/2+1)))
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%04x ", uint16(seed>>(i%seedShifts))^uint16(i))
	}
	return tokens
}

// EngineOutput is EngineTokens as one text.
func EngineOutput(messages []openai.Message, ceiling int) string {
	return strings.Join(EngineTokens(messages, ceiling), "")
}

// hashMessages returns the seed of an answer; writing to a hash never fails.
func hashMessages(messages []openai.Message) uint64 {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.WriteString(m.Role + "\x00" + string(m.Content) + "\x01")
	}
	return h.Sum64()
}

// splitPrefix takes the text that an engine is asked to go on from off the
// messages; it is empty when the engine is to start anew.
func splitPrefix(req *openai.ChatRequest) (messages []openai.Message, prefix string) {
	if !req.ContinueFinalMessage || len(req.Messages) == 0 {
		return req.Messages, ""
	}
	last := len(req.Messages) - 1
	return req.Messages[:last], string(req.Messages[last].Content)
}
