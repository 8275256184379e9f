package call

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Evidence -linecomment -output=evidence_string.go

// Evidence is what shows that a send has not run and never will.
type Evidence int

// The kinds of evidence.
const (
	// NotConnected means that no connection to the server was established.
	NotConnected Evidence = iota // notConnected
	// NothingWritten means that the connection accepted no byte of the request.
	NothingWritten // nothingWritten
	// ServerStatement means that the server states it in its response to this request.
	ServerStatement // serverStatement
	// ServerMisdirected means that the server states that the request is meant for another one.
	ServerMisdirected // serverMisdirected
)

// Unsent reports whether nothing of the request reached a server.
func (e Evidence) Unsent() bool { return e == NotConnected || e == NothingWritten }
