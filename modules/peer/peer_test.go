package peer_test

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/certificate"
	"github.com/crocusline/crocusline/modules/peer"
)

// newAuthority returns an authority and a directory with the files of a certificate
// signed by it.
func newAuthority(t *testing.T) (*certificate.Authority, string) {
	t.Helper()
	a, err := certificate.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	issue(t, a, dir)
	return a, dir
}

func issue(t *testing.T, a *certificate.Authority, dir string) {
	t.Helper()
	pair, err := a.Issue(time.Now(), "test")
	if err != nil {
		t.Fatal(err)
	}
	if err := certificate.WriteFiles(dir, a, pair); err != nil {
		t.Fatal(err)
	}
}

func newIdentity(t *testing.T, dir string) *peer.Identity {
	t.Helper()
	id, err := peer.NewIdentity(peer.Files{
		Cert: filepath.Join(dir, "peer.pem"),
		Key:  filepath.Join(dir, "peer.key"),
		CA:   filepath.Join(dir, "ca.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func serve(t *testing.T, id *peer.Identity) *peer.Server {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server
}

// get makes one call over a new connection.
func get(t *testing.T, id *peer.Identity, server *peer.Server) (string, error) {
	t.Helper()
	client := peer.NewClient(id)
	defer func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, peer.URL(server.Address()), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.HTTP().Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestPeersWithSameAuthority(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	if body, err := get(t, id, serve(t, id)); err != nil || body != "hello" {
		t.Fatalf("got %q, %v", body, err)
	}
}

// TestCloseWaits checks that no handler runs any more once Close has returned, also without
// a drain timeout.
func TestCloseWaits(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	started := make(chan struct{})
	var ended atomic.Bool
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		time.Sleep(100 * time.Millisecond)
		ended.Store(true)
	})
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, handler)
	if err != nil {
		t.Fatal(err)
	}
	var caller sync.WaitGroup
	caller.Go(func() {
		if _, err := get(t, id, server); err == nil {
			t.Error("the aborted request was answered")
		}
	})
	<-started
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if !ended.Load() {
		t.Error("the handler still runs after Close")
	}
	caller.Wait()
}

func TestServerRefusesOtherAuthority(t *testing.T) {
	_, dir := newAuthority(t)
	_, other := newAuthority(t)
	server := serve(t, newIdentity(t, dir))

	// This client trusts the server but has a certificate of another authority.
	mixed := t.TempDir()
	copyFile(t, filepath.Join(dir, "ca.pem"), filepath.Join(mixed, "ca.pem"))
	copyFile(t, filepath.Join(other, "peer.pem"), filepath.Join(mixed, "peer.pem"))
	copyFile(t, filepath.Join(other, "peer.key"), filepath.Join(mixed, "peer.key"))
	if body, err := get(t, newIdentity(t, mixed), server); err == nil {
		t.Fatalf("a client with a certificate of another authority got %q", body)
	}
}

func TestClientRefusesOtherAuthority(t *testing.T) {
	_, dir := newAuthority(t)
	_, other := newAuthority(t)
	// This server trusts the client but has a certificate of another authority.
	mixed := t.TempDir()
	copyFile(t, filepath.Join(dir, "ca.pem"), filepath.Join(mixed, "ca.pem"))
	copyFile(t, filepath.Join(other, "peer.pem"), filepath.Join(mixed, "peer.pem"))
	copyFile(t, filepath.Join(other, "peer.key"), filepath.Join(mixed, "peer.key"))
	if body, err := get(t, newIdentity(t, dir), serve(t, newIdentity(t, mixed))); err == nil {
		t.Fatalf("a server with a certificate of another authority returned %q", body)
	}
}

func TestReloadWithoutRestart(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	server := serve(t, id)

	a, _ := newAuthority(t)
	issue(t, a, dir)
	// File systems with coarse timestamps may give both versions the same
	// modification time.
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "ca.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	if body, err := get(t, newIdentity(t, dir), server); err != nil || body != "hello" {
		t.Fatalf("got %q, %v after a reload", body, err)
	}
	if id.Reloads() != 1 {
		t.Fatalf("%d reloads, want 1", id.Reloads())
	}
}

func TestReloadKeepsLastValidCertificate(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	server := serve(t, id)
	if err := os.WriteFile(filepath.Join(dir, "peer.pem"), []byte("incomplete"), 0o600); err != nil {
		t.Fatal(err)
	}
	if body, err := get(t, id, server); err != nil || body != "hello" {
		t.Fatalf("got %q, %v", body, err)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
