package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/quarantine"
	"github.com/crocusline/crocusline/models/record"
)

// RecordAnswer records that a server answered a prompt with the segments.
func (s *Service) RecordAnswer(segments []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.prunedAt) > quarantine.EvidenceLifetime || len(s.answered) >= maxAnswered {
		s.answered, s.answeredBefore, s.prunedAt = map[string]quarantine.Answer{}, s.answered, now
	}
	answer := quarantine.Answer{At: now, Segments: considered(segments)}
	for _, id := range answer.Segments {
		s.answered[id] = answer
		if since, watched := s.tracker.WatchedSince(id); watched {
			s.clearIfAnswered(id, since)
		}
	}
	s.liftRefuted()
}

// clearAnswered clears the watched segments that were answered here.
func (s *Service) clearAnswered() {
	for id, since := range s.tracker.Watched() {
		s.clearIfAnswered(id, since)
	}
}

// clearIfAnswered clears the segment if it was answered here after the time, which is published after a delay.
func (s *Service) clearIfAnswered(id string, since time.Time) {
	if !s.answered[id].At.After(since) && !s.answeredBefore[id].At.After(since) {
		return
	}
	s.tracker.RecordAnswer(id)
	s.schedulePublication()
	s.unpublished[id] = true
}

// schedulePublication sets the time of the next publication, if none is scheduled.
func (s *Service) schedulePublication() {
	if !s.publicationDue() {
		s.publishAt = time.Now().Add(quarantine.PublicationDelay(rand.Float64()))
	}
	s.wakeUp()
}

// publicationDue reports whether answers or lifts are to be published.
func (s *Service) publicationDue() bool { return len(s.unpublished) > 0 || len(s.lifted) > 0 }

// publishAnswers publishes the answers and lifts that are due.
func (s *Service) publishAnswers(now time.Time) {
	if !s.publicationDue() || now.Before(s.publishAt) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(s.lifted)) {
		s.write(record.Record{Key: key})
	}
	if len(s.unpublished) > 0 {
		s.publish(quarantine.Observation{Segments: slices.Sorted(maps.Keys(s.unpublished))})
	}
	clear(s.lifted)
	clear(s.unpublished)
}

// liftRefuted lifts the quarantines that answers refute which this gateway got, for instance while it
// was cut off and didn't know of them.
func (s *Service) liftRefuted() {
	for _, e := range s.tracker.Entries() {
		if s.refuted(e) {
			s.log.Warn("quarantine lifted, as a server answered", "segments", e.Segments, "until", e.Until)
			s.tracker.Remove(e.Key())
			s.schedulePublication()
			s.lifted[e.Key()] = true
			for _, id := range e.Segments {
				// Gateways that start later read the crashes, and would conclude the same.
				s.unpublished[id] = true
			}
		}
	}
}

// refuted reports whether the last answer to a prompt with one of the entry's segments refutes it. The last answers to
// the others may have been to other prompts.
func (s *Service) refuted(e quarantine.Entry) bool {
	return slices.ContainsFunc(e.Segments, func(id string) bool {
		return s.answered[id].Refutes(e) || s.answeredBefore[id].Refutes(e)
	})
}
