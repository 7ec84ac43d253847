// Package settings reads the settings file that a process is started with: where it
// listens, whom it trusts, where its configuration comes from, and how it stops and
// logs.
//
// It owns the form of the file (settings.schema.json, from which settings_gen.go is
// generated), the checks that a schema cannot express, and the defaults. It relies on
// nothing else and reads no file itself. A file that fails a check is refused whole,
// with every fault by file, line and key.
package settings

import (
	"crypto/ed25519"
	_ "embed" // the schema
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/honeydyke/honeydyke/internal/jsondoc"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Defaults of a planned stop (docs/decisions/0010-planned-stop.md); the schema names
// the same ones.
const (
	// defaultAnnounce is how long a stopping node waits for the balancer to notice.
	defaultAnnounce = 3 * time.Second
	// defaultStopLimit is the longest wait of a planned stop for work in flight.
	defaultStopLimit = time.Hour
)

//go:embed settings.schema.json
var schemaText []byte

var schema = jsondoc.MustCompile("settings.schema.json", schemaText)

// Parse reads and checks settings. The error is of type jsondoc.Problems and
// names the file, line and key of each fault and what is allowed.
func Parse(file string, text []byte) (*Settings, error) {
	var s Settings
	doc, err := jsondoc.Read(file, text, schema, &s)
	if err != nil {
		return nil, err
	}
	if ps := s.check(doc); len(ps) > 0 {
		return nil, ps
	}
	return &s, nil
}

// check finds what the schema cannot express.
func (s *Settings) check(doc *jsondoc.Document) jsondoc.Problems {
	type keyed struct{ key, address string }
	addresses := []keyed{
		{"/listen/callers", s.Listen.Callers},
		{"/listen/peers", s.Listen.Peers},
		{"/listen/admin", s.Listen.Admin},
	}
	if s.Gateway != nil {
		addresses = append(addresses, keyed{"/gateway/store", s.Gateway.Store}, keyed{"/gateway/ready", s.Gateway.Ready})
	}
	var ps jsondoc.Problems
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			ps = append(ps, doc.Problem(a.key, "%q is not an IP number and a port from 0 to 65535", a.address))
		}
	}
	ps = append(ps, s.checkNative(doc)...)
	if s.Trust != nil && s.Trust.Required > len(s.Trust.Approvers) {
		ps = append(ps, doc.Problem("/trust/required", "%d signatures are required of %d approvers", s.Trust.Required, len(s.Trust.Approvers)))
	}
	if s.TLS != nil && (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		ps = append(ps, doc.Problem("/tls", "certificate and key go together"))
	}
	return ps
}

// checkNative checks what a node needs that follows signed bundles; one that relays
// requests as a gateway needs none of it.
func (s *Settings) checkNative(doc *jsondoc.Document) jsondoc.Problems {
	if s.Gateway != nil {
		return nil
	}
	var ps jsondoc.Problems
	if s.Trust == nil {
		ps = append(ps, doc.Problem("", "trust is required unless the node is a gateway"))
	}
	if s.Keys == nil {
		ps = append(ps, doc.Problem("", "keys is required unless the node is a gateway"))
	}
	if s.ConfigurationService == "" && len(s.Peers) == 0 {
		ps = append(ps, doc.Problem("", "configurationService or peers must be given, or no bundle can be found"))
	}
	return ps
}

// BundleTrust returns whose signatures put a bundle in force.
func (s *Settings) BundleTrust() bundle.Trust {
	keys := make(map[string]ed25519.PublicKey, len(s.Trust.Approvers))
	for _, a := range s.Trust.Approvers {
		raw, _ := hex.DecodeString(a.PublicKey) // the schema allows nothing but 64 digits
		keys[a.Name] = raw
	}
	return bundle.Trust{Deployment: s.Trust.Deployment, Required: s.Trust.Required, Approvers: keys}
}

// TicketKey returns the 32 bytes that seal tickets.
func (s *Settings) TicketKey() []byte {
	raw, _ := hex.DecodeString(s.Keys.Ticket) // the schema allows nothing but 64 digits
	return raw
}

// Announce returns how long a stopping node waits for the balancer to notice.
func (s *Settings) Announce() time.Duration {
	if s.Stop == nil || s.Stop.AnnounceMs == 0 {
		return defaultAnnounce
	}
	return time.Duration(s.Stop.AnnounceMs) * time.Millisecond
}

// StopLimit returns the longest wait of a planned stop for work in flight.
func (s *Settings) StopLimit() time.Duration {
	if s.Stop == nil || s.Stop.LimitMs == 0 {
		return defaultStopLimit
	}
	return time.Duration(s.Stop.LimitMs) * time.Millisecond
}

// TextLog says whether the log is meant for people instead of machines.
func (s *Settings) TextLog() bool {
	return s.Log != nil && s.Log.Format == LogFormatText
}

// LogLevelName returns the lowest level written.
func (s *Settings) LogLevelName() string {
	if s.Log == nil || s.Log.Level == "" {
		return string(LogLevelInfo)
	}
	return string(s.Log.Level)
}
