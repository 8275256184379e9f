package platform

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/modules/platform"
)

// stream is a stream of the log. oldest is the lowest offset still retained.
type stream struct {
	oldest  int64
	records []platform.Record
	// changed is closed and replaced when records or faults have changed.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (s *stream) next() int64 {
	return s.oldest + int64(len(s.records))
}

func (s *stream) add(now time.Time, data []byte) int64 {
	offset := s.next()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: slices.Clone(data)})
	s.notifyReaders()
	return offset
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// prune removes the records that exceed the retention limits.
func (s *stream) prune(now time.Time, f *Faults) {
	drop := 0
	if f.RetainRecords > 0 {
		drop = max(0, len(s.records)-f.RetainRecords)
	}
	if f.RetainFor > 0 {
		limit := now.Add(-time.Duration(f.RetainFor))
		for drop < len(s.records) && s.records[drop].Time.Before(limit) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.oldest += int64(drop)
}

// slice returns at most limit records, starting at offset from.
func (s *stream) slice(from int64, limit int) []platform.Record {
	if from >= s.next() || limit <= 0 {
		return nil
	}
	first := int(from - s.oldest)
	last := min(len(s.records), first+limit)
	return slices.Clone(s.records[first:last])
}
