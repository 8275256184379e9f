// Package quarantine finds segments of prompts, and whole requests, that crash each server that
// begins to answer them, so that they are no longer sent. It is designed for such prompts and
// requests among many others that share their other segments, paths, callers and servers: a server
// that crashes breaks off all its responses, so that others seem to crash servers too. What tells
// them apart is that they are answered elsewhere, and that they explain fewer crashes.
//
// A request is identified by its fingerprint, see RequestID. Where the package speaks of segments, it
// means these identifiers too.
package quarantine

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of servers that must have crashed under a segment that was
	// not answered since the first of them.
	minCrashes = 4
	// minRequestCrashes is the same for a request. All that distinguishes it is known, so that fewer
	// crashes are evidence enough.
	minRequestCrashes = 3
	// ambiguousCrashes is the number of crashes from which on requests that explain the same crashes
	// are all quarantined. Before it, the next crash tells them apart.
	ambiguousCrashes = 5
	// minShare is the part of all crashes since the first one under a segment that it must
	// explain. Pools that crash as a whole crash under many segments.
	minShare = 0.25
	// settleTime is the time from the crash that reaches minCrashes to a conclusion. Answers
	// that other gateways received become known within it.
	settleTime = time.Second
	// priorAnswer is how long before the first crash an answer clears a segment too: servers
	// that crash together crash under all segments that are common. A request that crashes servers
	// is never answered, so that earlier answers clear it as well.
	priorAnswer        = 2 * time.Second
	priorRequestAnswer = EvidenceLifetime
	// maxPublicationDelay is the longest time until an answer is published. With the time that
	// it takes to reach all gateways it is shorter than settleTime.
	maxPublicationDelay = 300 * time.Millisecond
	// publicationSkew makes short delays rare, so that most gateways of a large fleet learn of
	// an answer before they would publish theirs.
	publicationSkew = 8
	// minKnownTime is the time from that crash up to which the evidence of the others must be known.
	minKnownTime = 500 * time.Millisecond
	// EvidenceLifetime is how long a crash counts.
	EvidenceLifetime = time.Minute
	// Duration is how long a segment stays in quarantine.
	Duration = time.Hour
)

// Crash is a server that crashed while it was about to answer prompts of a gateway.
type Crash struct {
	// Server identifies the server's start.
	Server string
	// Segments are those of the prompts.
	Segments []string
	// Age is how long ago the crash was observed. Another gateway may have been cut off before it could publish it.
	Age time.Duration
}

// requestPrefix begins the identifiers of requests. It can't begin that of a segment.
const requestPrefix = "\x1frequest/"

// RequestID returns the identifier of the requests with a fingerprint.
func RequestID(fingerprint string) string { return requestPrefix + fingerprint }

func isRequest(id string) bool { return strings.HasPrefix(id, requestPrefix) }

// requiredCrashes returns the number of crashes under an identifier for a conclusion.
func requiredCrashes(id string) int {
	if isRequest(id) {
		return minRequestCrashes
	}
	return minCrashes
}

// PublicationDelay returns how long a gateway waits before it publishes an answer, by a random
// number from 0 to 1. If all did so at once, the records that are read would grow with the
// square of the fleet.
func PublicationDelay(random float64) time.Duration {
	return time.Duration(float64(maxPublicationDelay) * math.Pow(random, 1.0/publicationSkew))
}

// Entry is a quarantine of all prompts that have each of its segments.
type Entry struct {
	Segments []string
	Until    time.Time
}

func (e Entry) concludedAt() time.Time { return e.Until.Add(-Duration) }

// Answer is an answer to a prompt.
type Answer struct {
	At time.Time
	// Segments are those of the prompt.
	Segments []string
}

// Refutes reports whether the answer shows that prompts with all segments of the entry crash no servers: it was received
// since about the time of the conclusion.
func (a Answer) Refutes(e Entry) bool {
	return len(e.Segments) > 0 && a.At.After(e.concludedAt().Add(-settleTime)) && e.matches(a.Segments)
}

