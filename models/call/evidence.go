package call

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Evidence -linecomment -output=evidence_string.go

// Evidence is what shows that a send has not run and never will.
type Evidence int

// The kinds of evidence.
const (
	// NotBegun means that the send was not begun, as the request had ended before.
	NotBegun Evidence = iota // notBegun
	// NotConnected means that no connection to the server was established.
	NotConnected // notConnected
	// NothingWritten means that the connection accepted no byte of the request.
	NothingWritten // nothingWritten
	// ServerStatement means that the server states it in its response to this request.
	ServerStatement // serverStatement
	// ServerMisdirected means that the server states that the request is meant for another one.
	ServerMisdirected // serverMisdirected
)

// Unsent reports whether nothing of the request reached a server.
func (e Evidence) Unsent() bool { return e == NotBegun || e == NotConnected || e == NothingWritten }
