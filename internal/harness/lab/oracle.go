package lab

import (
	"slices"
	"strings"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/openai"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Expected returns the one right answer to a request: what the stand-ins give
// when each stage reads the input and the outputs of just its own request.
func Expected(plan *bundle.Plan, organisation, pipeline, input string) string {
	p := plan.Pipeline(pipeline)
	outputs := make(map[string]string)
	for _, i := range p.Order {
		stage := p.Stages[i]
		needs := make(map[string]string)
		for _, name := range stage.Needs {
			needs[name] = outputs[name]
		}
		if plan.Pool(stage.Pool).Kind == bundle.KindEngine {
			outputs[stage.Name] = standin.EngineOutput(enginePrompt(stage, needs, input), stage.MaxTokens)
			continue
		}
		outputs[stage.Name] = standin.StageOutput(message.StageCall{
			Stage: stage.Name, Organisation: organisation, Input: input, Needs: needs,
		})
	}
	return outputs[p.Stages[p.Last].Name]
}

func enginePrompt(stage bundle.Stage, needs map[string]string, input string) []openai.Message {
	var lines []string
	for name, output := range needs {
		lines = append(lines, name+": "+output+"\n")
	}
	slices.Sort(lines)
	prompt := []openai.Message{{Role: openai.RoleSystem, Content: openai.Content(stage.Instruction)}}
	if len(lines) > 0 {
		prompt = append(prompt, openai.Message{Role: openai.RoleSystem, Content: openai.Content(strings.Join(lines, ""))})
	}
	return append(prompt, openai.Message{Role: openai.RoleUser, Content: openai.Content(input)})
}
