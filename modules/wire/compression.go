// Package wire has what all messages on the wire share.
package wire

import "connectrpc.com/connect"

// CompressMinBytes is the size in bytes from which a handler compresses a message.
// One below it fits a packet, and resetting a compressor costs more than sending
// it.
const CompressMinBytes = 1024

// Compression makes a handler compress only messages of CompressFrom bytes or
// more.
func Compression() connect.HandlerOption {
	return connect.WithCompressMinBytes(CompressMinBytes)
}
