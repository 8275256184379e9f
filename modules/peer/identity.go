// Package peer connects the processes of the fleet over HTTP/3 with mutual TLS
// authentication.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/certificate"
)

// Files are the paths of the PEM files of an Identity.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Identity is the certificate of this process and the certificate authority that
// it trusts. It reloads the files when the modification time of one of them
// changes, and keeps the last valid certificates if the files are invalid or do
// not match.
type Identity struct {
	files Files

	mu       sync.Mutex
	cert     *tls.Certificate
	roots    *x509.CertPool
	modified time.Time
	reloads  int
}

// NewIdentity returns an identity loaded from the files.
func NewIdentity(files Files) (*Identity, error) {
	id := &Identity{files: files}
	modified, err := id.lastModified()
	if err != nil {
		return nil, err
	}
	return id, id.load(modified)
}

// Reloads returns the number of times that changed files were loaded.
func (id *Identity) Reloads() int {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.reloads
}

// ServerConfig returns the TLS configuration for a server that peers call.
func (id *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := id.current()
			return cert, nil
		},
		// verify checks the chain against the current authority. ClientCAs could
		// not be reloaded.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			return id.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// ClientConfig returns the TLS configuration for a client that calls peers.
func (id *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: certificate.PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := id.current()
			return cert, nil
		},
		// verify checks the chain instead: RootCAs could not be reloaded.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return id.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (id *Identity) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	_, roots := id.current()
	opts := x509.VerifyOptions{
		Roots:         roots,
		DNSName:       certificate.PeerName,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return errors.WithMessage(err, "peer certificate")
}

// current returns the certificates in the files. If the files cannot be loaded,
// it returns those loaded last.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	modified, err := id.lastModified()
	id.mu.Lock()
	defer id.mu.Unlock()
	if err == nil && !modified.Equal(id.modified) {
		if id.loadLocked(modified) == nil {
			id.reloads++
		}
	}
	return id.cert, id.roots
}

func (id *Identity) load(modified time.Time) error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.loadLocked(modified)
}

func (id *Identity) loadLocked(modified time.Time) error {
	cert, err := tls.LoadX509KeyPair(id.files.Cert, id.files.Key)
	if err != nil {
		return errors.WithMessagef(err, "certificate %s with key %s", id.files.Cert, id.files.Key)
	}
	authority, err := os.ReadFile(id.files.CA)
	if err != nil {
		return errors.WithStack(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errors.Errorf("no certificate in %s", id.files.CA)
	}
	id.cert, id.roots, id.modified = &cert, roots, modified
	return nil
}

// lastModified returns the latest modification time of the files.
func (id *Identity) lastModified() (time.Time, error) {
	var latest time.Time
	for _, file := range []string{id.files.Cert, id.files.Key, id.files.CA} {
		info, err := os.Stat(file)
		if err != nil {
			return latest, errors.WithStack(err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
