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

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/services/catalog"
)

const (
	// snapshotPath is where other gateways read the catalog's snapshot, and tokensPath
	// where they borrow tokens, and returnPath where they return them.
	snapshotPath = "/peer/v1/snapshot"
	tokensPath   = "/peer/v1/tokens"
	returnPath   = "/peer/v1/tokens/return"
)

const (
	// maxLoanBytes limits the body of a request for tokens and of its response.
	maxLoanBytes = 4 << 10
	// maxSnapshotBytes limits the body of a peer's snapshot.
	maxSnapshotBytes = 16 << 20
	peerIdleTimeout  = 10 * time.Second
)

// SnapshotSource provides the snapshot that peers request.
type SnapshotSource interface {
	Snapshot() catalog.Snapshot
}

// Lender lends prepaid tokens of a workspace to other gateways.
type Lender interface {
	// Lend lends at most the requested tokens.
	Lend(ctx context.Context, l prepaid.Loan) prepaid.Lent
	// TakeBack adds tokens of the workspace that a borrower returned.
	TakeBack(workspace string, tokens int64)
}

// loan is the body of a request for tokens and of a return.
type loan struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
	Demand    int64  `json:"demand,omitempty"`
	WaitMs    int64  `json:"waitMs,omitempty"`
}

// lent is the body of the response to a request for tokens.
type lent struct {
	Tokens  int64 `json:"tokens"`
	Free    int64 `json:"free"`
	Granted int64 `json:"granted"`
}

// NewPeerHandler returns the handler for requests of other gateways.
func NewPeerHandler(log hclog.Logger, snapshots SnapshotSource, lender Lender) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(snapshots.Snapshot()); err != nil {
			log.Debug("peer disconnected", "error", err)
		}
	})
	mux.HandleFunc("POST "+tokensPath, func(w http.ResponseWriter, r *http.Request) {
		l, ok := decodeLoan(log, w, r)
		if !ok {
			return
		}
		result := lender.Lend(r.Context(), prepaid.Loan{
			Workspace: l.Workspace, Tokens: l.Tokens, Demand: l.Demand, Wait: time.Duration(l.WaitMs) * time.Millisecond,
		})
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(lent(result)); err != nil {
			log.Debug("peer disconnected", "error", err)
		}
	})
	mux.HandleFunc("POST "+returnPath, func(w http.ResponseWriter, r *http.Request) {
		if l, ok := decodeLoan(log, w, r); ok {
			lender.TakeBack(l.Workspace, l.Tokens)
			_, _ = w.Write([]byte("{}"))
		}
	})
	return mux
}

// decodeLoan decodes the body of a request. If that fails it writes the error response.
func decodeLoan(log hclog.Logger, w http.ResponseWriter, r *http.Request) (loan, bool) {
	var l loan
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLoanBytes)).Decode(&l); err != nil {
		log.Warn("cannot decode loan request", "from", r.RemoteAddr, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return loan{}, false
	}
	return l, true
}

// PeerClient sends requests to other gateways.
type PeerClient struct {
	http  *http.Client
	peers []netip.AddrPort
}

// PeerOption configures a PeerClient.
type PeerOption func(*PeerClient)

// WithTransport sets the transport of the requests.
func WithTransport(t http.RoundTripper) PeerOption {
	return func(c *PeerClient) { c.http.Transport = t }
}

// NewPeerClient returns a client of the gateways at these addresses.
func NewPeerClient(peers []netip.AddrPort, opts ...PeerOption) *PeerClient {
	c := &PeerClient{http: &http.Client{Transport: &http.Transport{IdleConnTimeout: peerIdleTimeout}}, peers: peers}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Snapshot implements catalog.Peers.
func (c *PeerClient) Snapshot(ctx context.Context, attempt int) (catalog.Snapshot, error) {
	var snapshot catalog.Snapshot
	if len(c.peers) == 0 {
		return snapshot, errors.New("no peers are configured")
	}
	err := c.do(ctx, http.MethodGet, c.peers[attempt%len(c.peers)], snapshotPath, nil, maxSnapshotBytes, &snapshot)
	return snapshot, err
}

// Borrow implements prepaid.Peers. If a request is executed twice, the tokens of one of
// the two loans are lost, but no tokens are spent that were not paid for.
func (c *PeerClient) Borrow(ctx context.Context, peer netip.AddrPort, l prepaid.Loan) (prepaid.Lent, error) {
	body, err := json.Marshal(loan{Workspace: l.Workspace, Tokens: l.Tokens, Demand: l.Demand, WaitMs: l.Wait.Milliseconds()})
	if err != nil {
		return prepaid.Lent{}, errors.WithStack(err)
	}
	var result lent
	err = c.do(ctx, http.MethodPost, peer, tokensPath, body, maxLoanBytes, &result)
	return prepaid.Lent(result), err
}

// Return implements prepaid.Peers. net/http doesn't repeat a POST that may have been
// sent.
func (c *PeerClient) Return(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) error {
	body, err := json.Marshal(loan{Workspace: workspace, Tokens: tokens})
	if err != nil {
		return errors.WithStack(err)
	}
	var empty struct{}
	return c.do(ctx, http.MethodPost, peer, returnPath, body, maxLoanBytes, &empty)
}

// do sends a request to a peer and decodes the JSON body of the response into result.
func (c *PeerClient) do(
	ctx context.Context, method string, peer netip.AddrPort, path string, body []byte, maxBytes int64, result any,
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
		return errors.Errorf("peer %s responded with status %d", peer, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(result)
	return errors.Wrapf(err, "decode the response of peer %s", peer)
}

// Close closes idle connections.
func (c *PeerClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
