// Package bundle reads, checks, signs, verifies and compares bundles. A bundle is the
// configuration of one deployment: its organisations, pools, targets and pipelines, and
// the waves of its rollout. It is the only thing that changes how a running native node
// behaves.
//
// It owns the form of a bundle (bundle.schema.json, from which bundle_gen.go is
// generated), the checks that a schema cannot express, the indexes of a checked bundle
// (Plan), signatures and the order of versions (sign.go), and the steps between two
// texts (step.go). It relies on the keys in the caller's Trust; it does no input or
// output. A bundle that fails a check is refused whole, with every fault by file, line
// and key. See docs/decisions/0005-bundle.md.
package bundle

import (
	"crypto/sha256"
	_ "embed" // the schema
	"encoding/hex"
	"slices"
	"strconv"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/honeydyke/honeydyke/internal/jsondoc"
)

// MaxBytes is the largest bundle accepted, in bytes: the bound of a value in the
// configuration service. docs/CAPACITY.md measures bundles up to it.
const MaxBytes = 1 << 20

//go:embed bundle.schema.json
var schemaText []byte

// schema compiles the schema on its first use: a gateway reads no bundle, and
// compiling takes 5 ms of a core, a third of all that a process does before main.
var schema = sync.OnceValue(func() *jsonschema.Schema { return jsondoc.MustCompile("bundle.schema.json", schemaText) })

// Digest returns the digest of text in the form "sha256:<hexadecimal>".
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Parse reads and checks a bundle. The file name only serves the error, which
// is of type jsondoc.Problems and names the file, line and key of each fault.
func Parse(file string, text []byte) (*Plan, error) {
	if len(text) > MaxBytes {
		return nil, jsondoc.Problems{{File: file, Line: 1, Text: "the bundle has " + strconv.Itoa(len(text)) +
			" bytes; at most " + strconv.Itoa(MaxBytes) + " are allowed"}}
	}
	var b Bundle
	doc, err := jsondoc.Read(file, text, schema(), &b)
	if err != nil {
		return nil, err
	}
	c := checker{doc: doc, b: &b}
	if ps := c.check(); len(ps) > 0 {
		return nil, ps
	}
	return newPlan(b, Digest(text)), nil
}

// checker finds what the schema cannot express.
type checker struct {
	doc      *jsondoc.Document
	b        *Bundle
	problems jsondoc.Problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(key, format, args...))
}

func (c *checker) check() jsondoc.Problems {
	c.checkHeader()
	c.checkOrganisations()
	c.checkPools()
	c.checkPipelines()
	c.checkRollout()
	return c.problems
}

func (c *checker) checkHeader() {
	first := c.b.Number == 1
	if first && c.b.Previous != "" {
		c.add("/previous", "number 1 has no previous bundle; it must be empty")
	}
	if !first && c.b.Previous == "" {
		c.add("/previous", "number %d must name the digest of number %d", c.b.Number, c.b.Number-1)
	}
	if c.b.Objective.AttainmentWeight == 0 && c.b.Objective.CostWeight == 0 {
		c.add("/objective", "one of the weights must be above 0")
	}
}

func (c *checker) checkOrganisations() {
	names := uniqueNames{c: c, what: "organisation"}
	digests := uniqueNames{c: c, what: "key digest"}
	for i, org := range c.b.Organisations {
		key := at("/organisations", i)
		names.add(key+"/name", org.Name)
		for j, d := range org.KeyDigests {
			digests.add(at(key+"/keyDigests", j), d)
		}
	}
}

func (c *checker) checkPools() {
	models := uniqueNames{c: c, what: "model"}
	for i, m := range c.b.Models {
		models.add(at("/models", i)+"/name", m.Name)
	}
	pools := uniqueNames{c: c, what: "pool"}
	targets := uniqueNames{c: c, what: "target"}
	addresses := uniqueNames{c: c, what: "target address"}
	for i, p := range c.b.Pools {
		key := at("/pools", i)
		pools.add(key+"/name", p.Name)
		c.checkPoolModel(key, p, &models)
		for j, t := range p.Targets {
			targets.add(at(key+"/targets", j)+"/name", t.Name)
			addresses.add(at(key+"/targets", j)+"/address", t.Address)
		}
	}
}

