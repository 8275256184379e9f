package front

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/modules/transfer"
	"github.com/crocusline/crocusline/services/catalog"
)

const (
	// snapshotPath is where other gateways read the catalog's snapshot, and tokensPath
	// where they borrow tokens, and returnPath where they return them.
	snapshotPath = "/peer/v1/snapshot"
	tokensPath   = "/peer/v1/tokens"
	returnPath   = "/peer/v1/tokens/return"
	// originPath is where they ask for the origin of the stream whose id follows.
	originPath = "/peer/v1/origins/"
	// supersedePath is where they say that a caller has resumed the stream whose id follows.
	supersedePath = "/peer/v1/superseded/"
)

const (
	// maxSmallBytes limits the bodies of requests and of responses other than snapshots.
	maxSmallBytes = 4 << 10
	// maxSnapshotBytes limits the body of a peer's snapshot.
	maxSnapshotBytes = 16 << 20
	peerIdleTimeout  = 10 * time.Second
)

// snapshotLimits bounds the transfer of a peer's snapshot, whose tables may be large.
var snapshotLimits = transfer.Limits{
	Begin: 500 * time.Millisecond, Stall: 500 * time.Millisecond, Grace: 2 * time.Second, MinRate: 32_000,
}

// SnapshotSource provides the snapshot that peers request.
type SnapshotSource interface {
	Snapshot(known catalog.Known) catalog.Snapshot
}

// Lender lends prepaid tokens of a workspace to other gateways.
type Lender interface {
	// Lend lends at most the requested tokens.
	Lend(ctx context.Context, l prepaid.Loan) prepaid.Lent
	// TakeBack adds tokens of the workspace that a borrower returned.
	TakeBack(workspace string, tokens int64)
}

// OriginSource knows the origins of streams.
type OriginSource interface {
	// Known returns the origin of the stream, or an unknown one.
	Known(id lineage.ID) lineage.Origin
	// Recorded reports whether this process recorded the stream.
	Recorded(id lineage.ID) bool
}

// originResponse is the body of the response to a request for the origin of a stream. Pool and version are empty if that
// is unknown. Gateways of older releases don't say whether they take part in the stream.
type originResponse struct {
	Pool        string `json:"pool,omitempty"`
	Version     string `json:"version,omitempty"`
	Participant *bool  `json:"participant,omitempty"`
}

// answer returns the content of the response. A gateway that may take part in the stream counts as one that does.
func (r originResponse) answer() lineage.Answer {
	o := lineage.Origin{Pool: r.Pool, Version: r.Version}
	if r.Participant == nil {
		return lineage.Answer{Origin: o, Participant: o.Known()}
	}
	return lineage.Answer{Origin: o, Participant: *r.Participant}
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
func NewPeerHandler(log hclog.Logger, snapshots SnapshotSource, lender Lender, origins OriginSource, attempts Attempts) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(snapshots.Snapshot(decodeKnown(r.URL.Query()))); err != nil {
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
	mux.HandleFunc("GET "+originPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		if id, ok := decodeStreamID(w, r); ok {
			o, participant := origins.Known(id), origins.Recorded(id) || attempts.Holds(id)
			writeJSON(log, w, originResponse{Pool: o.Pool, Version: o.Version, Participant: &participant})
		}
	})
	mux.HandleFunc("POST "+supersedePath+"{id}", func(w http.ResponseWriter, r *http.Request) { supersede(log, w, r, attempts) })
	return mux
}

// Query parameters of a request for a snapshot: what the caller has already. Numbers that are
// missing or can't be read mean that it has nothing.
const (
	paramTablesVersion = "tablesVersion"
	paramNextOffset    = "nextOffset"
	paramEra           = "era"
)

func encodeKnown(k catalog.Known) url.Values {
	return url.Values{
		paramTablesVersion: {strconv.FormatInt(k.TablesVersion, 10)},
		paramNextOffset:    {strconv.FormatInt(k.Servers.Next, 10)},
		paramEra:           {strconv.FormatInt(k.Servers.Era, 10)},
	}
}

