package node

import (
	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/rollout"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Messages to bundleActor.
type (
	// offered is a verified bundle from a source.
	offered struct {
		plan   *bundle.Plan
		signed bundle.Signed
		source string
	}
	// confirmed says that a source named this digest as the newest bundle's.
	confirmed struct{ digest string }
	// peerAnswered says that a peer answered, with or without a bundle.
	peerAnswered struct{}
	// serviceAnswered says that the configuration service answered.
	serviceAnswered struct{}
	// timePassed lets time pass.
	timePassed struct{}
	// describeBundle asks for a bundleState.
	describeBundle struct{}
)

// bundleState answers describeBundle. It is immutable.
type bundleState struct {
	state   rollout.State
	history bundle.History
}

// bundles passes messages to bundleActor, which owns the node's bundles.
type bundles struct {
	actorRef

	trust bundle.Trust
}

// offer verifies a signed bundle and passes it on. It fails when the signatures
// or the text of the bundle are not good.
func (b *bundles) offer(source string, signed bundle.Signed) error {
	plan, err := b.trust.Verify(source, signed)
	if err != nil {
		return err
	}
	b.send(offered{plan: plan, signed: signed, source: source})
	return nil
}

// describe returns the state of the node's bundles. It fails when the actor does
// not answer within askTimeout.
func (b *bundles) describe() (bundleState, error) {
	answer, err := b.ask(describeBundle{})
	if err != nil {
		return bundleState{}, errors.Wrap(err, "ask for the bundle")
	}
	state, ok := answer.(bundleState)
	if !ok {
		return bundleState{}, errors.Errorf("ask for the bundle: unexpected answer %T", answer)
	}
	return state, nil
}

// bundleActor owns the node's rollout.State. It puts plans in force and decides
// when the node begins to serve.
type bundleActor struct {
	incarnation *incarnation
	gate        *gate
	members     *members
	log         zerolog.Logger

	state   rollout.State
	history bundle.History
	start   startRule
}

// Receive implements actor.Actor.
func (a *bundleActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case offered:
		a.accept(m)
	case confirmed:
		a.confirm(m)
	case peerAnswered:
		a.start.peerAnswered = true
		a.serve()
	case serviceAnswered:
		a.start.serviceAnswered = true
		a.serve()
	case timePassed:
		a.apply(a.state.WithTime(a.incarnation.now()))
		a.serve()
	case describeBundle:
		c.Respond(bundleState{state: a.state, history: a.history})
	}
}

func (a *bundleActor) confirm(m confirmed) {
	if newest := a.state.Newest(); newest != nil && newest.Digest() == m.digest {
		a.state = a.state.WithConfirmed(a.incarnation.now())
	}
}

// accept takes a verified bundle unless it is older than the newest one. A newer
// one is passed on to peers at once.
func (a *bundleActor) accept(m offered) {
	before := a.state.Newest()
	next, err := a.state.WithOffer(a.incarnation.now(), m.plan)
	if err != nil {
		a.log.Warn().Err(err).Str("source", m.source).Msg("bundle: refused, the one in force stays")
		return
	}
	newer := next.Newest() != before
	if newer {
		a.history = a.history.With(m.signed)
		a.logNewest(before, m)
	}
	a.apply(next)
	if newer {
		a.members.send(exchangeNow{})
	}
}

func (a *bundleActor) logNewest(before *bundle.Plan, m offered) {
	if before != nil && !bundle.Follows(before, m.plan) {
		a.log.Warn().Int("from", before.Number()).Int("to", m.plan.Number()).Msg("bundle: numbers were missed, the newest is taken whole")
	}
	a.log.Info().Int("number", m.plan.Number()).Str("source", m.source).Msg("bundle: verified")
}

// apply puts the plan in force that next holds.
func (a *bundleActor) apply(next rollout.State) {
	changed := next.InForce() != a.state.InForce()
	a.state = next
	if !changed {
		return
	}
	plan := next.InForce()
	a.gate.apply(admission.Install{Plan: plan})
	a.incarnation.plan.Store(plan)
	a.log.Info().Int("number", plan.Number()).Msg("bundle: in force")
	a.serve()
}

// serve ends the start of the node once it has a bundle and the start rule is
// met.
func (a *bundleActor) serve() {
	if a.incarnation.currentPhase() != Starting || a.state.InForce() == nil {
		return
	}
	if a.start.met(a.incarnation.age()) && a.incarnation.startServing() {
		a.log.Info().Int("bundle", a.state.InForce().Number()).Msg("node: serving")
	}
}
