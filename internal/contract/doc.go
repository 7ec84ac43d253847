// Package contract holds tests of what is visible from outside the program, so
// that a change inside it cannot alter that unnoticed. It has no other code.
//
// The files under testdata record:
//
//   - message: each definition of the message schema, flattened to the paths of
//     its JSON fields, and how the generated type encodes;
//   - settings, bundle: the keys of the settings file and of a bundle;
//   - deploy: the deploy file, its settings template, and a rendered example;
//   - constants: headers, paths and limits, and the words of verdicts and reasons;
//   - help: the help text of each verb;
//   - explain: what honeydyke explain prints for the log lines of input.log, which
//     is written by hand;
//   - state: the fields of the state dumps of both kinds of node;
//   - native: what native nodes send and answer to callers, targets, the platform
//     and each other, the names of their metrics with labels and bounds, and level,
//     prefix and fields of their log lines. A log line may gain fields, and lines
//     may be added. The explanations in refusals are not held.
//
// The tests name few identifiers of the program and compare values instead, so
// that renaming code leaves them alone. Descriptions in schemas are not held. A
// definition of the message schema that gets another name shows as a renamed file
// of the same content.
//
// A difference means that callers, operators or other nodes would see a change.
// Where that is intended, write the files anew and review their difference:
//
//	go test ./internal/contract -update
package contract
