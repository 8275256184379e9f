package web_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/certificate"
	"github.com/crocusline/crocusline/modules/web"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// writeCertificate writes a certificate signed by a new authority and returns a pool
// with the authority's certificate.
func writeCertificate(t *testing.T, dir string) *x509.CertPool {
	t.Helper()
	authority, err := certificate.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue(time.Now(), "entry", loopback)
	if err != nil {
		t.Fatal(err)
	}
	if err := certificate.WriteFiles(dir, authority, pair); err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority.PEM())
	return roots
}

func getOverTLS(t *testing.T, address netip.AddrPort, roots *x509.CertPool) error {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("https://" + address.String())
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	first := writeCertificate(t, dir)
	reloader, err := certificate.NewReloader(filepath.Join(dir, "peer.pem"), filepath.Join(dir, "peer.key"))
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server, err := web.NewServer(netip.AddrPortFrom(loopback, 0), handler, web.WithTLS(reloader.ServerConfig()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if err := getOverTLS(t, server.Address(), first); err != nil {
		t.Fatal(err)
	}

	second := writeCertificate(t, dir)
	// File systems with coarse timestamps may give both versions the same
	// modification time.
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "peer.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	if err := getOverTLS(t, server.Address(), second); err != nil {
		t.Fatal(err)
	}
	if err := getOverTLS(t, server.Address(), first); err == nil {
		t.Fatal("the server still uses the old certificate")
	}

	if err := os.WriteFile(filepath.Join(dir, "peer.pem"), []byte("incomplete"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := getOverTLS(t, server.Address(), second); err != nil {
		t.Fatalf("after an incomplete write of the file: %v", err)
	}
}
