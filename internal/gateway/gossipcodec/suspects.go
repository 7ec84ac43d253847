package gossipcodec

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Field numbers of message.SuspectRequest in the compact format. A request with one end of a
// target takes 58 bytes, 64 of them take 3.7 KB.
const (
	// fieldSuspectDigest is the hexadecimal digest as a string.
	fieldSuspectDigest protowire.Number = 1
	// fieldSuspectCleared is a count.
	fieldSuspectCleared      protowire.Number = 2
	fieldSuspectClearedAgoMs protowire.Number = 3
	// fieldSuspectEnd holds one message.SuspectEnd.
	fieldSuspectEnd protowire.Number = 4
	// fieldSuspectHeld is 1 if the request is held back.
	fieldSuspectHeld protowire.Number = 5
)

// Field numbers of message.SuspectEnd in the compact format.
const (
	// fieldEndTarget is the target's incarnation as a string.
	fieldEndTarget protowire.Number = 1
	fieldEndAgoMs  protowire.Number = 2
	// fieldEndSilent is 1 if no part of an answer had arrived.
	fieldEndSilent protowire.Number = 3
	fieldEndTookMs protowire.Number = 4
)

// appendSuspects appends the requests and the parts of prompts suspected of crashing their
// targets, and the checksums of those held back, to an encoded gossip message.
func appendSuspects(out []byte, g message.Gossip) []byte {
	out = appendSuspectList(out, fieldSuspect, g.Suspects, fieldHeldSum, g.HeldSum)
	return appendSuspectList(out, fieldPart, g.Parts, fieldPartsSum, g.PartsSum)
}

func appendSuspectList(out []byte, field protowire.Number, list []message.SuspectRequest, sumField protowire.Number, sum string) []byte {
	for _, q := range list {
		out = appendBytes(out, field, marshalSuspect(q))
	}
	if sum != "" {
		out = appendBytes(out, sumField, []byte(sum))
	}
	return out
}

func marshalSuspect(q message.SuspectRequest) []byte {
	b := appendBytes(nil, fieldSuspectDigest, []byte(q.Digest))
	b = appendVarint(b, fieldSuspectCleared, q.Cleared)
	b = appendVarint(b, fieldSuspectClearedAgoMs, q.ClearedAgoMs)
	b = appendBool(b, fieldSuspectHeld, q.Held)
	for _, e := range q.Ends {
		end := appendBytes(nil, fieldEndTarget, []byte(e.Target))
		end = appendVarint(end, fieldEndAgoMs, e.AgoMs)
		end = appendVarint(end, fieldEndTookMs, e.TookMs)
		end = appendBool(end, fieldEndSilent, e.Silent)
		b = appendBytes(b, fieldSuspectEnd, end)
	}
	return b
}

func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// appendVarint appends a varint field; 0 is omitted.
func appendVarint(b []byte, number protowire.Number, value int) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), uint64(value))
}

// appendBool appends a boolean field; false is omitted.
func appendBool(b []byte, number protowire.Number, set bool) []byte {
	if !set {
		return b
	}
	return appendVarint(b, number, 1)
}

func unmarshalSuspect(b []byte) (message.SuspectRequest, error) {
	var q message.SuspectRequest
	err := forEachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		switch number {
		case fieldSuspectDigest:
			q.Digest = string(bytes)
		case fieldSuspectCleared:
			q.Cleared = int(value)
		case fieldSuspectClearedAgoMs:
			q.ClearedAgoMs = int(value)
		case fieldSuspectHeld:
			q.Held = value != 0
		case fieldSuspectEnd:
			e, err := unmarshalSuspectEnd(bytes)
			q.Ends = append(q.Ends, e)
			return err
		}
		return nil
	})
	return q, err
}

func unmarshalSuspectEnd(b []byte) (message.SuspectEnd, error) {
	var e message.SuspectEnd
	err := forEachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		switch number {
		case fieldEndTarget:
			e.Target = string(bytes)
		case fieldEndAgoMs:
			e.AgoMs = int(value)
		case fieldEndTookMs:
			e.TookMs = int(value)
		case fieldEndSilent:
			e.Silent = value != 0
		}
		return nil
	})
	return e, err
}
