package gossipcodec

import (
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Fields of a message.TargetLimit in the compact form, as of a protocol buffer; one takes
// some 25 bytes.
const (
	// fieldLimited is the text of the target's life.
	fieldLimited protowire.Number = 1
	// fieldPerSecond is a decimal number as text.
	fieldPerSecond protowire.Number = 2
	// fieldEnded is 1 where the target names no limit any more.
	fieldEnded protowire.Number = 3
	// fieldSaidAgoMs is in milliseconds.
	fieldSaidAgoMs protowire.Number = 4
)

// appendLimits appends the limits of targets to a message.
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
