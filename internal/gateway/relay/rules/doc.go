// Package rules holds the decisions that the gateway makes about a single request:
// whether it is admitted, when its stages and its response are due, how long an
// attempt may stay silent, whether it is retried and when a refused client should
// retry.
//
// Each rule is a pure function of its arguments. The package reads no clock, draws no
// random numbers, holds no state and performs no I/O; package relay gathers the inputs,
// calls the rule once and acts on the result. A rule with more than two outcomes
// returns one type per outcome, which carries what the log prints about it.
//
// The constants of a rule are declared in one block above it, each with its unit and
// the reason for its value: what it follows from, or what goes wrong with another value.
package rules
