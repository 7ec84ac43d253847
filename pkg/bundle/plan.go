package bundle

import (
	"slices"
	"time"
)

// defaultAttempts is the most attempts of a repeatable stage whose bundle names none:
// the first and one more.
const defaultAttempts = 2

// Plan is a checked bundle with its indexes. It is immutable.
type Plan struct {
	bundle        Bundle
	digest        string
	organisations map[string]*Organisation
	// byKeyDigest holds the organisations by the digests of their bearer keys.
	byKeyDigest map[string]*Organisation
	pools       map[string]*Pool
	pipelines   map[string]*PipelinePlan
}

// PipelinePlan is a pipeline with its stages in an order in which they can run.
type PipelinePlan struct {
	Pipeline
	// Order holds indexes into Stages; a stage comes after all that it needs.
	Order []int
	// Last is the index of the stage whose output is the answer.
	Last int
}

func newPlan(b Bundle, digest string) *Plan {
	p := &Plan{
		bundle:        b,
		digest:        digest,
		organisations: make(map[string]*Organisation),
		byKeyDigest:   make(map[string]*Organisation),
		pools:         make(map[string]*Pool),
		pipelines:     make(map[string]*PipelinePlan),
	}
	for i := range b.Organisations {
		org := &b.Organisations[i]
		p.organisations[org.Name] = org
		for _, d := range org.KeyDigests {
			p.byKeyDigest[d] = org
		}
	}
	for i := range b.Pools {
		p.pools[b.Pools[i].Name] = &b.Pools[i]
	}
	for _, pipeline := range b.Pipelines {
		order, _ := stageOrder(pipeline.Stages) // checkStages has refused cycles
		p.pipelines[pipeline.Name] = &PipelinePlan{Pipeline: pipeline, Order: order, Last: order[len(order)-1]}
	}
	return p
}

// Bundle returns the bundle; the caller must not change it.
func (p *Plan) Bundle() Bundle { return p.bundle }

// Name returns the name of the deployment.
func (p *Plan) Name() string { return p.bundle.Name }

// Number returns the number of the version.
func (p *Plan) Number() int { return p.bundle.Number }

// Digest returns the digest of the text that was signed.
func (p *Plan) Digest() string { return p.digest }

// Pool returns the pool called name, or nil.
func (p *Plan) Pool(name string) *Pool { return p.pools[name] }

// Organisation returns the organisation called name, or nil.
func (p *Plan) Organisation(name string) *Organisation { return p.organisations[name] }

// Pipeline returns the pipeline called name, or nil.
func (p *Plan) Pipeline(name string) *PipelinePlan { return p.pipelines[name] }

// Authenticate returns the organisation that holds the bearer key, or nil.
func (p *Plan) Authenticate(key string) *Organisation {
	return p.byKeyDigest[Digest([]byte(key))]
}

// Delay returns how long a node in the data centre waits, after it first
// verified the bundle, before the bundle is in force there.
func (p *Plan) Delay(dataCentre string) time.Duration {
	for _, w := range p.bundle.Rollout {
		if slices.Contains(w.DataCentres, dataCentre) {
			return time.Duration(w.AfterSeconds) * time.Second
		}
	}
	return 0
}

// Repeatable says whether every stage of the pipeline may be repeated.
func (p *PipelinePlan) Repeatable() bool {
	return !slices.ContainsFunc(p.Stages, func(s Stage) bool { return !s.Repeatable })
}

// Deadline returns the pipeline's deadline, the ceiling of its requests'.
func (p *PipelinePlan) Deadline() time.Duration {
	return time.Duration(p.DeadlineMs) * time.Millisecond
}

// AttemptLimit returns the most attempts of the stage that may have run; 1 for a stage
// that may not be repeated.
func (s Stage) AttemptLimit() int {
	if !s.Repeatable {
		return 1
	}
	if s.Attempts == 0 {
		return defaultAttempts
	}
	return s.Attempts
}

// stageOrder sorts the stages so that each comes after all that it needs, and
// is false when they need each other in a cycle.
func stageOrder(stages []Stage) ([]int, bool) {
	done := make(map[string]bool, len(stages))
	var order []int
	for len(order) < len(stages) {
		before := len(order)
		for i, s := range stages {
			if !done[s.Name] && !slices.ContainsFunc(s.Needs, func(n string) bool { return !done[n] }) {
				done[s.Name] = true
				order = append(order, i)
			}
		}
		if len(order) == before {
			return nil, false
		}
	}
	return order, true
}

// lastStages names the stages that no other needs.
func lastStages(stages []Stage) []string {
	var last []string
	for _, s := range stages {
		needed := slices.ContainsFunc(stages, func(o Stage) bool { return slices.Contains(o.Needs, s.Name) })
		if !needed {
			last = append(last, s.Name)
		}
	}
	return last
}

// shortestMs returns the sum of the minimum times along the longest path, in
// milliseconds.
func shortestMs(stages []Stage, order []int) int {
	end := make(map[string]int, len(stages))
	longest := 0
	for _, i := range order {
		start := 0
		for _, n := range stages[i].Needs {
			start = max(start, end[n])
		}
		end[stages[i].Name] = start + stages[i].MinimumMs
		longest = max(longest, end[stages[i].Name])
	}
	return longest
}
