// Package message holds the messages between callers, nodes and targets. The
// types are generated from message.schema.json.
package message
