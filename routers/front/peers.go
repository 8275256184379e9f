package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/services/catalog"
)

// snapshotPath is where an entry gives its tables to others.
const snapshotPath = "/peer/v1/snapshot"

const (
	// mostSnapshot bounds what a peer may send.
	mostSnapshot = 16 << 20
	peerIdle     = 10 * time.Second
)

// Snapshots is what peers ask for.
type Snapshots interface {
	Snapshot() catalog.Snapshot
}

// NewPeers returns the handler for other entries.
func NewPeers(log hclog.Logger, from Snapshots) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(from.Snapshot()); err != nil {
			log.Debug("peer left", "error", err)
		}
	})
	return mux
}

// PeerClient asks other entries.
type PeerClient struct {
	http  *http.Client
	peers []netip.AddrPort
}

// NewPeerClient returns a client of the entries at these addresses.
func NewPeerClient(peers []netip.AddrPort) *PeerClient {
	return &PeerClient{http: &http.Client{Transport: &http.Transport{IdleConnTimeout: peerIdle}}, peers: peers}
}

// Snapshot implements catalog.Peers.
func (c *PeerClient) Snapshot(ctx context.Context, turn int) (catalog.Snapshot, error) {
	var snapshot catalog.Snapshot
	if len(c.peers) == 0 {
		return snapshot, errors.New("no peer is known")
	}
	peer := c.peers[turn%len(c.peers)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+snapshotPath, http.NoBody)
	if err != nil {
		return snapshot, errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return snapshot, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return snapshot, errors.Errorf("peer %s answered with status %d", peer, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, mostSnapshot)).Decode(&snapshot)
	return snapshot, errors.Wrapf(err, "decode the tables of peer %s", peer)
}

// Close closes unused connections.
func (c *PeerClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
