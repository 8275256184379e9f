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

// heldState is a state that does not change by itself.
type heldState struct {
	state atomic.Pointer[fleet.State]
}

func newHeldState() *heldState {
	h := &heldState{}
	h.state.Store(fleet.New())
	return h
}

func (h *heldState) State() *fleet.State { return h.state.Load() }

// identity returns certificates of an authority of their own.
func identity(t *testing.T) *peer.Identity {
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

// Tables travel over the peer protocol as control.NewPeerClient requests them.
func TestTablesOverThePeerProtocol(t *testing.T) {
	id := identity(t)
	held := newHeldState()
	mux := http.NewServeMux()
	mux.Handle(NewTableHandler(held))
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, mux)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := peer.NewClient(id)
	defer func() { _ = client.Close() }()
	source := control.NewPeerClient(client.HTTP())

	if state, err := source.Current(t.Context(), server.Address(), 0); err == nil {
		t.Fatalf("a peer without tables gave %+v", state)
	}
	delta := table.Delta{Workspaces: map[string]table.Workspace{"clinics": {Weight: 3}}}
	next, _ := held.State().Apply(4, time.Unix(0, 0), fleet.Publish{ID: "p", Delta: delta})
	held.state.Store(next)
	state, err := source.Current(t.Context(), server.Address(), 0)
	if err != nil || state == nil || state.Next != 5 || state.Tables.Workspaces["clinics"].Weight != 3 {
		t.Fatalf("got %+v, %v", state, err)
	}
	if state, err := source.Current(t.Context(), server.Address(), 5); err != nil || state != nil {
		t.Fatalf("a caller that holds all got %+v, %v", state, err)
	}

	stranger := peer.NewClient(identity(t))
	defer func() { _ = stranger.Close() }()
	if state, err := control.NewPeerClient(stranger.HTTP()).Current(t.Context(), server.Address(), 0); err == nil {
		t.Fatalf("a stranger got %+v", state)
	}
}
