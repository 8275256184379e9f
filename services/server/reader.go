package server

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the largest server-sent event that a Reader takes.
const MaxEventBytes = 1 << 20

// EventReader reads the data of server-sent events.
type EventReader struct {
	lines *bufio.Scanner
	data  []byte
}

// NewEventReader returns a reader of the events of a stream.
func NewEventReader(r io.Reader) *EventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxEventBytes)
	return &EventReader{lines: lines}
}

// Next returns the data of the next event that has any. It is valid until the
// next call. An event cut off by the end of the stream is not returned: the
// error is then io.ErrUnexpectedEOF.
func (r *EventReader) Next() ([]byte, error) {
	r.data = r.data[:0]
	hasData := false
	for r.lines.Scan() {
		line := bytes.TrimSuffix(r.lines.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if hasData {
				return r.data, nil
			}
			continue
		}
		value, ok := dataOf(line)
		if !ok {
			continue
		}
		if len(r.data)+len(value) > MaxEventBytes {
			return nil, errors.Errorf("event over %d bytes", MaxEventBytes)
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		hasData = true
	}
	if err := r.lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read event")
	}
	if hasData {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, io.EOF
}

// dataOf returns the value of a data field.
func dataOf(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