// matches reports whether the entry applies to a prompt with the segments.
func (e Entry) matches(segments []string) bool {
	for _, id := range e.Segments {
		if !slices.Contains(segments, id) {
			return false
		}
	}
	return true
}

// crashTimes are the times of a crash.
type crashTimes struct {
	// recordedAt is by this gateway's clock. observedAt, which may be earlier, depends on the clock of the gateway that
	// observed the crash, and decides only which answers are later.
	recordedAt, observedAt time.Time
}

// suspect is a segment under which servers crashed.
type suspect struct {
	// crashes holds when servers crashed, by the identity of their start.
	crashes map[string]crashTimes
	// reachedAt is when the number of crashes reached minCrashes, or the zero value.
	reachedAt time.Time
}

// Tracker collects which servers crashed under which segments. The order of its events
// matters, their times only for the lifetime of evidence.
type Tracker struct {
	// crashed holds when servers crashed, by the identity of their start, if no entry explains it.
	crashed  map[string]time.Time
	suspects map[string]*suspect
	entries  map[string]Entry
	// provisional are the entries that this gateway concluded on its own.
	provisional []Entry
	// contactAt is when the evidence of the others became readable again, or the zero value.
	contactAt time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{crashed: map[string]time.Time{}, suspects: map[string]*suspect{}, entries: map[string]Entry{}}
}

// RecordCrash records that a server crashed. Evidence that is recorded again has no effect.
func (t *Tracker) RecordCrash(now time.Time, c Crash) {
	if _, explained := t.findEntry(now, c.Segments); explained {
		return
	}
	if _, known := t.crashed[c.Server]; !known {
		t.crashed[c.Server] = now
	}
	for _, id := range c.Segments {
		s, exists := t.suspects[id]
		if !exists {
			s = &suspect{crashes: map[string]crashTimes{}}
			t.suspects[id] = s
		}
		if _, known := s.crashes[c.Server]; known {
			continue
		}
		s.crashes[c.Server] = crashTimes{recordedAt: now, observedAt: now.Add(-max(0, c.Age))}
		if len(s.crashes) == requiredCrashes(id) {
			s.reachedAt = now
		}
	}
}

// RecordAnswer records that a server answered a prompt with the segment.
func (t *Tracker) RecordAnswer(segment string) {
	delete(t.suspects, segment)
	var provisional []Entry
	for _, e := range t.provisional {
		e.Segments = slices.DeleteFunc(slices.Clone(e.Segments), func(id string) bool { return id == segment })
		if len(e.Segments) > 0 {
			provisional = append(provisional, e)
		}
	}
	t.provisional = provisional
}

// Watched returns the segments whose answers should be recorded, with the time from which on
// an answer clears each.
func (t *Tracker) Watched() map[string]time.Time {
	watched := map[string]time.Time{}
	for id := range t.suspects {
		if since, ok := t.WatchedSince(id); ok {
			watched[id] = since
		}
	}
	for _, e := range t.provisional {
		for _, id := range e.Segments {
			if since, ok := t.WatchedSince(id); ok {
				watched[id] = since
			}
		}
	}
	return watched
}

// WatchedSince is Watched for one segment. It returns false if its answers need not be recorded.
func (t *Tracker) WatchedSince(id string) (time.Time, bool) {
	// The answers must be known by the time of a conclusion.
	if s, suspected := t.suspects[id]; suspected && len(s.crashes) >= requiredCrashes(id)-1 {
		prior := priorAnswer
		if isRequest(id) {
			prior = priorRequestAnswer
		}
		return s.earliest(func(c crashTimes) time.Time { return c.observedAt }).Add(-prior), true
	}
	for _, e := range t.provisional {
		if slices.Contains(e.Segments, id) {
			return e.concludedAt(), true
		}
	}
	return time.Time{}, false
}

