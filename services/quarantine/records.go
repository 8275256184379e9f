package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/quarantine"
	"github.com/crocusline/crocusline/models/record"
)

// publish queues an observation for writing.
func (s *Service) publish(o quarantine.Observation) {
	o.At = time.Now().UnixMilli()
	data, err := o.Encode()
	if err != nil {
		s.log.Error("cannot encode observation", "error", err)
		return
	}
	s.write(record.Record{Key: fmt.Sprintf("%s/%d", s.instance, s.slot%slots), Value: data})
	s.slot++
}

// write queues a record for writing.
func (s *Service) write(r record.Record) {
	s.unwritten = append(s.unwritten, r)
	s.wakeUp()
}

func (s *Service) append(records []record.Record) error {
	if len(records) == 0 {
		return nil
	}
	return s.store.Append(s.ctx, record.Write{Partition: s.partition(), Records: records})
}

func (s *Service) writeEntry(e quarantine.Entry) {
	data, err := e.Encode()
	if err != nil {
		s.log.Error("cannot encode quarantine", "segments", e.Segments, "error", err)
		return
	}
	s.write(record.Record{Key: e.Key(), Value: data})
}

// Reset implements follower.Handler.
func (s *Service) Reset(records []record.Record, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, restored := s.tracker.Entries(), s.follower.Era() > s.era
	s.era = s.follower.Era()
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b record.Record) int { return int(a.Offset - b.Offset) })
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.apply(r)
	}
	for _, e := range known {
		switch {
		case listed[e.Key()]:
		case restored:
			// The store may have returned from an older copy.
			s.writeEntry(e)
		default:
			s.tracker.Remove(e.Key())
		}
	}
	s.clearAnswered()
	s.liftRefuted()
	s.wakeUp()
}

// Apply implements follower.Handler.
func (s *Service) Apply(records []record.Record, _ int64) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.apply(r)
	}
	s.clearAnswered()
	s.liftRefuted()
	s.wakeUp()
}

func (s *Service) apply(r record.Record) {
	if quarantine.IsEntryKey(r.Key) {
		s.applyEntry(r)
		return
	}
	if r.Value == nil {
		return
	}
	o, err := quarantine.ParseObservation(r.Value)
	if err != nil {
		s.log.Error("cannot decode observation", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	now := time.Now()
	switch age := now.Sub(time.UnixMilli(o.At)); {
	case age > quarantine.EvidenceLifetime:
	case o.Server != "":
		s.tracker.RecordCrash(now, quarantine.Crash{Server: o.Server, Segments: o.Segments, Age: age})
	default:
		for _, id := range o.Segments {
			s.tracker.RecordAnswer(id)
			delete(s.unpublished, id)
		}
	}
}

func (s *Service) applyEntry(r record.Record) {
	if r.Value == nil {
		s.tracker.Remove(r.Key)
		delete(s.lifted, r.Key)
		return
	}
	e, err := quarantine.ParseEntry(r.Value)
	if err != nil {
		s.log.Error("cannot decode quarantine", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	s.log.Info("quarantine read", "segments", e.Segments, "until", e.Until)
	s.tracker.Add(e)
}

// SetReachable implements follower.Handler.
func (s *Service) SetReachable(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok && !s.reachable {
		s.tracker.RecordContact(time.Now())
	}
	s.reachable = ok
}
