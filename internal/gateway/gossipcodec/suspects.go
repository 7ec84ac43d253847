package gossipcodec

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Field numbers of message.SuspectRequest in the compact format. A request with one end of a
// target takes 58 bytes, 64 of them take 3.7 KB.
const (
	// fieldDigest is the hexadecimal digest as a string.
	fieldDigest protowire.Number = 1
	// fieldCleared is a count.
	fieldCleared      protowire.Number = 2
	fieldClearedAgoMs protowire.Number = 3
	// fieldEnd holds one message.SuspectEnd.
	fieldEnd protowire.Number = 4
	// fieldHeld is 1 if the request is held back.
	fieldHeld protowire.Number = 5
)

// Field numbers of message.SuspectEnd in the compact format.
const (
	// fieldTarget is the target's life as a string.
	fieldTarget protowire.Number = 1
	fieldAgoMs  protowire.Number = 2
	// fieldSilent is 1 if no part of an answer had arrived.
	fieldSilent protowire.Number = 3
	fieldTookMs protowire.Number = 4
)

// appendSuspects appends the requests suspected of ending their targets, and the checksum of
// those held back, to an encoded gossip message.
func appendSuspects(out []byte, g message.Gossip) []byte {
	for _, q := range g.Suspects {
		out = appendBytes(out, fieldSuspect, suspectBytes(q))
	}
	if g.HeldSum != "" {
		out = appendBytes(out, fieldHeldSum, []byte(g.HeldSum))
	}
	return out
}

func suspectBytes(q message.SuspectRequest) []byte {
	b := appendBytes(nil, fieldDigest, []byte(q.Digest))
	b = appendNumber(b, fieldCleared, q.Cleared)
	b = appendNumber(b, fieldClearedAgoMs, q.ClearedAgoMs)
	b = appendFlag(b, fieldHeld, q.Held)
	for _, e := range q.Ends {
		end := appendBytes(nil, fieldTarget, []byte(e.Target))
		end = appendNumber(end, fieldAgoMs, e.AgoMs)
		end = appendNumber(end, fieldTookMs, e.TookMs)
		end = appendFlag(end, fieldSilent, e.Silent)
		b = appendBytes(b, fieldEnd, end)
	}
	return b
}

func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// appendNumber appends a varint field; 0 is omitted.
func appendNumber(b []byte, number protowire.Number, value int) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), uint64(value))
}

// appendFlag appends a boolean field; false is omitted.
func appendFlag(b []byte, number protowire.Number, set bool) []byte {
	if !set {
		return b
	}
	return appendNumber(b, number, 1)
}

func readSuspect(b []byte) (message.SuspectRequest, error) {
	var q message.SuspectRequest
	err := eachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		switch number {
		case fieldDigest:
			q.Digest = string(bytes)
		case fieldCleared:
			q.Cleared = int(value)
		case fieldClearedAgoMs:
			q.ClearedAgoMs = int(value)
		case fieldHeld:
			q.Held = value != 0
		case fieldEnd:
			e, err := readSuspectEnd(bytes)
			q.Ends = append(q.Ends, e)
			return err
		}
		return nil
	})
	return q, err
}

func readSuspectEnd(b []byte) (message.SuspectEnd, error) {
	var e message.SuspectEnd
	err := eachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		switch number {
		case fieldTarget:
			e.Target = string(bytes)
		case fieldAgoMs:
			e.AgoMs = int(value)
		case fieldTookMs:
			e.TookMs = int(value)
		case fieldSilent:
			e.Silent = value != 0
		}
		return nil
	})
	return e, err
}
