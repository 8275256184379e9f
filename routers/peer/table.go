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

// StateHolder knows the fleet's state.
type StateHolder interface {
	State() *fleet.State
}

// Tables gives peers the fleet's state while the log is away.
type Tables struct {
	holder StateHolder
}

var _ peerv1connect.TableServiceHandler = (*Tables)(nil)

// NewTables returns the path and the handler of the table service.
func NewTables(holder StateHolder) (string, http.Handler) {
	return peerv1connect.NewTableServiceHandler(&Tables{holder: holder})
}

// Current implements peerv1connect.TableServiceHandler.
func (t *Tables) Current(_ context.Context, req *connect.Request[peerv1.CurrentRequest]) (*connect.Response[peerv1.CurrentResponse], error) {
	state := t.holder.State()
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
