package node

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// watchTimeout bounds a read that waits at the service for a change.
	watchTimeout = 40 * time.Second
	// serviceRetry is the pause after a failed read of the service, and between two looks
	// at whether this node reads it.
	serviceRetry = 500 * time.Millisecond
	// signedBytes bounds a signed bundle: the text as a JSON string, twice its
	// size at worst, and 64 KiB for its signatures.
	signedBytes = 2*bundle.MaxBytes + 64<<10
)

// serviceWatcher watches the configuration service while this node is one of its
// data centre's readers. A new node reads it once in any case.
type serviceWatcher struct {
	// address is the service's URL; empty for none.
	address string
	client  *http.Client
	bundles *bundles
	members *members
	pause   *pauseDetector
	metrics *metrics
	log     zerolog.Logger
}

// follow watches the service until ctx ends.
func (s *serviceWatcher) follow(ctx context.Context) {
	if s.address == "" {
		return
	}
	tag := ""
	for ctx.Err() == nil {
		if tag != "" && !s.isReader() {
			_ = wait.For(ctx, serviceRetry) // the loop looks at ctx
			continue
		}
		next, err := s.read(ctx, tag)
		if err != nil {
			s.log.Warn().Err(err).Msg("service: not read")
			_ = wait.For(ctx, serviceRetry) // the loop looks at ctx
			continue
		}
		tag = next
	}
}

// isReader reports whether this node is one of the readers of its data centre. A
// node that cannot find out reads.
func (s *serviceWatcher) isReader() bool {
	view, err := s.members.view()
	if err != nil {
		s.log.Warn().Err(err).Msg("service: read although this node may be no reader")
		return true
	}
	return view.Reading()
}

// read waits for a bundle whose entity tag differs from tag, offers it and
// returns its tag. It fails when the service does not answer; a bundle that is
// not good is logged, and not read again.
func (s *serviceWatcher) read(ctx context.Context, tag string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	address := s.address + wire.PathConfiguration
	if tag != "" {
		address += "?after=" + url.QueryEscape(tag)
	}
	req, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		return "", err
	}
	s.metrics.serviceCall()
	var signed bundle.Signed
	next, err := readAnswer(ctx, s.client, req, signedBytes, &signed)
	if err != nil {
		return "", err
	}
	s.pause.refreshed()
	if next != tag {
		if err := s.bundles.offer("configuration service", signed); err != nil {
			s.log.Error().Err(err).Msg("bundle: refused, the one in force stays")
		}
	}
	s.bundles.send(serviceAnswered{})
	return next, nil
}
