package peer

import (
	"net/http"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/certificate"
	"github.com/crocusline/crocusline/modules/peer"
	"github.com/crocusline/crocusline/services/control"
)

// fakeStateSource returns the state that a test stores in it.
type fakeStateSource struct {
	state atomic.Pointer[fleet.State]
}

func newFakeStateSource() *fakeStateSource {
	s := &fakeStateSource{}
	s.state.Store(fleet.New())
	return s
}

func (s *fakeStateSource) State() *fleet.State { return s.state.Load() }

// newIdentity returns a peer identity issued by a new certificate authority.
func newIdentity(t *testing.T) *peer.Identity {
	t.Helper()
	authority, err := certificate.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue(time.Now(), "test")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := certificate.WriteFiles(dir, authority, pair); err != nil {
		t.Fatal(err)
	}
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

// TestTablesOverThePeerProtocol reads the state with the client that the control service
// uses.
func TestTablesOverThePeerProtocol(t *testing.T) {
	id := newIdentity(t)
	source := newFakeStateSource()
	mux := http.NewServeMux()
	mux.Handle(NewTableHandler(source))
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, mux)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := peer.NewClient(id)
	defer func() { _ = client.Close() }()
	stateClient := control.NewPeerClient(client.HTTP())

	if state, err := stateClient.Current(t.Context(), server.Address(), 0); err == nil {
		t.Fatalf("a peer without tables returned %+v", state)
	}
	delta := table.Delta{Workspaces: map[string]table.Workspace{"clinics": {Weight: 3}}}
	next, _ := source.State().Apply(4, time.Unix(0, 0), fleet.Publish{ID: "p", Delta: delta})
	source.state.Store(next)
	state, err := stateClient.Current(t.Context(), server.Address(), 0)
	if err != nil || state == nil || state.Next != 5 || state.Tables.Workspaces["clinics"].Weight != 3 {
		t.Fatalf("got %+v, %v", state, err)
	}
	if state, err := stateClient.Current(t.Context(), server.Address(), 5); err != nil || state != nil {
		t.Fatalf("a client with the newest state got %+v, %v", state, err)
	}

	untrusted := peer.NewClient(newIdentity(t))
	defer func() { _ = untrusted.Close() }()
	if state, err := control.NewPeerClient(untrusted.HTTP()).Current(t.Context(), server.Address(), 0); err == nil {
		t.Fatalf("a client with a certificate of another authority got %+v", state)
	}
}
