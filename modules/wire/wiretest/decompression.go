// Package wiretest counts compressed messages for tests.
package wiretest

import (
	"compress/gzip"
	"io"
	"sync/atomic"

	"connectrpc.com/connect"
)

// DecompressionCounter counts the compressed messages that a client received.
type DecompressionCounter struct {
	count atomic.Int64
}

// Count returns the number of compressed messages received.
func (c *DecompressionCounter) Count() int64 {
	return c.count.Load()
}

// Option returns the client option that enables counting.
func (c *DecompressionCounter) Option() connect.ClientOption {
	decompressor := func() connect.Decompressor { return &reader{counter: c} }
	compressor := func() connect.Compressor { return gzip.NewWriter(io.Discard) }
	return connect.WithAcceptCompression("gzip", decompressor, compressor)
}

// reader is a decompressor that counts messages.
type reader struct {
	gzip.Reader
	counter *DecompressionCounter
}

// Reset implements connect.Decompressor. When Connect returns a reader to its pool, it
// resets it to http.NoBody, which returns an error and is not counted.
func (r *reader) Reset(src io.Reader) error {
	err := r.Reader.Reset(src)
	if err == nil {
		r.counter.count.Add(1)
	}
	return err
}
