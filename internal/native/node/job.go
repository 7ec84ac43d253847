package node

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/pkg/bundle"
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

// result is a whole answer, without its text.
type result struct {
	// finish says why the engine of the last stage ended; "" for other targets.
	finish string
	stages []message.StageUse
	// tokens are those of the last stage.
	tokens int
}
