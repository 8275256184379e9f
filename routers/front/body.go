package front

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/intake"
	"github.com/crocusline/crocusline/services/memory"
)

// maxBodyBytes returns the limit of a request body.
func (h *Handler) maxBodyBytes() int64 {
	if t := h.tables.Table(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// reserve reserves memory for a request and its body.
func reserve(held *memory.Reservation, body *intake.Body) error {
	if !held.Begin() {
		return intake.ErrNoMemory
	}
	return body.Reserve()
}

// refuseBody refuses a request whose body was not read, and closes its connection.
func (h *Handler) refuseBody(w http.ResponseWriter, req *call.Request, r *http.Request, err error) {
	if errors.Is(err, intake.ErrNoMemory) {
		h.log.Info("request refused for lack of memory", "requestId", req.ID, "bytes", r.ContentLength, "held", h.memory.Held())
	} else {
		h.log.Info("request body not read", "requestId", req.ID, "error", err)
	}
	// Without this the server reads the rest of the body before it sends the response.
	w.Header().Set("Connection", "close")
	h.refuse(w, req, refusalForBody(err))
}

// refusalForBody returns the refusal of a request whose body could not be read.
func refusalForBody(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		return intake.ErrNoMemory
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, 0, err.Error())
	default:
		return refusal.New(refusal.DeadlineExpired, 0, "the body did not arrive in time")
	}
}