// Expire forgets crashes and entries whose time has passed, and reports whether there are any
// suspects.
func (t *Tracker) Expire(now time.Time) bool {
	for id, s := range t.suspects {
		maps.DeleteFunc(s.crashes, func(_ string, c crashTimes) bool { return now.Sub(c.recordedAt) > EvidenceLifetime })
		t.update(id, s)
	}
	maps.DeleteFunc(t.crashed, func(_ string, at time.Time) bool { return now.Sub(at) > EvidenceLifetime })
	maps.DeleteFunc(t.entries, func(_ string, e Entry) bool { return !now.Before(e.Until) })
	return len(t.suspects) > 0
}

// Conclude adds an entry for each segment that explains at least minCrashes crashes and minShare
// of all since, and more than any other segment explains of these. Segments that explain the same crashes form one
// entry, which applies to prompts with all of them. It adds one for each request that explains at
// least minRequestCrashes, see requestExplains. The evidence of the others is known up to knownAt: a process
// that stood still has missed their answers.
func (t *Tracker) Conclude(now, knownAt time.Time) []Entry {
	var concluded []Entry
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		s, exists := t.suspects[id]
		if !exists || s.reachedAt.IsZero() {
			continue
		}
		// Others that were cut off as well publish their answers after the contact.
		since := s.reachedAt
		if t.contactAt.After(since) {
			since = t.contactAt
		}
		if now.Sub(since) < settleTime || knownAt.Sub(since) < minKnownTime {
			continue
		}
		if isRequest(id) {
			if t.requestExplains(s) {
				concluded = append(concluded, t.concludeRequest(now, id))
			}
			continue
		}
		if same, best := t.explainsMost(s); best && t.share(s) >= minShare {
			e := Entry{Segments: same, Until: now.Add(Duration)}
			t.Add(e)
			t.explain(maps.Clone(s.crashes))
			concluded = append(concluded, e)
		}
	}
	return concluded
}

// ConcludeAlone concludes from the evidence of this gateway while that of the others can't be read, and
// returns the entries that are new. They apply to this gateway until the next contact, since others may
// have got answers. An outage may be longer than the lifetime of evidence, so that an entry outlasts the crashes that
// led to it. The load that it answers is a prompt that crashes servers during an outage of the store.
func (t *Tracker) ConcludeAlone(now time.Time) []Entry {
	before := t.provisional
	concluded := t.clone().Conclude(now, now)
	t.provisional = slices.Clone(concluded)
	for _, e := range before {
		if now.Before(e.Until) && t.evidenceExpired(e) && !containsKey(concluded, e.Key()) {
			t.provisional = append(t.provisional, e)
		}
	}
	return slices.DeleteFunc(concluded, func(e Entry) bool { return containsKey(before, e.Key()) })
}

// evidenceExpired reports whether crashes that led to the entry no longer count.
func (t *Tracker) evidenceExpired(e Entry) bool {
	return slices.ContainsFunc(e.Segments, func(id string) bool {
		s, suspected := t.suspects[id]
		return !suspected || len(s.crashes) < requiredCrashes(id)
	})
}

func containsKey(entries []Entry, key string) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Key() == key })
}

// RecordContact records that the evidence of the others is readable again. What this gateway concluded on
// its own has no effect any more.
func (t *Tracker) RecordContact(now time.Time) { t.provisional, t.contactAt = nil, now }

// clone returns a tracker with the same evidence.
func (t *Tracker) clone() *Tracker {
	c := &Tracker{crashed: maps.Clone(t.crashed), suspects: make(map[string]*suspect, len(t.suspects)), entries: maps.Clone(t.entries)}
	for id, s := range t.suspects {
		c.suspects[id] = &suspect{crashes: maps.Clone(s.crashes), reachedAt: s.reachedAt}
	}
	return c
}

// requestExplains reports whether the crashes under a request are explained by it: no other request
// that shares one of them has more. If one has as many, the next crashes must tell them apart first.
func (t *Tracker) requestExplains(s *suspect) bool {
	for id, other := range t.suspects {
		if other == s || !isRequest(id) || !s.shares(other) {
			continue
		}
		if len(other.crashes) > len(s.crashes) || (len(other.crashes) == len(s.crashes) && len(s.crashes) < ambiguousCrashes) {
			return false
		}
	}
	return true
}

