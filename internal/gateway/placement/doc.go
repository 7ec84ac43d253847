// Package placement decides which target of a service a request goes to, and
// which member coordinates a service. It does no input or output, reads no clock
// and starts nothing; its callers guard its state with their locks.
//
// One rule a file:
//
//   - leastloaded.go: the target of a call that generates nothing (LeastLoaded).
//   - outlier.go: which targets are ejected for failing, and when one request
//     probes them.
//   - byprefix.go: the engine, when this node chooses on its own (ByPrefix).
//   - byprefill.go: the engine, when one coordinator chooses for the prompts of
//     all nodes (EngineChooser.Place).
//   - coordinator.go: the member that coordinates a service (Coordinator).
//
// The package owns what a node has learnt of targets (TargetTable) and what a
// coordinator has placed at engines (EngineChooser). It relies on the directory
// for which targets exist and may take work. Without any knowledge of the targets
// each rule still answers: the same order of targets at every node.
//
// See docs/decisions/0011, 0012 and 0014.
package placement
