package node

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

// tlsConfigs holds the configuration of each side; nil means plain HTTP.
type tlsConfigs struct {
	callers   *tls.Config
	peers     *tls.Config
	toPeers   *tls.Config
	toTargets *tls.Config
}

// newTLSConfigs fails when a certificate or key of the settings cannot be read.
func newTLSConfigs(s *settings.TLS) (*tlsConfigs, error) {
	c := &tlsConfigs{}
	if s == nil {
		return c, nil
	}
	if s.Certificate != "" {
		if err := c.serve(s); err != nil {
			return nil, err
		}
	}
	if s.TargetAuthorities != "" {
		pool, err := poolOf(s.TargetAuthorities, "targetAuthorities")
		if err != nil {
			return nil, err
		}
		c.toTargets = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return c, nil
}

// serve sets what the node's own certificate is for. Peers show theirs where the
// settings name authorities for them.
func (c *tlsConfigs) serve(s *settings.TLS) error {
	cert, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key))
	if err != nil {
		return errors.Wrap(err, "settings: tls/certificate")
	}
	own := []tls.Certificate{cert}
	c.callers = &tls.Config{Certificates: own, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	c.peers = &tls.Config{Certificates: own, MinVersion: tls.VersionTLS13}
	c.toPeers = &tls.Config{Certificates: own, MinVersion: tls.VersionTLS13}
	if s.PeerAuthorities == "" {
		return nil
	}
	pool, err := poolOf(s.PeerAuthorities, "peerAuthorities")
	if err != nil {
		return err
	}
	c.peers.ClientCAs = pool
	c.peers.ClientAuth = tls.RequireAndVerifyClientCert
	c.toPeers.RootCAs = pool
	return nil
}

// scheme returns the scheme of URLs that are called with cfg.
func scheme(cfg *tls.Config) string {
	if cfg == nil {
		return "http"
	}
	return "https"
}

// poolOf returns the authorities of the PEM text at a key of the settings.
func poolOf(pem, key string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(pem)) {
		return nil, errors.Errorf("settings: tls/%s holds no certificate", key)
	}
	return pool, nil
}
