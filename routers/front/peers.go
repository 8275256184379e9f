package front

import (
	"bytes"
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

const (
	// snapshotPath is where an entry gives its tables to others, and tokensPath
	// where it lends them tokens.
	snapshotPath = "/peer/v1/snapshot"
	tokensPath   = "/peer/v1/tokens"
)

const (
	// mostLoan bounds a request for tokens and its answer.
	mostLoan = 4 << 10
	// mostSnapshot bounds what a peer may send.
	mostSnapshot = 16 << 20
	peerIdle     = 10 * time.Second
)

// SnapshotSource is what peers ask for.
type SnapshotSource interface {
	Snapshot() catalog.Snapshot
}

// Lender lends tokens of a workspace to other entries.
type Lender interface {
	Lend(workspace string, tokens int64) int64
}

// loan is a request for tokens, and its answer.
type loan struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// NewPeerHandler returns the handler for other entries.
func NewPeerHandler(log hclog.Logger, from SnapshotSource, lender Lender) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(from.Snapshot()); err != nil {
			log.Debug("peer left", "error", err)
		}
	})
	mux.HandleFunc("POST "+tokensPath, func(w http.ResponseWriter, r *http.Request) {
		var l loan
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostLoan)).Decode(&l); err != nil {
			log.Warn("loan request not readable", "from", r.RemoteAddr, "error", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Tokens = lender.Lend(l.Workspace, l.Tokens)
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(l); err != nil {
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
	err := c.do(ctx, http.MethodGet, c.peers[turn%len(c.peers)], snapshotPath, nil, mostSnapshot, &snapshot)
	return snapshot, err
}

// Borrow implements prepaid.Peers. A request that is sent twice costs tokens, but
// spends none that are not paid for.
func (c *PeerClient) Borrow(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) (int64, error) {
	body, err := json.Marshal(loan{Workspace: workspace, Tokens: tokens})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var answer loan
	err = c.do(ctx, http.MethodPost, peer, tokensPath, body, mostLoan, &answer)
	return answer.Tokens, err
}

// do sends a request to a peer and decodes its answer.
func (c *PeerClient) do(
	ctx context.Context, method string, peer netip.AddrPort, path string, body []byte, most int64, answer any,
) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("peer %s answered with status %d", peer, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, most)).Decode(answer)
	return errors.Wrapf(err, "decode the answer of peer %s", peer)
}

// Close closes unused connections.
func (c *PeerClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
