package front

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/modules/transfer"
)

// connectTimeout bounds the time for a connection to a gateway that may still work on a stream. The system of a
// machine that is up accepts it without the process.
const connectTimeout = 250 * time.Millisecond

// Attempts are the attempts at streams of this gateway.
type Attempts interface {
	// Supersede ends the attempts at the stream, which the successor resumes. It returns once no server works for these
	// attempts.
	Supersede(ctx context.Context, id lineage.ID, successor netip.AddrPort) (takeover.Answer, error)
	// Holds reports whether this gateway has attempts at the stream, or knows another one that resumed it.
	Holds(id lineage.ID) bool
}

// supersedeRequest is the body of a request to end the attempts at a stream, with the gateway that resumes it.
type supersedeRequest struct {
	Successor netip.AddrPort `json:"successor"`
}

// supersedeResponse is the body of the response, with the gateways that resumed the stream before.
type supersedeResponse struct {
	Successors []netip.AddrPort `json:"successors,omitempty"`
	Recorded   bool             `json:"recorded,omitempty"`
}

// supersede handles a request to end the attempts at a stream.
func supersede(log hclog.Logger, w http.ResponseWriter, r *http.Request, attempts Attempts) {
	id, ok := decodeStreamID(w, r)
	if !ok {
		return
	}
	var s supersedeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmallBytes)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := attempts.Supersede(r.Context(), id, s.Successor)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(log, w, supersedeResponse(answer))
}

// decodeStreamID returns the id of the stream in the path. If that fails it writes the error response.
func decodeStreamID(w http.ResponseWriter, r *http.Request) (lineage.ID, bool) {
	id, err := hex.DecodeString(r.PathValue("id"))
	if err != nil || len(id) != len(lineage.ID{}) {
		http.Error(w, "the id of a stream has "+strconv.Itoa(len(lineage.ID{}))+" bytes in hexadecimal", http.StatusBadRequest)
		return lineage.ID{}, false
	}
	return lineage.ID(id), true
}

func writeJSON(log hclog.Logger, w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		log.Debug("peer disconnected", "error", err)
	}
}

// Supersede implements takeover.Peers.
func (c *PeerClient) Supersede(ctx context.Context, peer netip.AddrPort, id lineage.ID, successor netip.AddrPort) (takeover.Answer, error) {
	body, err := json.Marshal(supersedeRequest{Successor: successor})
	if err != nil {
		return takeover.Answer{}, errors.WithStack(err)
	}
	ctx, guard := transfer.Watch(ctx, transfer.Limits{Begin: connectTimeout})
	defer guard.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { guard.Release() }})
	var result supersedeResponse
	err = c.do(traced, http.MethodPost, peer, supersedePath+hex.EncodeToString(id[:]), body, &result)
	if err != nil {
		return takeover.Answer{}, guard.Cause(err)
	}
	return takeover.Answer(result), nil
}
