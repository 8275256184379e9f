// Package certificate creates a certificate authority and certificates for
// demonstrations and tests, and reloads the certificate of a server. Deployments use
// certificates of their own authority.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// PeerName is a DNS name in the certificate of every peer. Peers verify this name,
// because their addresses change.
const PeerName = "peer.crocusline"

// File modes of WriteFiles, and the size of serial numbers.
const (
	keyMode    = 0o600
	certMode   = 0o644
	serialBits = 120
)

// Authority is a certificate authority.
type Authority struct {
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	validity time.Duration
}

// Pair is a certificate and its private key in PEM format.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns an authority whose certificates are valid for the duration
// validity from their time of issue.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	template, err := newTemplate("crocusline authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Authority{cert: cert, key: key, validity: validity}, nil
}

// PEM returns the authority's certificate in PEM format.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// Issue returns a certificate for a peer. It is also valid for the IP addresses.
func (a *Authority) Issue(now time.Time, name string, addresses ...netip.Addr) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	template, err := newTemplate(name, now, a.validity)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{PeerName}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// WriteFiles writes ca.pem, peer.pem and peer.key into the directory. It creates the
// directory if needed.
func WriteFiles(dir string, a *Authority, pair Pair) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), a.PEM(), certMode); err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "peer.pem"), pair.Cert, certMode); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(filepath.Join(dir, "peer.key"), pair.Key, keyMode))
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		// The clocks of peers may be behind.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(validity),
	}, nil
}
