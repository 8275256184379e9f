// Package wire contains the wire protocols and the options shared by their handlers.
package wire

import "connectrpc.com/connect"

// CompressMinBytes is the minimum size of the messages that handlers compress. A
// smaller message fits into one packet, and resetting a compressor would cost more
// than sending it uncompressed.
const CompressMinBytes = 1024

// Compression returns the option by which handlers compress only messages of at
// least CompressMinBytes.
func Compression() connect.HandlerOption {
	return connect.WithCompressMinBytes(CompressMinBytes)
}
