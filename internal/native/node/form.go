package node

import "github.com/honeydyke/honeydyke/internal/openai"

// form is the shape in which a caller wants its answer: nativeForm or chatForm.
type form interface {
	// streams reports whether the caller wants its answer as a stream.
	streams() bool
}

// nativeForm is the shape of the pipeline endpoint.
type nativeForm struct {
	stream bool
	// bundle is the number of the bundle that governs the request.
	bundle int
}

// chatForm is the shape of the OpenAI-compatible endpoint.
type chatForm struct {
	id     string
	model  string
	stream bool
	// usage is true when the caller wants its tokens as the last event.
	usage bool
	// created is the Unix time of the call, in seconds.
	created int64
}

func (f nativeForm) streams() bool { return f.stream }
func (f chatForm) streams() bool   { return f.stream }

// completion is the whole answer.
func (f chatForm) completion(text, finish string, usage openai.Usage) openai.Completion {
	return openai.Completion{
		ID: openai.CompletionID(f.id), Object: openai.ObjectCompletion, Created: f.created, Model: f.model,
		Choices: []openai.Choice{{
			Message:      openai.Message{Role: openai.RoleAssistant, Content: openai.Content(text)},
			FinishReason: finish,
		}},
		Usage: usage,
	}
}

// chunk is one event of a stream; one with usage has no choices.
func (f chatForm) chunk(delta openai.Delta, finish *string, usage *openai.Usage) openai.Chunk {
	c := openai.Chunk{
		ID: openai.CompletionID(f.id), Object: openai.ObjectChunk, Created: f.created, Model: f.model,
		Choices: []openai.ChunkChoice{}, Usage: usage,
	}
	if usage == nil {
		c.Choices = append(c.Choices, openai.ChunkChoice{Delta: delta, FinishReason: finish})
	}
	return c
}
