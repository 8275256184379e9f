package call

import "bytes"

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
