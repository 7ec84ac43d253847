package losses

import "github.com/honeydyke/honeydyke/pkg/verdict"

// Cause is why a request was not answered in time: the rule that decided it and the
// resource that the rule looked at.
type Cause struct {
	// Name is a short name, which tables show.
	Name string
	// Rule is the file of the rule, as docs/DECISIONS.md names it.
	Rule string
	// Resource is what was short or broken.
	Resource string
}

// Causes of answers that were late, by the part of their way that took longest.
var (
	recomputed = Cause{"results recomputed", "internal/gateway/relay/rules/results.go", "results at their targets"}
	retried    = Cause{"failed attempts", "internal/gateway/relay/rules/retry.go", "the target of an attempt"}
	slowStages = Cause{"stages", "internal/gateway/batching/order.go", "the services of the stages"}
	slowAnswer = Cause{"first byte", "internal/gateway/placement/byprefill.go", "the engine or target"}
)

// targetsFailure is that of a failure which the target itself answered with and which
// was passed back as it was.
var targetsFailure = Cause{"target's own failure", "internal/gateway/relay/rules/answer.go", "the target"}

// withdrawn is that of an admitted request whose group was refused before anything of it ran.
var (
	withdrawn = Cause{"withdrawn", "internal/gateway/batching/withdraw.go", "the services of the stages"}
	// overShare is that of a refusal while the request's organisation asked for more than its
	// share of a full service.
	overShare = Cause{"over share", "internal/gateway/fairshare/table.go", "the organisation's share of the services of the stages"}
)

// unknownCause is that of a reason which this version does not know.
var unknownCause = Cause{Name: "unknown"}

// byReason has the cause for each reason with which a request ends.
var byReason = reasonCauses()

// causeOfReason returns why a request without an answer ended.
func causeOfReason(reason verdict.Reason) Cause {
	if c, known := byReason[reason]; known {
		return c
	}
	return unknownCause
}

// causeOfDelay returns why an answer was late: results that were recomputed, else the
// part of its way that took longest.
func causeOfDelay(p Parts, remade int) Cause {
	switch {
	case remade > 0:
		return recomputed
	case p.Attempts >= p.Stages && p.Attempts >= p.Answer:
		return retried
	case p.Stages >= p.Answer:
		return slowStages
	}
	return slowAnswer
}

func reasonCauses() map[verdict.Reason]Cause {
	const (
		retry  = "internal/gateway/relay/rules/retry.go"
		target = "the target"
	)
	return map[verdict.Reason]Cause{
		verdict.ReasonOverload:       {"admission", "internal/gateway/relay/rules/admission.go", "the services of the stages"},
		verdict.ReasonDeadline:       {"deadline", "internal/gateway/relay/rules/times.go", "the request's own time"},
		verdict.ReasonNotReady:       {"no configuration", "internal/gateway/relay/resolve.go", "the platform's store"},
		verdict.ReasonLeaving:        {"planned stop", "internal/gateway/stop.go", "the node or target that left"},
		verdict.ReasonQuarantined:    {"quarantined", "internal/gateway/quarantine/rule.go", "the targets that the request would end"},
		verdict.ReasonEvacuated:      {"evacuated", "internal/gateway/relay/rules/evacuated.go", "the data centres of the service's targets"},
		verdict.ReasonMoved:          {"coordination moved", "internal/gateway/handback.go", "the coordinator of a service"},
		verdict.ReasonNoTarget:       {"no target", "internal/gateway/placement/candidates.go", "the service's targets"},
		verdict.ReasonRetryExhausted: {"retry budget", "internal/gateway/retrybudget/retrybudget.go", "the retries left"},
		verdict.ReasonInputGone:      {"input gone", "internal/gateway/relay/rules/results.go", "results at their targets"},
		verdict.ReasonConnection:     {"connection lost", retry, target},
		verdict.ReasonDial:           {"not reached", retry, target},
		verdict.ReasonRefused:        {"target refused", retry, target},
		verdict.ReasonTargetError:    {"target failed", retry, target},
		verdict.ReasonStalled:        {"target silent", "internal/gateway/relay/rules/timeout.go", target},
		verdict.ReasonCut:            {"answer cut", "internal/gateway/relay/rules/answer.go", target},
		verdict.ReasonIdentity:       {"wrong answer", retry, target},
		verdict.ReasonTooLarge:       {"answer too long", "internal/answers/answers.go", target},
		verdict.ReasonBadRequest:     {"bad request", retry, "the request itself"},
		verdict.ReasonInternal:       {"internal", "", "the node itself"},
	}
}
