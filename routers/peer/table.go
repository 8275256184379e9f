package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

// StateSource provides the fleet's state.
type StateSource interface {
	State() *fleet.State
}

// TableHandler implements peer.v1.TableService, from which peers read the fleet's state
// while the log is unreachable.
type TableHandler struct {
	source StateSource
}

var _ peerv1connect.TableServiceHandler = (*TableHandler)(nil)

// NewTableHandler returns the path and the HTTP handler of the table service.
func NewTableHandler(source StateSource) (string, http.Handler) {
	return peerv1connect.NewTableServiceHandler(&TableHandler{source: source})
}

// Current implements peerv1connect.TableServiceHandler. The state is left out of the
// response if the peer already has it.
func (t *TableHandler) Current(_ context.Context, req *connect.Request[peerv1.CurrentRequest]) (*connect.Response[peerv1.CurrentResponse], error) {
	state := t.source.State()
	if state.Version() == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no tables here yet; ask another peer"))
	}
	resp := &peerv1.CurrentResponse{Version: state.Version()}
	if state.Next <= req.Msg.GetNext() {
		return connect.NewResponse(resp), nil
	}
	data, err := state.Snapshot()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	resp.State = data
	return connect.NewResponse(resp), nil
}
