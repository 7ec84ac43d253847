package gateway

import (
	"context"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// usesReportedSpeeds reports whether the settings allow to use the speed that targets report.
func usesReportedSpeeds(cfg *settings.TargetSpeed) bool { return cfg != nil && cfg.Reported }

// withReportedSpeeds returns the targets, without the speeds that they report unless the
// settings allow to use them. Targets without reports are used as if they had no such field.
func withReportedSpeeds(cfg *settings.TargetSpeed, t Targets) Targets {
	if usesReportedSpeeds(cfg) {
		return t
	}
	return silentTargets{t}
}

// silentTargets drops the speeds that targets report.
type silentTargets struct{ Targets }

// Send implements relay.Upstream.
func (s silentTargets) Send(ctx context.Context, c relay.Call) (*relay.Reply, *verdict.Error) {
	reply, err := s.Targets.Send(ctx, c)
	if reply != nil {
		reply.Slowdown = 0
	}
	return reply, err
}

// RunBatch implements Targets.
func (s silentTargets) RunBatch(ctx context.Context, c BatchCall) (BatchAnswer, *verdict.Error) {
	answer, err := s.Targets.RunBatch(ctx, c)
	answer.Slowdown = 0
	return answer, err
}

// Inspect implements Targets.
func (s silentTargets) Inspect(ctx context.Context, t directory.Target) (batching.Report, *verdict.Error) {
	report, err := s.Targets.Inspect(ctx, t)
	report.Slowdown = 0
	return report, err
}
