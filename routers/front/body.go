package front

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/memory"
)

const (
	// firstPartBytes and maxPartBytes are the sizes of the first and the largest part of a body without
	// a length. Each part is twice as large as the one before.
	firstPartBytes = 8 << 10
	maxPartBytes   = 256 << 10
	// memoryRetryAfter is when a caller may retry that was refused for lack of memory. It reaches another
	// gateway then, and at this one most requests in progress have ended.
	memoryRetryAfter = 250 * time.Millisecond
)

// errNoMemory means that the requests in progress leave no memory for this one.
var errNoMemory = refusal.New(refusal.Overloaded, memoryRetryAfter, "this entry has no memory for the request: another one has room")

// bodyReader reads the body of one request.
type bodyReader struct {
	body     io.Reader
	held     *memory.Reservation
	control  *http.ResponseController
	pace     *intake.Pace
	maxBytes int64
}

// maxBodyBytes returns the limit of a request body.
func (h *Handler) maxBodyBytes() int64 {
	if t := h.tables.Table(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// reserve reserves memory for a request and its body of this length, -1 if unknown.
func reserve(held *memory.Reservation, length, limit int64) error {
	switch {
	case !held.Begin():
		return errNoMemory
	case length > limit:
		return errors.WithStack(&http.MaxBytesError{Limit: limit})
	case !held.Grow(max(0, length)):
		return errNoMemory
	}
	return nil
}

// readBody reads the whole request body. held is its reservation, which grows with a body of unknown length. The caller
// releases it after the last use of the body, also after an error.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, held *memory.Reservation, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	b := &bodyReader{
		body: r.Body, held: held, control: http.NewResponseController(w), pace: intake.NewPace(time.Now(), bodyTimeout), maxBytes: limit,
	}
	if err := b.setDeadline(); err != nil {
		return nil, err
	}
	read := b.readLength
	if r.ContentLength < 0 {
		read = b.readParts
	}
	body, err := read(r.ContentLength)
	if err != nil {
		return nil, err
	}
	return body, errors.WithStack(b.control.SetReadDeadline(time.Time{}))
}

// readLength reads a body of known length, which is reserved.
func (b *bodyReader) readLength(length int64) ([]byte, error) {
	if err := b.recordRead(0); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := b.fill(body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body[:n], errors.WithStack(err)
}

// readParts reads a body of unknown length in parts, and joins them. Each part is reserved twice, so
// that there is memory to join them.
func (b *bodyReader) readParts(int64) ([]byte, error) {
	var parts [][]byte
	total := int64(0)
	for size := int64(firstPartBytes); ; size = min(2*size, maxPartBytes) {
		// The body may end with the part before, which is known without further memory.
		var next [1]byte
		if _, err := b.fill(next[:]); errors.Is(err, io.EOF) {
			return join(parts, total), nil
		} else if err != nil {
			return nil, err
		}
		if total == b.maxBytes {
			return nil, errors.WithStack(&http.MaxBytesError{Limit: b.maxBytes})
		}
		size = min(size, b.maxBytes-total)
		if !b.held.Grow(2 * size) {
			return nil, errNoMemory
		}
		part := make([]byte, size)
		part[0] = next[0]
		n, err := b.fill(part[1:])
		parts, total = append(parts, part[:1+n]), total+int64(1+n)
		if errors.Is(err, io.EOF) {
			return join(parts, total), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the parts in one slice of the total length.
func join(parts [][]byte, total int64) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	body := make([]byte, 0, total)
	for _, part := range parts {
		body = append(body, part...)
	}
	return body
}

// fill reads until p is full, and returns io.EOF if the body ends before.
func (b *bodyReader) fill(p []byte) (int, error) {
	filled := 0
	for filled < len(p) {
		n, err := b.body.Read(p[filled:])
		filled += n
		if err != nil && filled < len(p) {
			return filled, err
		}
		if err := b.recordRead(n); err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// recordRead records that a part of the body arrived.
func (b *bodyReader) recordRead(size int) error {
	if !b.pace.Record(time.Now(), size, b.held.Large()) {
		return nil
	}
	return b.setDeadline()
}

// setDeadline sets the time until which the next part has to arrive.
func (b *bodyReader) setDeadline() error {
	return errors.WithStack(b.control.SetReadDeadline(b.pace.Deadline()))
}

// refuseBody refuses a request whose body was not read, and closes its connection.
func (h *Handler) refuseBody(w http.ResponseWriter, req *call.Request, r *http.Request, err error) {
	if errors.Is(err, errNoMemory) {
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
	case errors.Is(err, errNoMemory):
		return errNoMemory
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, 0, err.Error())
	default:
		return refusal.New(refusal.DeadlineExpired, 0, "the body did not arrive in time")
	}
}
