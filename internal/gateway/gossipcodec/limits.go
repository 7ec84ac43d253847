package gossipcodec

import (
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Field numbers of message.TargetLimit in the compact format; a limit takes about 25 bytes.
const (
	// fieldLimited is the target's life as a string.
	fieldLimited protowire.Number = 1
	// fieldPerSecond is a decimal number as a string.
	fieldPerSecond protowire.Number = 2
	// fieldEnded is 1 if the target no longer reports a limit.
	fieldEnded     protowire.Number = 3
	fieldSaidAgoMs protowire.Number = 4
)

// appendLimits appends the limits of targets to an encoded gossip message.
func appendLimits(out []byte, list []message.TargetLimit) []byte {
	for _, l := range list {
		b := appendBytes(nil, fieldLimited, []byte(l.Target))
		b = appendBytes(b, fieldPerSecond, strconv.AppendFloat(nil, l.PerSecond, 'g', -1, 64))
		b = appendFlag(b, fieldEnded, l.Ended)
		b = appendNumber(b, fieldSaidAgoMs, l.AgoMs)
		out = appendBytes(out, fieldLimit, b)
	}
	return out
}

func readLimit(b []byte) (message.TargetLimit, error) {
	var l message.TargetLimit
	err := eachField(b, func(number protowire.Number, bytes []byte, value uint64) error {
		var err error
		switch number {
		case fieldLimited:
			l.Target = string(bytes)
		case fieldPerSecond:
			l.PerSecond, err = strconv.ParseFloat(string(bytes), 64)
		case fieldEnded:
			l.Ended = value != 0
		case fieldSaidAgoMs:
			l.AgoMs = int(value)
		}
		return err
	})
	return l, err
}
