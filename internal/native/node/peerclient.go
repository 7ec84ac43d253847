package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// peerTimeout bounds an exchange between nodes and what follows from it; not
// measured.
const peerTimeout = 2 * time.Second

// peerClient calls other nodes with the key that all nodes share.
type peerClient struct {
	key    string
	scheme string
	http   *http.Client
}

// exchange sends an update and returns the peer's.
func (c *peerClient) exchange(ctx context.Context, address string, update message.Exchange) (message.Exchange, error) {
	var answer message.Exchange
	body, err := json.Marshal(update)
	if err != nil {
		return answer, err
	}
	req, err := c.request(http.MethodPost, address, wire.PathExchange, body)
	if err != nil {
		return answer, err
	}
	_, err = readAnswer(ctx, c.http, req, wire.MaxRequestBytes, &answer)
	return answer, err
}

// bundle returns the peer's newest bundle: as a step from own when that is not
// empty and the peer knows it, otherwise whole.
func (c *peerClient) bundle(ctx context.Context, address string, own bundle.Signed) (bundle.Signed, error) {
	path := wire.PathBundle
	if own.Text != "" {
		path += "?from=" + url.QueryEscape(bundle.Digest([]byte(own.Text)))
	}
	req, err := c.request(http.MethodGet, address, path, nil)
	if err != nil {
		return bundle.Signed{}, err
	}
	var transfer bundle.Transfer
	if _, err := readAnswer(ctx, c.http, req, signedBytes, &transfer); err != nil {
		return bundle.Signed{}, err
	}
	return transfer.Apply(own)
}

// request returns an authenticated call to a node.
func (c *peerClient) request(method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", bearerPrefix+c.key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
