package node_test

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// A program runs a node: it signs a bundle, offers it where a configuration
// service would, and stops the node by ending its context.
func Example() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	text := examples.Kowhai()
	signed := bundle.Signed{Text: string(text)}.WithSignature(bundle.Sign("mere", key, text))
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done() // nothing will change
			return
		}
		w.Header().Set("ETag", `"1"`)
		_ = json.NewEncoder(w).Encode(signed)
	}))
	defer service.CloseClientConnections()

	cfg, err := settings.Parse("settings", fmt.Appendf(nil, `{
		"dataCentre": "kow-a",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"trust": {"deployment": "kowhai", "required": 1, "approvers": [{"name": "mere", "publicKey": %q}]},
		"keys": {"peer": %q, "ticket": %q},
		"configurationService": %q,
		"stop": {"announceMs": 1}, // no balancer to wait for
	}`, hex.EncodeToString(key.Public().(ed25519.PublicKey)), strings.Repeat("p", 32), strings.Repeat("0", 64), service.URL))
	if err != nil {
		fmt.Println(err)
		return
	}
	n, err := node.New(cfg)
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- n.Run(ctx) }()
	<-n.Ready()
	fmt.Println("serving bundle", n.Bundle())
	stop()
	fmt.Println("ended:", <-ended)
	// Output:
	// serving bundle 1
	// ended: <nil>
}
