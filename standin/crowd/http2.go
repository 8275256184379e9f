package crowd

import (
	"encoding/binary"
	"io"
	"slices"
)

// Frames of HTTP/2, as in RFC 9113.
const (
	http2Preface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	dataFrame     = 0x0
	headersFrame  = 0x1
	settingsFrame = 0x4
	endHeaders    = 0x4
	// maxIntegerPrefix is the largest integer that HPACK encodes in a prefix of 7 bits.
	maxIntegerPrefix = 127
)

// Field is a header field of an HTTP/2 request, with the pseudo-fields.
type Field struct{ Name, Value string }

// WriteHTTP2 opens an HTTP/2 connection without TLS and sends a number of requests with the fields of each. A body
// that isn't nil follows each header, all but its end.
func WriteHTTP2(w io.Writer, requests int, fields func(request int) []Field, body []byte) error {
	opening := appendFrame([]byte(http2Preface), settingsFrame, 0, 0, nil)
	if _, err := w.Write(opening); err != nil {
		return err
	}
	for i := range requests {
		// Callers use odd numbers.
		stream := uint32(2*i + 1)
		frames := appendFrame(nil, headersFrame, endHeaders, stream, encodeFields(fields(i)))
		if body != nil {
			frames = appendFrame(frames, dataFrame, 0, stream, body)
		}
		if _, err := w.Write(frames); err != nil {
			return err
		}
	}
	return nil
}

func appendFrame(to []byte, kind, flags byte, stream uint32, payload []byte) []byte {
	length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	to = append(to, length[1:]...)
	to = append(to, kind, flags)
	to = binary.BigEndian.AppendUint32(to, stream)
	return append(to, payload...)
}

// encodeFields encodes the fields as literals that HPACK doesn't index.
func encodeFields(fields []Field) []byte {
	var block []byte
	for _, f := range fields {
		block = append(block, 0)
		block = appendText(block, f.Name)
		block = appendText(block, f.Value)
	}
	return block
}

// appendText appends a text that is not Huffman-coded.
func appendText(to []byte, text string) []byte {
	n := len(text)
	if n < maxIntegerPrefix {
		return append(append(to, byte(n)), text...)
	}
	to = append(to, maxIntegerPrefix)
	for n -= maxIntegerPrefix; n >= 0x80; n >>= 7 {
		to = append(to, byte(n)|0x80)
	}
	return append(append(to, byte(n)), text...)
}

// Post returns the fields of a POST request and further ones.
func Post(host, path string, further ...Field) []Field {
	return slices.Concat([]Field{{":method", "POST"}, {":scheme", "http"}, {":authority", host}, {":path", path}}, further)
}

// WriteHTTP2Part opens an HTTP/2 connection without TLS and sends all but the last byte of a data frame of the size.
func WriteHTTP2Part(w io.Writer, size int) error {
	frame := appendFrame(appendFrame([]byte(http2Preface), settingsFrame, 0, 0, nil), dataFrame, 0, 1, make([]byte, size))
	_, err := w.Write(frame[:len(frame)-1])
	return err
}
