package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteLength sends the head of an HTTP/1.1 request and its body with a length, in pieces with a pause after each. Without
// complete, the last byte is missing.
func WriteLength(w io.Writer, head string, body []byte, complete bool, piece int, pause time.Duration) error {
	if _, err := fmt.Fprintf(w, "%s\r\nContent-Length: %d\r\n\r\n", head, len(body)); err != nil {
		return err
	}
	if !complete {
		body = body[:len(body)-1]
	}
	for len(body) > 0 {
		n, err := w.Write(body[:min(len(body), piece)])
		if err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(pause)
	}
	return nil
}

// writtenBytes is how much of a body in chunks is written at once.
const writtenBytes = 64 << 10

// WriteChunks sends the head of an HTTP/1.1 request and its body in chunks of the size. Without complete, the end of the
// last one is missing.
func WriteChunks(w io.Writer, head string, body []byte, complete bool, size int) error {
	if _, err := io.WriteString(w, head+"\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	var block bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		body = body[len(chunk):]
		fmt.Fprintf(&block, "%x\r\n%s\r\n", len(chunk), chunk)
		if len(body) > 0 && block.Len() >= writtenBytes {
			if _, err := w.Write(block.Next(block.Len())); err != nil {
				return err
			}
		}
	}
	if complete {
		block.WriteString("0\r\n\r\n")
	} else {
		const missing = len("x\r\n")
		block.Truncate(block.Len() - missing)
	}
	_, err := block.WriteTo(w)
	return err
}

// LongField returns a header field whose value has the size.
func LongField(bytes int) string { return "X-Long: " + strings.Repeat("x", bytes) }

// ShortFields returns header fields without a value, of the size together. They take many times as much
// memory as a single field of that size.
func ShortFields(bytes int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < bytes; i++ {
		fmt.Fprintf(&fields, "%03x:\r\n", i)
	}
	return strings.TrimSuffix(fields.String(), "\r\n")
}