func (c *checker) checkPoolModel(key string, p Pool, models *uniqueNames) {
	if p.Kind == KindEngine && p.Model == "" {
		c.add(key, "a pool of kind engine must name its model")
	}
	if p.Model != "" && !models.seen[p.Model] {
		c.add(key+"/model", "there is no model %q", p.Model)
	}
}

func (c *checker) checkPipelines() {
	names := uniqueNames{c: c, what: "pipeline"}
	for i, p := range c.b.Pipelines {
		key := at("/pipelines", i)
		names.add(key+"/name", p.Name)
		c.checkStages(key, p)
	}
}

func (c *checker) checkStages(key string, p Pipeline) {
	before := len(c.problems)
	names := uniqueNames{c: c, what: "stage"}
	for i, s := range p.Stages {
		names.add(at(key+"/stages", i)+"/name", s.Name)
	}
	for i, s := range p.Stages {
		c.checkStage(at(key+"/stages", i), s, &names)
	}
	if len(c.problems) > before {
		return
	}
	order, ok := stageOrder(p.Stages)
	if !ok {
		c.add(key+"/stages", "the stages need each other in a cycle")
		return
	}
	if last := lastStages(p.Stages); len(last) != 1 {
		c.add(key+"/stages", "exactly one stage may be needed by no other; these are: %v", last)
	}
	if shortest := shortestMs(p.Stages, order); shortest > p.DeadlineMs {
		c.add(key+"/deadlineMs", "the stages take at least %d ms; the deadline of %d ms is impossible", shortest, p.DeadlineMs)
	}
}

func (c *checker) checkStage(key string, s Stage, names *uniqueNames) {
	pool := c.pool(s.Pool)
	if pool == nil {
		c.add(key+"/pool", "there is no pool %q", s.Pool)
	}
	for i, need := range s.Needs {
		if !names.seen[need] {
			c.add(at(key+"/needs", i), "there is no stage %q in this pipeline", need)
		}
	}
	if !s.Repeatable && s.Attempts > 1 {
		c.add(key+"/attempts", "a stage that may not be repeated has one attempt")
	}
	if pool != nil && s.OnLoss == StageOnLossContinue && (pool.Kind != KindEngine || !s.Repeatable) {
		c.add(key+"/onLoss", "only a repeatable stage of an engine can continue")
	}
	if pool != nil && s.Adapter != "" {
		c.checkAdapter(key, s, pool)
	}
}

func (c *checker) checkAdapter(key string, s Stage, pool *Pool) {
	for _, m := range c.b.Models {
		if m.Name == pool.Model && slices.Contains(m.Adapters, s.Adapter) {
			return
		}
	}
	c.add(key+"/adapter", "the model of pool %q has no adapter %q", pool.Name, s.Adapter)
}

func (c *checker) checkRollout() {
	seen := uniqueNames{c: c, what: "data centre"}
	last := 0
	for i, w := range c.b.Rollout {
		key := at("/rollout", i)
		if w.AfterSeconds < last {
			c.add(key+"/afterSeconds", "a wave may not come before the one above it, at %d s", last)
		}
		last = w.AfterSeconds
		for j, name := range w.DataCentres {
			seen.add(at(key+"/dataCentres", j), name)
			if !c.hasDataCentre(name) {
				c.add(at(key+"/dataCentres", j), "no target is in data centre %q", name)
			}
		}
	}
}

func (c *checker) hasDataCentre(name string) bool {
	for _, p := range c.b.Pools {
		if slices.ContainsFunc(p.Targets, func(t Target) bool { return t.DataCentre == name }) {
			return true
		}
	}
	return false
}

func (c *checker) pool(name string) *Pool {
	i := slices.IndexFunc(c.b.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &c.b.Pools[i]
}

// uniqueNames reports names that stand twice.
type uniqueNames struct {
	c    *checker
	what string
	seen map[string]bool
}

func (u *uniqueNames) add(key, name string) {
	if u.seen == nil {
		u.seen = make(map[string]bool)
	}
	if u.seen[name] {
		u.c.add(key, "%s %q stands twice; each may stand once", u.what, name)
	}
	u.seen[name] = true
}

func at(key string, i int) string { return key + "/" + strconv.Itoa(i) }
