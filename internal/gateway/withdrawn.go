package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// encodeWithdrawn encodes why a group was withdrawn; nil if it ended in another way.
func encodeWithdrawn(now time.Time, err *verdict.Error) *message.GroupWithdrawn {
	w, withdrawn := relay.WithdrawnCause(err)
	if !withdrawn {
		return nil
	}
	return &message.GroupWithdrawn{Priority: w.Priority, EndMs: millisUntil(now, w.End), DueMs: millisUntil(now, w.Due)}
}

// decodeWithdrawn returns the error of a refused group with the reason for which it was
// withdrawn as its cause. A member of an earlier version sends no reason.
func decodeWithdrawn(now time.Time, err *verdict.Error, in *message.GroupWithdrawn) *verdict.Error {
	if in == nil {
		return err
	}
	return err.WithCause(batching.Withdrawn{Priority: in.Priority, End: now.Add(millis(in.EndMs)), Due: now.Add(millis(in.DueMs))})
}