// concludeRequest quarantines a request. Its crashes still count for the segments of prompts, which
// other requests have too, and for requests with the same crashes, which may be the cause as well.
func (t *Tracker) concludeRequest(now time.Time, request string) Entry {
	e := Entry{Segments: []string{request}, Until: now.Add(Duration)}
	t.Add(e)
	crashes := maps.Clone(t.suspects[request].crashes)
	for id, s := range t.suspects {
		if id == request || (isRequest(id) && !maps.Equal(s.crashes, crashes)) {
			t.remove(id, s, crashes)
		}
	}
	return e
}

// earliest returns the earliest of the crashes' times.
func (s *suspect) earliest(timeOf func(crashTimes) time.Time) time.Time {
	var first time.Time
	for _, c := range s.crashes {
		if at := timeOf(c); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// shares reports whether both have a crash in common.
func (s *suspect) shares(other *suspect) bool {
	for server := range s.crashes {
		if _, common := other.crashes[server]; common {
			return true
		}
	}
	return false
}

// explainsMost returns the segments with the same crashes as the suspect, and whether all
// others that have one of these crashes have fewer.
func (t *Tracker) explainsMost(s *suspect) (same []string, best bool) {
	for id, other := range t.suspects {
		if isRequest(id) {
			continue
		}
		common := 0
		for server := range s.crashes {
			if _, exists := other.crashes[server]; exists {
				common++
			}
		}
		switch {
		case common == len(s.crashes) && len(other.crashes) == common:
			same = append(same, id)
		case common > 0 && len(other.crashes) >= len(s.crashes):
			return nil, false
		}
	}
	slices.Sort(same)
	return same, true
}

// share returns the part of all crashes since the first one of the suspect that it explains.
func (t *Tracker) share(s *suspect) float64 {
	first := s.earliest(func(c crashTimes) time.Time { return c.recordedAt })
	all := 0
	for _, at := range t.crashed {
		if !at.Before(first) {
			all++
		}
	}
	return float64(len(s.crashes)) / float64(max(1, all))
}

// explain removes crashes whose cause is known from all suspects.
func (t *Tracker) explain(crashes map[string]crashTimes) {
	maps.DeleteFunc(t.crashed, func(server string, _ time.Time) bool { _, known := crashes[server]; return known })
	for id, s := range t.suspects {
		t.remove(id, s, crashes)
	}
}

// remove removes crashes from a suspect.
func (t *Tracker) remove(id string, s *suspect, crashes map[string]crashTimes) {
	maps.DeleteFunc(s.crashes, func(server string, _ crashTimes) bool { _, known := crashes[server]; return known })
	t.update(id, s)
}

// update is called after crashes of a suspect were removed.
func (t *Tracker) update(id string, s *suspect) {
	if len(s.crashes) < requiredCrashes(id) {
		s.reachedAt = time.Time{}
	}
	if len(s.crashes) == 0 {
		delete(t.suspects, id)
	}
}

// Add adds an entry.
func (t *Tracker) Add(e Entry) { t.entries[e.Key()] = e }

// Remove removes the entry with the key.
func (t *Tracker) Remove(key string) { delete(t.entries, key) }

// Entries returns all entries.
func (t *Tracker) Entries() []Entry { return slices.Collect(maps.Values(t.entries)) }

// Find returns the entry that applies to a prompt with the segments, if there is one.
func (t *Tracker) Find(now time.Time, segments []string) (Entry, bool) {
	for _, e := range t.provisional {
		if now.Before(e.Until) && e.matches(segments) {
			return e, true
		}
	}
	return t.findEntry(now, segments)
}

// findEntry is Find without what this gateway concluded on its own.
func (t *Tracker) findEntry(now time.Time, segments []string) (Entry, bool) {
	for _, e := range t.entries {
		if now.Before(e.Until) && e.matches(segments) {
			return e, true
		}
	}
	return Entry{}, false
}
