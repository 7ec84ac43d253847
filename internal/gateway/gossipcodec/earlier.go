package gossipcodec

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Field numbers of message.EarlierProcess in the compact format.
const (
	fieldEarlierRetries protowire.Number = 1
	fieldEarlierMembers protowire.Number = 2
	fieldEarlierFirsts  protowire.Number = 3
	fieldEarlierService protowire.Number = 4
)

// appendEarlier appends what is known of an earlier process to an encoded gossip message.
func appendEarlier(out []byte, e *message.EarlierProcess) []byte {
	if e == nil {
		return out
	}
	b := appendVarint(nil, fieldEarlierRetries, e.Retries)
	b = appendVarint(b, fieldEarlierMembers, e.Members)
	b = appendVarint(b, fieldEarlierFirsts, e.Firsts)
	b = appendVarint(b, fieldEarlierService, e.Service)
	return appendBytes(out, fieldEarlier, b)
}

func unmarshalEarlier(b []byte) (message.EarlierProcess, error) {
	var e message.EarlierProcess
	err := forEachField(b, func(number protowire.Number, _ []byte, value uint64) error {
		switch number {
		case fieldEarlierRetries:
			e.Retries = int(value)
		case fieldEarlierMembers:
			e.Members = int(value)
		case fieldEarlierFirsts:
			e.Firsts = int(value)
		case fieldEarlierService:
			e.Service = int(value)
		}
		return nil
	})
	return e, err
}
