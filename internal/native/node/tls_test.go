package node_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// selfSigned returns a certificate for loopback, which is its own authority.
func selfSigned(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "honeydyke test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	certificate = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return certificate, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey}))
}

func TestTLSIsSpokenOnAllSides(t *testing.T) {
	convey.Convey("Given nodes and targets that speak TLS", t, func() {
		certificate, key := selfSigned(t)
		pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
		convey.So(err, convey.ShouldBeNil)
		authorities := x509.NewCertPool()
		authorities.AppendCertsFromPEM([]byte(certificate))
		l, ctx := deployment(t, lab.WithNodes(2),
			lab.WithTargetTLS(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}),
			lab.WithSettings(func(s *settings.Settings) {
				s.TLS = &settings.TLS{Certificate: certificate, Key: key, PeerAuthorities: certificate, TargetAuthorities: certificate}
			}))
		h := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities}, ForceAttemptHTTP2: true}}
		c := client.New("https://"+l.Nodes[1].CallerAddress(), examples.Key("depots"), client.WithHTTPClient(h))
		convey.Convey("a caller is served over HTTP/2, and a ticket is passed to its home on another node", func() {
			answer, err := c.Run(ctx, client.Request{Pipeline: "availability", Input: "a van"}, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Output, convey.ShouldEqual, lab.Expected(l.Plan, "depots", "availability", "a van"))
			ticket, err := c.TakeTicket(ctx, "release-locker")
			convey.So(err, convey.ShouldBeNil)
			other := c.WithBase("https://" + l.Nodes[0].CallerAddress())
			_, err = other.Run(ctx, client.Request{Pipeline: "release-locker", Input: "x", Ticket: ticket.Ticket}, nil)
			convey.So(err, convey.ShouldBeNil)
			resp, err := h.Get("https://" + l.Nodes[0].CallerAddress() + "/v1/models")
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(resp.ProtoMajor, convey.ShouldEqual, 2)
		})
		convey.Convey("a stranger without a certificate does not get past the handshake with a peer", func() {
			stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities}}}
			req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+l.Nodes[0].PeerAddress()+"/peer/v1/bundle", nil)
			_, err := stranger.Do(req)
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
