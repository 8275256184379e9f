package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Reloader provides a certificate from files. It reloads the files when the
// modification time of one of them changes, and keeps the last valid certificate if
// the files are invalid or do not match.
type Reloader struct {
	certFile string
	keyFile  string

	mu       sync.Mutex
	cert     *tls.Certificate
	modified time.Time
}

// NewReloader returns a reloader that has loaded the PEM files.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	modified, err := r.lastModified()
	if err != nil {
		return nil, err
	}
	return r, r.load(modified)
}

// ServerConfig returns the TLS configuration for a server.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current(), nil
		},
	}
}

func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if modified, err := r.lastModified(); err == nil && !modified.Equal(r.modified) {
		// After an error, the last valid certificate remains, and the next call
		// retries.
		_ = r.load(modified)
	}
	return r.cert
}

func (r *Reloader) load(modified time.Time) error {
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.WithMessagef(err, "certificate %s with key %s", r.certFile, r.keyFile)
	}
	r.cert, r.modified = &cert, modified
	return nil
}

// lastModified returns the latest modification time of the files.
func (r *Reloader) lastModified() (time.Time, error) {
	var latest time.Time
	for _, file := range []string{r.certFile, r.keyFile} {
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
