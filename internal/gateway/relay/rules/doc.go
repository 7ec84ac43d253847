// Package rules holds what decides about one request of the gateway: whether it
// is admitted, by when its parts are due, how long an attempt may be silent,
// whether it is sent again and when a refused client should retry.
//
// Each rule is a function of its arguments alone. The package reads no clock,
// draws no random number, holds no state and does no input or output; package
// relay gathers the inputs, asks the rule once and acts. A rule that may end in
// more than two ways returns one type for each, with what the log prints of it.
//
// The figures of a rule stand in one block above it, each with its unit and its reason:
// what a measurement gave, what it follows from, or what another figure would cost.
package rules
