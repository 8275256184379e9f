// Package wiretest counts compressed messages for tests.
package wiretest

import (
	"compress/gzip"
	"io"
	"sync/atomic"

	"connectrpc.com/connect"
)

// DecompressionCounter counts the compressed messages that a client got.
type DecompressionCounter struct {
	count atomic.Int64
}

// Count returns their number.
func (i *DecompressionCounter) Count() int64 {
	return i.count.Load()
}

// Option makes a client count.
func (i *DecompressionCounter) Option() connect.ClientOption {
	decompressor := func() connect.Decompressor { return &reader{decompressions: i} }
	compressor := func() connect.Compressor { return gzip.NewWriter(io.Discard) }
	return connect.WithAcceptCompression("gzip", decompressor, compressor)
}

// reader counts the messages it is set to read.
type reader struct {
	gzip.Reader
	decompressions *DecompressionCounter
}

// Reset implements connect.Decompressor. Connect returns a reader to its pool
// with the empty body http.NoBody, which is no message.
func (r *reader) Reset(src io.Reader) error {
	err := r.Reader.Reset(src)
	if err == nil {
		r.decompressions.count.Add(1)
	}
	return err
}
