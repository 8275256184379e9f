// Package lineage records at which software version each stream began. What two versions write
// doesn't fit together, so a stream continues only at servers of the version that began it: within a
// response, and over the requests of a caller that resumes it, at any gateway. The load that it
// answers are streams that break off while several versions are in service, or while all gateways are
// killed at once.
package lineage

import (
	"crypto/sha256"
)

// Origin is where a stream began: the pool, and the version of the software of the server that sent the
// first event.
type Origin struct {
	Pool    string
	Version string
}

// Known reports whether the version is known. A stream of unknown origin can't be continued.
func (o Origin) Known() bool { return o.Version != "" }

// Answer is what a gateway says about a stream to another one.
type Answer struct {
	// Origin is unknown if the gateway doesn't know it.
	Origin Origin
	// Participant is whether its process began the stream, or has or knows attempts at it. A gateway that has only read
	// of the stream is none.
	Participant bool
}

// ID identifies a stream.
type ID [16]byte

// NewID returns the id of the stream whose first event a request of the workspace brought. Requests of
// other workspaces may have the same id.
func NewID(workspace, requestID string) ID {
	h := sha256.New()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(requestID))
	return ID(h.Sum(nil)[:len(ID{})])
}

// Entry is the origin of one stream.
type Entry struct {
	ID     ID
	Origin Origin
}

// Index holds origins by stream. Entries are immutable facts, so that it doesn't matter how old they
// are. Two entries that contradict each other make the origin unknown.
type Index struct {
	origins map[ID]Origin
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{origins: map[ID]Origin{}} }

// Add adds an entry.
func (x *Index) Add(e Entry) {
	if known, exists := x.origins[e.ID]; exists && known != e.Origin {
		e.Origin = Origin{}
	}
	x.origins[e.ID] = e.Origin
}

// Find returns the origin of the stream, which may be unknown, and whether there is an entry.
func (x *Index) Find(id ID) (Origin, bool) {
	o, exists := x.origins[id]
	return o, exists
}

// Len returns the number of streams.
func (x *Index) Len() int { return len(x.origins) }
