package prepaid

import (
	"slices"
	"time"
)

const (
	// maxWitnessWait is how long a process that can read the store waits for a witness. Other
	// gateways renew their limits after limitMaxAge, and two reports of one are read.
	maxWitnessWait = 1500 * time.Millisecond
	// maxReadGap is the time between two reads up to which reports of others would have been read
	// meanwhile. It is longer than the store holds a read. After a longer one, which may be a
	// silence of the store, only slowRead counts, so that the wait ends where each read is slow.
	maxReadGap = 800 * time.Millisecond
	slowRead   = 200 * time.Millisecond
	// maxPeerClocks is the number of other gateways that a report names, of which one may end
	// with its writer.
	maxPeerClocks = 2
)

// PeerClock is the clock of another gateway by its last report, as a process knew it when it wrote
// a report of its own.
type PeerClock struct {
	Instance string       `cbor:"1,keyasint"`
	Clock    ClockReading `cbor:"2,keyasint"`
}

// sameBoot reports whether the later reading is from the same boot of the machine.
func (c ClockReading) sameBoot(later ClockReading) bool {
	wall := time.Duration(later.Wall-c.Wall) * time.Millisecond
	up := later.uptimeSince(c)
	return later.BootID == c.BootID && up >= 0 && (up-wall).Abs() < maxClockStep
}

func (c ClockReading) uptimeSince(earlier ClockReading) time.Duration {
	return time.Duration(c.Uptime-earlier.Uptime) * time.Millisecond
}

// pastPeerClock is a clock of another gateway in a report of the predecessor, with its own clock.
type pastPeerClock struct {
	incarnation int64
	own         ClockReading
	PeerClock
}

// Witnesses bounds by the uptime of other gateways how long the predecessor of a process ran after
// a report. A machine that has lost power has no clock of its own that ran all the while, and any
// time of day may have been set meanwhile. Another gateway whose machine ran on has such a clock:
// the predecessor had seen a report of it before it sent its own, and this process sees one that
// was sent after its start. The load that it answers are losses of power in outages of the store,
// under clocks that step either way.
type Witnesses struct {
	self    string
	started ClockReading
	loaded  bool
	// past are the clocks of others in the predecessor's reports.
	past []pastPeerClock
	// seen are the clocks by the last reports of the others, and latest those read last, the
	// newest first.
	seen   map[string]ClockReading
	latest []PeerClock
	// first are the clocks by the first reports of the others that the store accepted after the
	// start of this process, and fresh those by the reports that they sent after these.
	first map[string]ClockReading
	fresh map[string]ClockReading
	// starts are the clocks at the starts of the processes of the others.
	starts map[string]ClockReading
	// readFor is for how long reports were read since the process started or the store was
	// unreachable, and readAt when they were read last.
	readFor time.Duration
	readAt  time.Time
}

// NewWitnesses returns the witnesses of a process of the instance that started at the reading.
func NewWitnesses(self string, started ClockReading) *Witnesses {
	return &Witnesses{
		self: self, started: started, seen: map[string]ClockReading{},
		first: map[string]ClockReading{}, fresh: map[string]ClockReading{}, starts: map[string]ClockReading{},
	}
}

// MarkLoaded records that all reports which were in the store when the process started were
// recorded.
func (w *Witnesses) MarkLoaded() { w.loaded = true }

// RecordRead records that reports were read, also if there were none.
func (w *Witnesses) RecordRead(now time.Time) {
	switch gap := now.Sub(w.readAt); {
	case w.readAt.IsZero():
	case gap < maxReadGap:
		w.readFor += gap
	default:
		w.readFor += slowRead
	}
	w.readAt = now
}

// RecordOutage records that the store was unreachable: others could not send reports.
func (w *Witnesses) RecordOutage() { w.readFor = 0 }

// Awaited reports whether a witness is needed and may still be found. The clock of a machine that
// has not lost power needs none.
func (w *Witnesses) Awaited() bool {
	return w.readFor < maxWitnessWait &&
		slices.ContainsFunc(w.past, func(p pastPeerClock) bool { return !p.own.sameBoot(w.started) })
}

// LatestClocks returns the clocks for the next report.
func (w *Witnesses) LatestClocks() []PeerClock { return slices.Clone(w.latest) }

// Record records a report that was read, but not one of this process, and reports whether its
// gateway became a witness.
func (w *Witnesses) Record(instance string, r Report) bool {
	if instance == w.self {
		// A report of the predecessor may be accepted late.
		for _, seen := range r.PeerClocks {
			w.past = append(w.past, pastPeerClock{incarnation: r.Incarnation, own: r.SentAt, PeerClock: seen})
		}
		return false
	}
	known, exists := w.seen[instance]
	if exists && known.sameBoot(r.SentAt) && r.SentAt.Uptime <= known.Uptime {
		return false
	}
	w.seen[instance] = r.SentAt
	others := slices.DeleteFunc(w.latest, func(s PeerClock) bool { return s.Instance == instance })
	w.latest = append([]PeerClock{{Instance: instance, Clock: r.SentAt}}, others[:min(len(others), maxPeerClocks-1)]...)
	return w.loaded && w.recordSentSinceStart(instance, r.SentAt)
}

// recordSentSinceStart records a report that the store accepted after the start of this process. A
// gateway sends a report once the store has accepted the one before, so that it sent the second
// one after the start.
func (w *Witnesses) recordSentSinceStart(instance string, sentAt ClockReading) bool {
	if first, exists := w.first[instance]; !exists || !first.sameBoot(sentAt) {
		w.first[instance] = sentAt
		return false
	}
	if _, exists := w.fresh[instance]; exists {
		return false
	}
	w.fresh[instance] = sentAt
	return true
}

// MaxTimeSince returns the most that has passed from the time at which the predecessor's
// incarnation sent the report until the start of this process, and whether a witness bounds it.
func (w *Witnesses) MaxTimeSince(r Report) (time.Duration, bool) {
	var bound time.Duration
	found := false
	for _, p := range w.past {
		fresh, exists := w.fresh[p.Instance]
		if !exists || p.incarnation != r.Incarnation || !p.Clock.sameBoot(fresh) {
			continue
		}
		elapsed := max(0, fresh.uptimeSince(p.Clock)-r.SentAt.uptimeSince(p.own))
		if !found || elapsed < bound {
			bound, found = elapsed, true
		}
	}
	return bound, found
}

// RecordStart records the clock of another gateway at the start of its process.
func (w *Witnesses) RecordStart(instance string, start ClockReading) { w.starts[instance] = start }

// Expected reports whether a gateway that the incarnation of the predecessor has named may still
// become a witness. One whose machine has lost power too can't.
func (w *Witnesses) Expected(r Report) bool {
	return slices.ContainsFunc(w.past, func(p pastPeerClock) bool {
		start, known := w.starts[p.Instance]
		rebooted := known && !p.Clock.sameBoot(start) && !start.sameBoot(p.Clock)
		return p.incarnation == r.Incarnation && !rebooted
	})
}
