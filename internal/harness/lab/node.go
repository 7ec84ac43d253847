package lab

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// announceMs is how long a stopping node announces it, in milliseconds: the
	// shortest time, so that tests are quick.
	announceMs = 1
	// peerKeyBytes is the length of the nodes' shared key, as settings ask for.
	peerKeyBytes = 32
)

// Member is one node with the means to stop it.
type Member struct {
	*node.Node

	stop  context.CancelFunc
	ended chan struct{}
	err   error
}

// Stop starts a planned stop.
func (m *Member) Stop() { m.stop() }

// Wait waits for the end of the node and returns its error.
func (m *Member) Wait() error {
	<-m.ended
	return m.err
}

// URL returns the address for callers.
func (m *Member) URL() string { return "http://" + m.CallerAddress() }

// startNodes starts the nodes one after another; each knows the peer addresses of
// those before it.
func (l *Lab) startNodes() error {
	for range l.cfg.nodes {
		if _, err := l.AddNode(); err != nil {
			return err
		}
	}
	return nil
}

// AddNode starts one more node, which knows the others as its peers.
func (l *Lab) AddNode(more ...node.Option) (*Member, error) {
	var peers []string
	for _, m := range l.Nodes {
		peers = append(peers, m.PeerAddress())
	}
	cfg := l.Settings(len(l.Nodes), peers)
	if l.cfg.change != nil {
		l.cfg.change(cfg)
	}
	opts := append([]node.Option{node.WithLogger(l.cfg.log.With().Int("node", len(l.Nodes)).Logger())}, l.cfg.nodeOptions...)
	opts = append(opts, more...)
	n, err := node.New(cfg, opts...)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(l.ctx)
	m := &Member{Node: n, stop: stop, ended: make(chan struct{})}
	l.Nodes = append(l.Nodes, m)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		m.err = n.Run(ctx)
		close(m.ended)
	}()
	return m, nil
}

// Remove kills a node and forgets it, so that later nodes do not look for it.
func (l *Lab) Remove(m *Member) {
	m.Kill()
	m.Stop()
	l.Nodes = slices.DeleteFunc(l.Nodes, func(other *Member) bool { return other == m })
}

// Settings returns the settings of a node of the deployment; its number decides its
// data centre.
func (l *Lab) Settings(number int, peers []string) *settings.Settings {
	public := l.key.Public().(ed25519.PublicKey)
	return &settings.Settings{
		DataCentre: l.dataCentre(number),
		Listen:     settings.Listen{Callers: loopback, Peers: loopback, Admin: loopback},
		Trust: &settings.Trust{
			Deployment: l.Plan.Name(), Required: 1,
			Approvers: []settings.Approver{{Name: approver, PublicKey: hex.EncodeToString(public)}},
		},
		Keys: &settings.Keys{
			Peer:   strings.Repeat("p", peerKeyBytes),
			Ticket: hex.EncodeToString(l.key.Seed()),
		},
		ConfigurationService: l.base,
		InstanceList:         l.base,
		Peers:                peers,
		Stop:                 &settings.Stop{AnnounceMs: announceMs},
	}
}

// dataCentre spreads the nodes over the data centres of the bundle.
func (l *Lab) dataCentre(i int) string {
	var names []string
	seen := make(map[string]bool)
	for _, p := range l.Plan.Bundle().Pools {
		for _, t := range p.Targets {
			if !seen[t.DataCentre] {
				seen[t.DataCentre] = true
				names = append(names, t.DataCentre)
			}
		}
	}
	return names[i%len(names)]
}
