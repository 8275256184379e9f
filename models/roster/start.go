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

// Confirmed reports whether the process behind a connection that was opened at the given time is known
// to be the listed start of the server. A server may start again under its id and address, as another
// version, which the list shows some time later. A connection ends with its process, so that the list,
// or the server itself, must have confirmed the start after the connection was opened. listedAt is when
// the list was last known to be the newest. The load that it answers are servers that start again while
// the list can't be read.
func (r *Roster) Confirmed(s Server, openedAt, listedAt time.Time) bool {
	listed, exists := r.servers[s.ID]
	if !exists || s.Started == 0 || listed.Started != s.Started {
		return false
	}
	return listedAt.Sub(openedAt) >= registrationTime || listed.confirmedAt.After(openedAt)
}
