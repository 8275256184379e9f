package dispatch

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"

	"github.com/crocusline/crocusline/services/memory"
)

const (
	// envelopeHeaderBytes is the size of what precedes a message in a stream: flags and the message's length.
	envelopeHeaderBytes = 5
	// smallMessageBytes is the largest message that isn't reserved. Each response may hold one.
	smallMessageBytes = 4 << 10
	// messageCopies is how often a message is held at once: in a buffer that may be twice as large, and decoded, or encoded
	// for the caller.
	messageCopies = 3
)

// LimitResponses returns a client whose calls reserve each large message of a stream before it is read, in the response of the
// call's context (memory.WithResponse). Callers that read slowly hold such messages until they have read them.
func LimitResponses(c *http.Client) *http.Client {
	limited := *c
	limited.Transport = &limitedTransport{next: c.Transport}
	return &limited
}

type limitedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	response := memory.ResponseOf(req.Context())
	if response != nil && strings.HasPrefix(resp.Header.Get("Content-Type"), "application/connect+") {
		resp.Body = &limitedBody{ReadCloser: resp.Body, response: response}
	}
	return resp, nil
}

// limitedBody is the body of a stream. What the last message has reserved is released with the response.
type limitedBody struct {
	io.ReadCloser
	response *memory.Response
	// header is the start of a message, read of it its first bytes, and left what follows of the message.
	header [envelopeHeaderBytes]byte
	read   int
	left   int64
	held   int
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if reserveErr := b.record(p[:n]); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}

// record follows the messages in what was read, and reserves each large one.
func (b *limitedBody) record(p []byte) error {
	for len(p) > 0 {
		if b.left > 0 {
			n := min(b.left, int64(len(p)))
			p, b.left = p[n:], b.left-n
			continue
		}
		n := copy(b.header[b.read:], p)
		p, b.read = p[n:], b.read+n
		if b.read < envelopeHeaderBytes {
			return nil
		}
		b.read, b.left = 0, int64(binary.BigEndian.Uint32(b.header[1:]))
		if err := b.reserve(); err != nil {
			return err
		}
	}
	return nil
}

// reserve reserves the message that begins, and releases the one before.
func (b *limitedBody) reserve() error {
	b.response.Shrink(b.held)
	b.held = 0
	if b.left <= smallMessageBytes {
		return nil
	}
	need := int(b.left) * messageCopies
	if !b.response.Grow(need) {
		return &memory.ResponseError{Bytes: need}
	}
	b.held = need
	return nil
}
