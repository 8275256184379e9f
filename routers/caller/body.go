package caller

import (
	"compress/flate"
	"compress/gzip"
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	model "github.com/crocusline/crocusline/models/memory"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/intake"
	"github.com/crocusline/crocusline/services/memory"
)

const (
	// defaultBodyTimeout is how long a body may take to arrive.
	defaultBodyTimeout = 5 * time.Second
	// skipTimeout is how long the rest of the body of a refused call may take.
	skipTimeout = 100 * time.Millisecond
	// envelopeHeaderBytes is the size of what precedes a message in a stream: flags and the message's length.
	envelopeHeaderBytes = 5
	// compressedFlag marks a compressed message in a stream.
	compressedFlag = 1
	// decoderBytes is what the decoder of a gzip stream holds.
	decoderBytes = 64 << 10
)

// bodyReader reads the body of each call before its handler, within the memory of the process. Connect reads messages whole,
// whatever the number of calls, and holds a compressed one twice.
type bodyReader struct {
	*Handler
	next   http.Handler
	writer *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (b *bodyReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isGRPC(r) {
		// Callers use Connect, no other protocol of its library.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusUnsupportedMediaType)
		return
	}
	if err := b.admission.Authenticate(bearerToken(r.Header)); err != nil {
		b.refuseUnread(w, r, err)
		return
	}
	held := b.memory.NewReservation()
	defer held.Release()
	body, err := b.read(w, r, held)
	if err != nil {
		b.refuseUnread(w, r, refusalForBody(err))
		return
	}
	// It is held until the response is written, which Connect does after the handler of the call.
	response := b.memory.NewResponse()
	defer response.Release()
	// net/http goes by the request as it was.
	call := r.WithContext(memory.WithResponse(r.Context(), response))
	call.ContentLength = body.Len()
	call.Body = io.NopCloser(&body)
	b.next.ServeHTTP(w, call)
}

func isGRPC(r *http.Request) bool {
	return strings.HasPrefix(strings.ToLower(r.Header.Get("Content-Type")), "application/grpc")
}

func isStream(r *http.Request) bool {
	return strings.HasPrefix(strings.ToLower(r.Header.Get("Content-Type")), "application/connect+")
}

// refuseUnread refuses a call whose body was not read to its end, and closes its connection.
func (b *bodyReader) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	// Without this the server reads the rest of the body before it sends the response.
	w.Header().Set("Connection", "close")
	if err := b.writer.Write(w, r, b.refuse(newRequestID(), "", err)); err != nil {
		b.log.Debug("refusal not written", "error", err)
	}
	// After the response net/http skips a rest of the body that is not long. Connections of the server support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(skipTimeout))
}

// read reserves memory for the call and reads its body, without compression.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, held *memory.Reservation) (intake.Parts, error) {
	if !held.Grow(model.CallBytes) {
		return nil, intake.ErrNoMemory
	}
	options := []intake.Option{
		intake.WithMaxBytes(b.maxBytes), intake.WithTimeout(b.bodyTimeout), intake.WithCopies(model.CallCopies),
	}
	encoding := r.Header.Get("Content-Encoding")
	if isStream(r) {
		encoding = r.Header.Get("Connect-Content-Encoding")
	}
	switch encoding {
	case "", "identity":
	case "gzip":
		options = append(options, intake.WithDecoder(decoderBytes))
	default:
		// The handler refuses the encoding without the body.
		return nil, nil
	}
	body := intake.New(w, r, held, options...)
	if err := body.Reserve(); err != nil || r.ContentLength == 0 {
		return nil, err
	}
	sent, err := body.Open()
	if err != nil {
		return nil, err
	}
	m := &message{body: body, sent: io.LimitReader(sent, b.maxBytes+envelopeHeaderBytes+1), compressed: encoding == "gzip", maxBytes: b.maxBytes}
	var parts intake.Parts
	if isStream(r) {
		parts, err = m.readEnvelope()
	} else {
		parts, err = m.read(r.ContentLength)
		r.Header.Del("Content-Encoding")
	}
	if err != nil {
		return nil, err
	}
	return parts, body.End()
}

// message is the message of a call while it is read.
type message struct {
	body *intake.Body
	// sent is what the caller sends, not much more than the largest message.
	sent       io.Reader
	compressed bool
	maxBytes   int64
}

// read reads the message of a call without a stream, of the length if it isn't negative. It decodes the message.
func (m *message) read(length int64) (intake.Parts, error) {
	if m.compressed {
		return m.decode(m.sent)
	}
	return m.body.Collect(m.sent, length)
}

// readEnvelope reads the only message of a stream, after its header, and decodes it.
func (m *message) readEnvelope() (intake.Parts, error) {
	var header [envelopeHeaderBytes]byte
	if _, err := io.ReadFull(m.sent, header[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	size := int64(binary.BigEndian.Uint32(header[1:]))
	if size > m.maxBytes {
		return nil, errors.WithStack(&http.MaxBytesError{Limit: m.maxBytes})
	}
	var parts intake.Parts
	var err error
	if m.compressed && header[0] == compressedFlag {
		header[0] = 0
		parts, err = m.decode(io.LimitReader(m.sent, size))
	} else {
		parts, err = m.body.Collect(m.sent, size)
	}
	if err != nil {
		return nil, err
	}
	var next [1]byte
	if _, err := io.ReadFull(m.sent, next[:]); err == nil {
		return nil, &messageError{"the body goes on after its message"}
	} else if !errors.Is(err, io.EOF) {
		return nil, errors.WithStack(err)
	}
	binary.BigEndian.PutUint32(header[1:], uint32(parts.Len()))
	return append(intake.Parts{header[:]}, parts...), nil
}

// unknownLength is the length of a message that ends with its reader.
const unknownLength = -1

// decode decodes the message as it is read.
func (m *message) decode(sent io.Reader) (intake.Parts, error) {
	decoder, err := gzip.NewReader(sent)
	if err != nil {
		return nil, decodeError(err)
	}
	parts, err := m.body.Collect(decoder, unknownLength)
	return parts, decodeError(err)
}

// messageError is the error of a message that can't be decoded.
type messageError struct {
	problem string
}

// Error implements error.
func (e *messageError) Error() string { return e.problem }

// decodeError returns a messageError for an error of the decoder, and other errors as they are.
func decodeError(err error) error {
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) || errors.Is(err, gzip.ErrHeader) || errors.Is(err, gzip.ErrChecksum) {
		return &messageError{"the message is not what gzip makes, which the header names"}
	}
	return err
}

// lateRetryAfter is when a caller may retry whose body did not arrive.
const lateRetryAfter = time.Second

// refusalForBody returns the refusal of a call whose body could not be read. An earlier call of the same request may have
// been admitted, which only the body says, so that a caller that may come back isn't told that it has not run.
func refusalForBody(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	var invalid *messageError
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		unknown := *intake.ErrNoMemory
		unknown.Outcome = refusal.Unknown
		return &unknown
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, 0, err.Error())
	case errors.As(err, &invalid):
		return refusal.New(refusal.InvalidRequest, 0, invalid.problem)
	default:
		return &refusal.Error{
			Reason: refusal.DeadlineExpired, Outcome: refusal.Unknown, RetryAfter: lateRetryAfter, Advice: "the body did not arrive in time",
		}
	}
}
