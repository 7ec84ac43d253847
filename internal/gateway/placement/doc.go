// Package placement selects the target for each request to a service, and the member that
// coordinates a service. It performs no I/O, does not read the clock and starts no
// goroutines. Callers protect its state with their own locks.
//
// Each rule has its own file:
//
//   - leastloaded.go selects the target of a plain call, which is a call that generates nothing
//     (LeastLoaded).
//   - outlier.go determines which failing targets are ejected, and when a request probes
//     them.
//   - byprefix.go selects the engine if this node selects on its own (ByPrefix).
//   - byprefill.go selects the engine if one coordinator selects for the prompts of all
//     nodes (EngineChooser.Place).
//   - speedsample.go and enginespeed.go use the speed that targets report.
//   - coordinator.go selects the member that coordinates a service (Coordinator).
//
// The package keeps the statistics that a node collects about targets (TargetTable), and
// the prompts that a coordinator has assigned to engines (EngineChooser). The directory
// determines which targets exist and accept requests. Without any statistics each rule
// still selects a target, and the two rules for engines select the same one on every node.
//
// An engine is a target that generates text. It first prefills a prompt, that is, processes
// its tokens, and then sends the first event of the response. The prompts of a session have
// all their shared parts in common; an engine that has these parts cached does not prefill
// them again. The results that a prompt reads are the outputs of earlier steps of the request;
// each is stored in some data centre.
//
// See docs/decisions/0011, 0012 and 0014.
package placement
