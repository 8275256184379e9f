package catalog

import (
	"context"
	"time"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/services/follower"
)

// timedLog records when its last read began. It is used by one goroutine.
type timedLog struct {
	log     follower.Log
	beganAt time.Time
}

// Read implements follower.Log.
func (l *timedLog) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	l.beganAt = time.Now()
	return l.log.Read(ctx, r)
}

// Snapshot implements follower.Log.
func (l *timedLog) Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error) {
	l.beganAt = time.Now()
	return l.log.Snapshot(ctx, p)
}

// serverHandler applies the records of the servers' topic.
type serverHandler struct {
	s     *Service
	reads *timedLog
}

// Reset implements follower.Handler.
func (h serverHandler) Reset(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	s.roster.ResetReads()
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.putServer(r, now)
	}
	for id := range s.serverRecords {
		if !listed[id] {
			s.removeServer(id, now)
		}
	}
	s.roster.RecordRead(h.reads.beganAt)
	s.serversLoaded, s.nextOffset = true, next
	s.refresh(now)
}

// Apply implements follower.Handler.
func (h serverHandler) Apply(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	for _, r := range records {
		s.putServer(r, now)
	}
	s.roster.RecordRead(h.reads.beganAt)
	s.nextOffset = max(s.nextOffset, next)
	s.refresh(now)
}

// SetReachable implements follower.Handler.
func (h serverHandler) SetReachable(ok bool) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	if ok {
		h.s.roster.ListAvailable(time.Now())
		return
	}
	h.s.roster.ListUnavailable()
}
