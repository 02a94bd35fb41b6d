package peer

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// protocol is the ALPN protocol name of the TLS handshake. An incompatible
// version must use another name.
const protocol = "quetzalhook-peer/1"

// identity holds the certificates of one host. All hosts derive the same
// certificate authority key from the shared secret, so anyone who knows the
// secret can act as a host.
type identity struct {
	authority *x509.Certificate
	own       tls.Certificate
}

// The validity period of the certificates is fixed, because it must not depend on
// the clocks of hosts.
var (
	notBefore = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

func newIdentity(host quetzalhook.HostID, secret []byte) (identity, error) {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("quetzalhook peer authority"))
	key := ed25519.NewKeyFromSeed(h.Sum(nil))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "quetzalhook peers"},
		NotBefore: notBefore, NotAfter: notAfter,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return identity{}, errors.Wrap(err, "create authority certificate")
	}
	authority, err := x509.ParseCertificate(der)
	if err != nil {
		return identity{}, errors.Wrap(err, "create authority certificate")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return identity{}, errors.Wrap(err, "generate key")
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: string(host)},
		NotBefore: notBefore, NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
	}
	der, err = x509.CreateCertificate(rand.Reader, leaf, authority, public, key)
	if err != nil {
		return identity{}, errors.Wrap(err, "create certificate")
	}
	return identity{authority: authority, own: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}}, nil
}

// config returns the TLS configuration. If want is not empty, it accepts only a
// certificate of that host. Host IDs are not DNS names, so VerifyConnection
// checks the certificates instead of crypto/tls.
func (id identity) config(want quetzalhook.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.own},
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the certificate instead
		VerifyConnection: func(state tls.ConnectionState) error {
			host, err := id.verify(state)
			if err == nil && want != "" && host != want {
				err = errors.Errorf("the address belongs to host %s, not %s", host, want)
			}
			return err
		},
		// Without session tickets every connection verifies the certificate again;
		// a resumed session would skip the check of a new certificate.
		SessionTicketsDisabled: true,
	}
}

// ClientTLS returns the TLS configuration for connections to a host besides those of
// calls, and ServerTLS that for connections that other hosts open.
func (s *Service) ClientTLS(host quetzalhook.HostID) *tls.Config {
	return s.identity.plainConfig(host)
}

// ServerTLS is described at ClientTLS.
func (s *Service) ServerTLS() *tls.Config { return s.identity.plainConfig("") }

// plainConfig returns the TLS configuration without the protocol of calls.
func (id identity) plainConfig(want quetzalhook.HostID) *tls.Config {
	c := id.config(want)
	c.NextProtos = nil
	return c
}

// verify checks the certificate of the other side and returns the host that it
// names.
func (id identity) verify(state tls.ConnectionState) (quetzalhook.HostID, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("no peer certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(id.authority)
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: roots, CurrentTime: notBefore.AddDate(1, 0, 0), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return quetzalhook.HostID(leaf.Subject.CommonName), errors.Wrap(err, "certificate")
}
