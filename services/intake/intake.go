// Package intake reads the bodies of requests within the memory that the requests in progress of a process may hold. It
// is designed for callers that send many bodies of the largest size at once, stop short of their end and keep the
// connections open.
package intake

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/memory"
)

const (
	// firstPartBytes and maxPartBytes are the sizes of the first and the largest part of a body without
	// a length. Each part is twice as large as the one before.
	firstPartBytes = 8 << 10
	maxPartBytes   = 256 << 10
	// joinCopies is how often a body in parts is held when they are joined.
	joinCopies = 2
)

// MemoryRetryAfter is when a caller may retry that was refused for lack of memory. It reaches another process then, and at this
// one most requests in progress have ended.
const MemoryRetryAfter = 250 * time.Millisecond

// ErrNoMemory means that the requests in progress leave no memory for this one.
var ErrNoMemory = refusal.New(refusal.Overloaded, MemoryRetryAfter, "this entry has no memory for the request: another one has room")

// Body is the body of one request. It is used by one goroutine.
type Body struct {
	request  *http.Request
	length   int64
	held     *memory.Reservation
	control  *http.ResponseController
	pace     *intake.Pace
	timeout  time.Duration
	maxBytes int64
	copies   int64
	// decoderBytes is what the decoder of a compressed body holds, and reserved what is reserved of the body itself.
	decoderBytes int64
	reserved     int64
}

// Option configures a Body.
type Option func(*Body)

// WithMaxBytes sets the maximum size of the body, as it is sent and decoded.
func WithMaxBytes(n int64) Option { return func(b *Body) { b.maxBytes = n } }

// WithTimeout sets how long the body may take to arrive.
func WithTimeout(d time.Duration) Option { return func(b *Body) { b.timeout = d } }

// WithCopies sets how often the process holds the body at once, by default once.
func WithCopies(n int) Option { return func(b *Body) { b.copies = int64(n) } }

// WithDecoder sets that the body is decoded as it is read, so that it isn't held as it was sent, and how many bytes the decoder
// holds.
func WithDecoder(bytes int64) Option { return func(b *Body) { b.decoderBytes = bytes } }

// New returns the body of a request. held is the request's reservation, which grows with the body. The caller releases it
// after the last use of the body, also after an error.
func New(w http.ResponseWriter, r *http.Request, held *memory.Reservation, opts ...Option) *Body {
	b := &Body{request: r, length: r.ContentLength, held: held, control: http.NewResponseController(w), copies: 1}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Reserve reserves memory for a body of known length, or for its decoder, before any of it is read.
func (b *Body) Reserve() error {
	switch {
	case b.length > b.maxBytes:
		return b.tooLarge()
	case b.decoderBytes > 0:
		if !b.held.Grow(b.decoderBytes) {
			return ErrNoMemory
		}
		return nil
	default:
		return b.reserve(max(0, b.length), b.copies)
	}
}

func (b *Body) tooLarge() error { return errors.WithStack(&http.MaxBytesError{Limit: b.maxBytes}) }

// reserve reserves memory for the first bytes of the body, each a number of times.
func (b *Body) reserve(bytes, copies int64) error {
	more := bytes*copies - b.reserved
	if more <= 0 {
		return nil
	}
	if !b.held.Grow(more) {
		return ErrNoMemory
	}
	b.reserved += more
	return nil
}

// ReadAll reads the whole body, after Reserve.
func (b *Body) ReadAll() ([]byte, error) {
	if b.length == 0 {
		return nil, nil
	}
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	parts, err := b.Collect(r, b.length)
	if err != nil {
		return nil, err
	}
	return parts.Join(), b.End()
}

// Open begins to read the body, after Reserve. It returns a reader of the body as it was sent, which has to arrive in time.
func (b *Body) Open() (io.Reader, error) {
	b.pace = intake.NewPace(time.Now(), b.timeout)
	if err := b.setDeadline(); err != nil {
		return nil, err
	}
	return pacedReader{b}, b.recordRead(0)
}

// Collect reads a number of bytes from r, or to its end if length is negative. It reserves the memory for them.
func (b *Body) Collect(r io.Reader, length int64) (Parts, error) {
	if length < 0 {
		return b.collectParts(r)
	}
	if length > b.maxBytes {
		return nil, b.tooLarge()
	}
	if err := b.reserve(length, b.copies); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	if _, err := fill(r, whole); errors.Is(err, io.EOF) {
		return nil, errors.WithStack(io.ErrUnexpectedEOF)
	} else if err != nil {
		return nil, errors.WithStack(err)
	}
	return Parts{whole}, nil
}

// collectParts reads to the end of r in parts. Each is reserved before it is read, also for when the parts are joined.
func (b *Body) collectParts(r io.Reader) (Parts, error) {
	var parts Parts
	total, copies := int64(0), max(b.copies, joinCopies)
	for size := int64(firstPartBytes); ; size = min(2*size, maxPartBytes) {
		// The body may end with the part before, which is known without further memory.
		var next [1]byte
		if _, err := fill(r, next[:]); errors.Is(err, io.EOF) {
			return parts, nil
		} else if err != nil {
			return nil, errors.WithStack(err)
		}
		if total == b.maxBytes {
			return nil, b.tooLarge()
		}
		size = min(size, b.maxBytes-total)
		if err := b.reserve(total+size, copies); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		part[0] = next[0]
		n, err := fill(r, part[1:])
		parts, total = append(parts, part[:1+n]), total+int64(1+n)
		if errors.Is(err, io.EOF) {
			return parts, nil
		}
		if err != nil {
			return nil, errors.WithStack(err)
		}
	}
}

// End removes the deadline of a body that was read. It drops the fields after chunks, which nothing uses and which may take many
// times their bytes.
func (b *Body) End() error {
	b.request.Trailer = nil
	return errors.WithStack(b.control.SetReadDeadline(time.Time{}))
}

// recordRead records that a part of the body arrived.
func (b *Body) recordRead(size int) error {
	if !b.pace.Record(time.Now(), size, b.held.Large()) {
		return nil
	}
	return b.setDeadline()
}

// setDeadline sets the time until which the next part has to arrive.
func (b *Body) setDeadline() error {
	return errors.WithStack(b.control.SetReadDeadline(b.pace.Deadline()))
}

// pacedReader reads the body as it was sent, and extends its deadline.
type pacedReader struct{ b *Body }

// Read implements io.Reader.
func (r pacedReader) Read(p []byte) (int, error) {
	n, err := r.b.request.Body.Read(p)
	if err != nil {
		return n, err
	}
	return n, r.b.recordRead(n)
}

// fill reads until p is full, and returns io.EOF if r ends before. io.ReadFull returns the error of a body that breaks off
// for that.
func fill(r io.Reader, p []byte) (int, error) {
	filled := 0
	for filled < len(p) {
		n, err := r.Read(p[filled:])
		filled += n
		if err != nil && filled < len(p) {
			return filled, err
		}
	}
	return filled, nil
}
