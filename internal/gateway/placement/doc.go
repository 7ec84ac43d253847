// Package placement selects the target for each request to a service, and the member that
// coordinates a service. It performs no I/O, does not read the clock and starts no
// goroutines. Callers protect its state with their own locks.
//
// Each rule has its own file:
//
//   - leastloaded.go selects the target of a call that generates nothing (LeastLoaded).
//   - outlier.go determines which failing targets are ejected, and when a request probes
//     them.
//   - byprefix.go selects the engine if this node selects on its own (ByPrefix).
//   - byprefill.go selects the engine if one coordinator selects for the prompts of all
//     nodes (EngineChooser.Place).
//   - coordinator.go selects the member that coordinates a service (Coordinator).
//
// The package keeps the statistics that a node collects about targets (TargetTable), and
// the prompts that a coordinator has assigned to engines (EngineChooser). The directory
// determines which targets exist and accept requests. Without any statistics each rule
// still works and produces the same order of targets on every node.
//
// See docs/decisions/0011, 0012 and 0014.
package placement
