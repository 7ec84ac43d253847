package gossipcodec

import (
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Field numbers of message.TargetLimit in the compact format; a limit takes about 25 bytes.
const (
	// fieldLimitTarget is the target's incarnation as a string.
	fieldLimitTarget protowire.Number = 1
	// fieldLimitPerSecond is a decimal number as a string.
	fieldLimitPerSecond protowire.Number = 2
	// fieldLimitEnded is 1 if the target no longer reports a limit.
	fieldLimitEnded protowire.Number = 3
	fieldLimitAgoMs protowire.Number = 4
)

// appendLimits appends the limits of targets to an encoded gossip message.
func appendLimits(out []byte, list []message.TargetLimit) []byte {
	for _, l := range list {
		b := appendBytes(nil, fieldLimitTarget, []byte(l.Target))
		b = appendBytes(b, fieldLimitPerSecond, strconv.AppendFloat(nil, l.PerSecond, 'g', -1, 64))
		b = appendBool(b, fieldLimitEnded, l.Ended)
		b = appendVarint(b, fieldLimitAgoMs, l.AgoMs)
		out = appendBytes(out, fieldLimit, b)
	}
	return out
}

func unmarshalLimit(b []byte) (message.TargetLimit, error) {
	var l message.TargetLimit
	err := forEachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		var err error
		switch number {
		case fieldLimitTarget:
			l.Target = string(bytes)
		case fieldLimitPerSecond:
			l.PerSecond, err = strconv.ParseFloat(string(bytes), 64)
		case fieldLimitEnded:
			l.Ended = value != 0
		case fieldLimitAgoMs:
			l.AgoMs = int(value)
		}
		return err
	})
	return l, err
}
