package crowd

import "io"

// Records and messages of TLS, as in RFC 8446.
const (
	handshakeRecord = 22
	clientHello     = 1
	maxRecordBytes  = 16 << 10
)

// WriteHandshakePart sends the beginning of a TLS handshake: a first message of the size, all but its last byte.
func WriteHandshakePart(w io.Writer, size int) error {
	message := append([]byte{clientHello, byte(size >> 16), byte(size >> 8), byte(size)}, make([]byte, size)...)
	var sent []byte
	for len(message) > 0 {
		part := message[:min(len(message), maxRecordBytes)]
		message = message[len(part):]
		sent = append(sent, handshakeRecord, 3, 1, byte(len(part)>>8), byte(len(part)))
		sent = append(sent, part...)
	}
	_, err := w.Write(sent[:len(sent)-1])
	return err
}
