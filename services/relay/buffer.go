package relay

import (
	"io"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/services/memory"
)

const (
	// firstBufferBytes is the first size of a buffer, which is doubled as it grows.
	firstBufferBytes = 4 << 10
)

// WithMemory sets the budget of the memory for all requests in progress. The responses that are held
// until they are complete get a part of it.
func WithMemory(m *memory.Service) Option { return func(s *Service) { s.memory = m } }

// responseBuffer holds a part of a response that was not passed on yet. Its capacity is taken from
// the budget of the process.
type responseBuffer struct {
	service *Service
	data    []byte
}

// newBuffer returns a buffer that is released at the end of the request at the latest.
func (j *job) newBuffer() *responseBuffer {
	b := &responseBuffer{service: j.service}
	j.buffers = append(j.buffers, b)
	return b
}

// releaseBuffers releases the buffers of all responses to the request.
func (j *job) releaseBuffers() {
	for _, b := range j.buffers {
		b.release()
	}
}

// resize changes the capacity, and reports whether the budget allows it.
func (b *responseBuffer) resize(capacity int) bool {
	if !b.service.memory.ResizeResponse(cap(b.data), capacity) {
		return false
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.data = data
	return true
}

// release drops the data and returns the capacity to the budget.
func (b *responseBuffer) release() {
	b.data = b.data[:0]
	b.resize(0)
}

// grow makes room for at least n more bytes, and reports whether limit and budget allow it.
func (b *responseBuffer) grow(n, limit int) bool {
	needed := len(b.data) + n
	if needed <= cap(b.data) {
		return true
	}
	if needed > limit {
		return false
	}
	capacity := max(firstBufferBytes, cap(b.data))
	for capacity < needed {
		capacity *= 2
	}
	return b.resize(min(capacity, limit))
}

// readBody reads a body until it is complete, or can't be buffered further.
func (j *job) readBody(body io.Reader) (data []byte, complete bool, err error) {
	b := j.newBuffer()
	for b.grow(1, maxBufferedBytes) {
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return b.data, true, nil
		}
		if err != nil {
			b.release()
			return nil, false, err
		}
	}
	return b.data, false, nil
}
