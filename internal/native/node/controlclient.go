package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answerhead"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// controlIdleTimeout is how long an unused connection to a peer, the platform or a
	// target's load report stays open.
	controlIdleTimeout = 60 * time.Second
	// controlIdlePerHost is how many unused connections stay open to each of them.
	controlIdlePerHost = 4
)

// newControlClient returns an HTTP client for control traffic. It follows no
// redirects, since none of the servers that it calls sends any.
func newControlClient(traffic *controlTraffic, cfg *tls.Config) *http.Client {
	return &http.Client{
		Transport: answerhead.Transport(&http.Transport{
			DialContext:         traffic.dial,
			TLSClientConfig:     cfg,
			MaxIdleConnsPerHost: controlIdlePerHost,
			IdleConnTimeout:     controlIdleTimeout,

			MaxResponseHeaderBytes: wire.MaxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// readAnswer sends req, decodes a JSON answer of at most limit bytes into out and
// returns its entity tag.
func readAnswer(ctx context.Context, client *http.Client, req *http.Request, limit int64, out any) (string, error) {
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read or given up
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("%s answered with status %d", req.URL.Host, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return "", err
	}
	if int64(len(raw)) > limit {
		return "", errors.Errorf("%s answered with more than %d bytes", req.URL.Host, limit)
	}
	return resp.Header.Get("ETag"), json.Unmarshal(raw, out)
}
