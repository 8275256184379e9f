package call

import (
	"bytes"
	"slices"
	"strings"
)

// HasField reports whether the bytes of an event stream have a line that is neither empty nor a comment.
// Without one they are no event.
func HasField(data []byte) bool {
	for line := range bytes.Lines(data) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventFields are the fields of the event stream format.
var eventFields = []string{"id", "event", "data", "retry"}

// WellFormed reports whether all lines of an event are fields of the event stream format, comments, or fields that
// servers add. Other lines belong to no event. The load that it answers are servers that write the head of
// another response into a stream.
func WellFormed(event []byte, added func(field string) bool) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, _ := strings.Cut(string(line), ":")
		if !slices.Contains(eventFields, name) && !added(name) {
			return false
		}
	}
	return true
}

// EndsBetweenEvents reports whether a stream that ended in order, with the rest after its last event,
// has no incomplete event. Without framing, an unfinished line shows that the server stopped
// within it. The load that it answers are servers that end streams with further empty lines or
// comments.
func EndsBetweenEvents(framed bool, rest []byte) bool {
	if HasField(rest) {
		return false
	}
	return framed || len(rest) == 0 || rest[len(rest)-1] == '\n'
}
