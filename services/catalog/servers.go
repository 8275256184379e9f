package catalog

import (
	"context"
	"time"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/services/follower"
)

// timedLog records when its last read began. It is used by one goroutine.
type timedLog struct {
	log     follower.Log
	clock   *uptime.Clock
	beganAt time.Time
	// elapsed is when the last read began, and recorded when the last one did that was recorded, by the clock.
	elapsed, recorded time.Duration
	// partial is whether the store has more records than were read.
	partial bool
}

// Read implements follower.Log.
func (l *timedLog) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	l.beganAt, l.elapsed = time.Now(), l.clock.Elapsed()
	b, err := l.log.Read(ctx, r)
	l.partial = b.Next < b.End
	return b, err
}

// Snapshot implements follower.Log.
func (l *timedLog) Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error) {
	l.beganAt, l.elapsed, l.partial = time.Now(), l.clock.Elapsed(), false
	return l.log.Snapshot(ctx, p)
}

// serverHandler applies the records of the servers' topic.
type serverHandler struct {
	s     *Service
	reads *timedLog
}

// recordRead records the last read in the roster, with the service locked. The roster's times leave out those in which
// the machine was suspended.
func (h serverHandler) recordRead() {
	if h.reads.elapsed-h.reads.recorded > roster.MaxReadInterval {
		h.s.roster.ResetReads()
	}
	h.reads.recorded = h.reads.elapsed
	h.s.roster.RecordRead(h.reads.beganAt)
}

// Reset implements follower.Handler.
func (h serverHandler) Reset(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	s.roster.ResetReads()
	// A peer's list may be newer than a response that this process handles late. Without eras, a lower
	// offset may also mean that the store has returned from a copy.
	if at := (record.Position{Era: s.servers.Era(), Next: next}); at.Era == 0 || !at.Before(s.position) {
		s.setServers(records, at, now)
	}
	h.recordRead()
}

// Apply implements follower.Handler.
func (h serverHandler) Apply(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	era, at := s.servers.Era(), s.listTime(now)
	for _, r := range records {
		if !(record.Position{Era: era, Next: r.Offset}).Before(s.position) {
			s.putServer(r, at)
		}
	}
	if !h.reads.partial {
		h.recordRead()
	}
	if position := (record.Position{Era: era, Next: next}); s.position.Before(position) {
		s.position = position
	}
	s.refresh(now)
}

// SetReachable implements follower.Handler.
func (h serverHandler) SetReachable(ok bool) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.notifyRead()
	if ok {
		h.s.roster.ListAvailable(time.Now())
		return
	}
	h.s.roster.ListUnavailable()
}
