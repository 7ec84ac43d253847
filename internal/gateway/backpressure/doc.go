// Package backpressure keeps what targets ask for in their answers.
//
// It owns, for each life of a target, the newest of what that said. It relies on its shell
// to report the head of every answer, be it a success, a failure or a refusal. It does no
// input or output and reads its clock from its Config. A node that starts knows nothing.
package backpressure