func decodeKnown(query url.Values) catalog.Known {
	known := catalog.Known{TablesVersion: catalog.NoVersion}
	if n, err := strconv.ParseInt(query.Get(paramTablesVersion), 10, 64); err == nil {
		known.TablesVersion = n
	}
	if n, err := strconv.ParseInt(query.Get(paramNextOffset), 10, 64); err == nil {
		known.Servers.Next = n
	}
	if n, err := strconv.ParseInt(query.Get(paramEra), 10, 64); err == nil {
		known.Servers.Era = n
	}
	return known
}

// decodeLoan decodes the body of a request. If that fails it writes the error response.
func decodeLoan(log hclog.Logger, w http.ResponseWriter, r *http.Request) (loan, bool) {
	var l loan
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmallBytes)).Decode(&l); err != nil {
		log.Warn("cannot decode loan request", "from", r.RemoteAddr, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return loan{}, false
	}
	// The body's deadline would cancel the request while it waits for tokens.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
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

// WithPeerMeter sets what counts the bytes of the connections. It has no effect on another
// transport.
func WithPeerMeter(m *netmeter.Meter) PeerOption {
	return func(c *PeerClient) {
		if t, ok := c.http.Transport.(*http.Transport); ok {
			t.DialContext = m.Dialer(new(net.Dialer).DialContext)
		}
	}
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
func (c *PeerClient) Snapshot(ctx context.Context, attempt int, known catalog.Known) (catalog.Snapshot, error) {
	var snapshot catalog.Snapshot
	if len(c.peers) == 0 {
		return snapshot, errors.New("no peers are configured")
	}
	ctx, guard := transfer.Watch(ctx, snapshotLimits)
	defer guard.Stop()
	peer := c.peers[attempt%len(c.peers)]
	resp, err := c.send(ctx, http.MethodGet, peer, snapshotPath+"?"+encodeKnown(known).Encode(), nil)
	if err != nil {
		return snapshot, guard.Cause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := decodeResponse(peer, guard.Body(resp.Body), maxSnapshotBytes, &snapshot); err != nil {
		return catalog.Snapshot{}, guard.Cause(err)
	}
	return snapshot, nil
}

// Borrow implements prepaid.Peers. If a request is executed twice, the tokens of one of
// the two loans are lost, but no tokens are spent that were not paid for.
func (c *PeerClient) Borrow(ctx context.Context, peer netip.AddrPort, l prepaid.Loan) (prepaid.Lent, error) {
	body, err := json.Marshal(loan{Workspace: l.Workspace, Tokens: l.Tokens, Demand: l.Demand, WaitMs: l.Wait.Milliseconds()})
	if err != nil {
		return prepaid.Lent{}, errors.WithStack(err)
	}
	var result lent
	err = c.do(ctx, http.MethodPost, peer, tokensPath, body, &result)
	return prepaid.Lent(result), err
}

// Origin implements lineage.Peers.
func (c *PeerClient) Origin(ctx context.Context, peer netip.AddrPort, id lineage.ID) (lineage.Answer, error) {
	var result originResponse
	err := c.do(ctx, http.MethodGet, peer, originPath+hex.EncodeToString(id[:]), nil, &result)
	return result.answer(), err
}

// Return implements prepaid.Peers. net/http doesn't repeat a POST that may have been
// sent.
func (c *PeerClient) Return(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) error {
	body, err := json.Marshal(loan{Workspace: workspace, Tokens: tokens})
	if err != nil {
		return errors.WithStack(err)
	}
	var empty struct{}
	return c.do(ctx, http.MethodPost, peer, returnPath, body, &empty)
}

// do sends a request to a peer and decodes the JSON body of the response into result.
func (c *PeerClient) do(
	ctx context.Context, method string, peer netip.AddrPort, path string, body []byte, result any,
) error {
	resp, err := c.send(ctx, method, peer, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(peer, resp.Body, maxSmallBytes, result)
}

// send sends a request to a peer. The caller closes the body of the response, whose status is
// 200.
func (c *PeerClient) send(ctx context.Context, method string, peer netip.AddrPort, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("peer %s responded with status %d", peer, resp.StatusCode)
	}
	return resp, nil
}

// decodeResponse decodes the JSON body of a peer's response into result.
func decodeResponse(peer netip.AddrPort, body io.Reader, maxBytes int64, result any) error {
	err := json.NewDecoder(io.LimitReader(body, maxBytes)).Decode(result)
	return errors.Wrapf(err, "decode the response of peer %s", peer)
}

// Close closes idle connections.
func (c *PeerClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
