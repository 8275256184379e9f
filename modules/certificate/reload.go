package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Reloader serves a certificate from files, which it reads again when one of
// them changes. While they don't fit together it keeps the last good state.
type Reloader struct {
	certFile string
	keyFile  string

	mu       sync.Mutex
	cert     *tls.Certificate
	modified time.Time
}

// NewReloader reads the PEM files.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	modified, err := r.lastChange()
	if err != nil {
		return nil, err
	}
	return r, r.load(modified)
}

// ServerConfig returns the TLS configuration of a listener.
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
	if modified, err := r.lastChange(); err == nil && !modified.Equal(r.modified) {
		// An error leaves the last good certificate, and the next call tries again.
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

// lastChange returns the newest modification time of the files.
func (r *Reloader) lastChange() (time.Time, error) {
	var newest time.Time
	for _, file := range []string{r.certFile, r.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return newest, errors.WithStack(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
