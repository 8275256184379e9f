package relay

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// firstBufferBytes is the first size of a buffer, which is doubled as it grows.
	firstBufferBytes = 4 << 10
	// defaultMemory is the memory limit of the process in bytes, if none is set.
	defaultMemory = 128 << 20
	// buffersRefused counts the responses that could not be buffered as the budget was used up.
	buffersRefused = "crocusline_buffers_refused_total"
)

// WithMemory sets the memory limit of the process in bytes. The responses that are held until they
// are complete get a part of it.
func WithMemory(bytes int64) Option { return func(s *Service) { s.SetMemory(bytes) } }

// SetMemory changes the memory limit of the process.
func (s *Service) SetMemory(bytes int64) {
	s.bufferMu.Lock()
	defer s.bufferMu.Unlock()
	s.buffers.SetMemory(bytes)
}

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
	b.service.bufferMu.Lock()
	allowed := b.service.buffers.Resize(cap(b.data), capacity)
	b.service.bufferMu.Unlock()
	if !allowed {
		b.service.metrics.Counter(buffersRefused).Inc()
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
