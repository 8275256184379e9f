package server

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the maximum size of a server-sent event's data.
const MaxEventBytes = 1 << 20

// EventReader reads the data of server-sent events from a stream.
type EventReader struct {
	lines *bufio.Scanner
	data  []byte
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxEventBytes)
	return &EventReader{lines: lines}
}

// Next returns the data of the next event with a data field. The slice is valid
// until the next call. If the stream ends within an event, the event is discarded
// and the error is io.ErrUnexpectedEOF.
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
		value, ok := dataField(line)
		if !ok {
			continue
		}
		if len(r.data)+len(value) > MaxEventBytes {
			return nil, errors.Errorf("server-sent event larger than %d bytes", MaxEventBytes)
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		hasData = true
	}
	if err := r.lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read server-sent event")
	}
	if hasData {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, io.EOF
}

// dataField returns the value of a line that is a data field.
func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
