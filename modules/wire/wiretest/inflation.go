// Package wiretest counts compressed messages for tests.
package wiretest

import (
	"compress/gzip"
	"io"
	"sync/atomic"

	"connectrpc.com/connect"
)

// Inflations counts the compressed messages that a client got.
type Inflations struct {
	count atomic.Int64
}

// Count returns their number.
func (i *Inflations) Count() int64 {
	return i.count.Load()
}

// Option makes a client count.
func (i *Inflations) Option() connect.ClientOption {
	decompressor := func() connect.Decompressor { return &reader{inflations: i} }
	compressor := func() connect.Compressor { return gzip.NewWriter(io.Discard) }
	return connect.WithAcceptCompression("gzip", decompressor, compressor)
}

// reader counts the messages it is set to read.
type reader struct {
	gzip.Reader
	inflations *Inflations
}

// Reset implements connect.Decompressor. Connect returns a reader to its pool
// with the empty body http.NoBody, which is no message.
func (r *reader) Reset(src io.Reader) error {
	err := r.Reader.Reset(src)
	if err == nil {
		r.inflations.count.Add(1)
	}
	return err
}
