package roster

import "time"

const (
	// DefaultHeartbeat is the time between two heartbeats of a server.
	DefaultHeartbeat = 1200 * time.Millisecond
	// expiryHeartbeats is the number of heartbeats without which the list removes a server.
	expiryHeartbeats = 3
	// registrationMargin covers heartbeats that the list executes late, and entries that it removes late.
	registrationMargin = 2 * time.Second
	// MaxReadInterval is the longest time between the beginnings of two reads after which the list counts
	// as available all the while. A longer one may hide an outage.
	MaxReadInterval = 2 * time.Second
)

// Option changes a Roster at construction.
type Option func(*Roster)

// WithHeartbeat sets the time between two heartbeats of a server.
func WithHeartbeat(d time.Duration) Option {
	return func(r *Roster) {
		if d > 0 {
			r.heartbeat = d
		}
	}
}

// RecordRead records that a read of the list that began at the time succeeded, after its changes were
// applied. Servers that were silent for long have left a list that has been available since then, so
// that it shows which ones still live. What a process reads late is as old as the beginning
// of the read.
func (r *Roster) RecordRead(beganAt time.Time) {
	if r.readsSince.IsZero() || beganAt.Sub(r.readAt) > MaxReadInterval {
		r.readsSince = beganAt
	}
	r.readAt = beganAt
	aliveAt := beganAt.Add(-expiryHeartbeats*r.heartbeat - registrationMargin)
	if !aliveAt.Before(r.readsSince) && aliveAt.After(r.aliveAt) {
		r.aliveAt = aliveAt
	}
}

// ResetReads records that earlier reads say nothing about what the list has from now on.
func (r *Roster) ResetReads() { r.readsSince = time.Time{} }

// RecordStart records that the server, asked at the given time, named its start. It reports whether that
// is the start of the server as it was chosen.
func (r *Roster) RecordStart(s Server, askedAt time.Time, started int64) bool {
	confirmed := started != 0 && started == s.Started
	if listed, exists := r.servers[s.ID]; confirmed && exists && listed.Started == started && askedAt.After(listed.confirmedAt) {
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
// version, which the list shows some time later, and not at all while the server can't write to it. A
// connection ends with its process, so that the listed start must have been alive after the
// connection was opened. The load that it answers are servers that start again during an outage of
// the list, or cut off from it.
func (r *Roster) Confirmed(s Server, openedAt time.Time) Evidence {
	listed, exists := r.servers[s.ID]
	if !exists || s.Started == 0 || listed.Started != s.Started {
		return NoEvidence
	}
	switch {
	case listed.confirmedAt.After(openedAt):
		return ReportEvidence
	case !listed.regressed && r.aliveAtOf(listed).After(openedAt):
		return ListEvidence
	}
	return NoEvidence
}

// aliveAtOf returns a time after which the server was alive, as the list shows.
func (r *Roster) aliveAtOf(s listedServer) time.Time {
	if s.expired {
		return s.aliveAt
	}
	return r.aliveAt
}
