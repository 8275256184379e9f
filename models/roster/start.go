package roster

import "time"

// registrationTime is how long after its start a server is listed at the latest.
const registrationTime = 2 * time.Second

// RecordStart records that the server, asked at the given time, named its start. It reports whether that
// is the start of the server as it was chosen.
func (r *Roster) RecordStart(s Server, askedAt time.Time, started int64) bool {
	confirmed := started != 0 && started == s.Started
	if listed, exists := r.servers[s.ID]; confirmed && exists && listed.Started == started {
		listed.confirmedAt = askedAt
		r.servers[s.ID] = listed
	}
	return confirmed
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Evidence -linecomment -output=evidence_string.go

// Evidence is what shows that the process behind a connection is the listed start of a server.
type Evidence int

// The kinds of evidence.
const (
	// NoEvidence means that the process may be another start of the server.
	NoEvidence Evidence = iota // none
	// ListEvidence is the list, read some time after the connection was opened.
	ListEvidence // list
	// ReportEvidence is what the server itself reported after the connection was opened.
	ReportEvidence // report
)

// Confirmed returns what shows that the process behind a connection that was opened at the given time
// is the listed start of the server. A server may start again under its id and address, as another
// version, which the list shows some time later. A connection ends with its process, so that the list,
// or the server itself, must have confirmed the start after the connection was opened. listedAt is when
// the list was last known to be the newest. The load that it answers are servers that start again while
// the list can't be read.
func (r *Roster) Confirmed(s Server, openedAt, listedAt time.Time) Evidence {
	listed, exists := r.servers[s.ID]
	if !exists || s.Started == 0 || listed.Started != s.Started {
		return NoEvidence
	}
	switch {
	case listedAt.Sub(openedAt) >= registrationTime:
		return ListEvidence
	case listed.confirmedAt.After(openedAt):
		return ReportEvidence
	}
	return NoEvidence
}
