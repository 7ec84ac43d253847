package node

import (
	"github.com/pkg/errors"

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
