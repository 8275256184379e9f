package peer_test

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/certificate"
	"github.com/crocusline/crocusline/modules/peer"
)

// authority returns a new authority and the files of a certificate by it.
func authority(t *testing.T) (*certificate.Authority, string) {
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

func identity(t *testing.T, dir string) *peer.Identity {
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

// get makes one call over a connection of its own.
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

func TestPeersOfOneAuthority(t *testing.T) {
	_, dir := authority(t)
	id := identity(t, dir)
	if body, err := get(t, id, serve(t, id)); err != nil || body != "hello" {
		t.Fatalf("got %q, %v", body, err)
	}
}

func TestServerRefusesOtherAuthority(t *testing.T) {
	_, dir := authority(t)
	_, other := authority(t)
	server := serve(t, identity(t, dir))

	// This client trusts the server but shows a foreign certificate.
	mixed := t.TempDir()
	copyFile(t, filepath.Join(dir, "ca.pem"), filepath.Join(mixed, "ca.pem"))
	copyFile(t, filepath.Join(other, "peer.pem"), filepath.Join(mixed, "peer.pem"))
	copyFile(t, filepath.Join(other, "peer.key"), filepath.Join(mixed, "peer.key"))
	if body, err := get(t, identity(t, mixed), server); err == nil {
		t.Fatalf("a foreign client got %q", body)
	}
}

func TestClientRefusesOtherAuthority(t *testing.T) {
	_, dir := authority(t)
	_, other := authority(t)
	// This server trusts the client but shows a foreign certificate.
	mixed := t.TempDir()
	copyFile(t, filepath.Join(dir, "ca.pem"), filepath.Join(mixed, "ca.pem"))
	copyFile(t, filepath.Join(other, "peer.pem"), filepath.Join(mixed, "peer.pem"))
	copyFile(t, filepath.Join(other, "peer.key"), filepath.Join(mixed, "peer.key"))
	if body, err := get(t, identity(t, dir), serve(t, identity(t, mixed))); err == nil {
		t.Fatalf("a foreign server answered %q", body)
	}
}

func TestReloadWithoutRestart(t *testing.T) {
	_, dir := authority(t)
	id := identity(t, dir)
	server := serve(t, id)

	a, _ := authority(t)
	issue(t, a, dir)
	// File systems with coarse times may give both versions the same one.
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "ca.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	if body, err := get(t, identity(t, dir), server); err != nil || body != "hello" {
		t.Fatalf("after a reload got %q, %v", body, err)
	}
	if id.Reloads() != 1 {
		t.Fatalf("reloads %d, want 1", id.Reloads())
	}
}

func TestReloadKeepsLastGoodFiles(t *testing.T) {
	_, dir := authority(t)
	id := identity(t, dir)
	server := serve(t, id)
	if err := os.WriteFile(filepath.Join(dir, "peer.pem"), []byte("half written"), 0o600); err != nil {
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
