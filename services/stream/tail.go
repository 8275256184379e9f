package stream

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/platform"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// newBackoff returns pauses that differ between processes and are the same in
// each run of one process, so that a simulation can be repeated.
func (s *Stream) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.RandomizationFactor = 0
	b.InitialInterval = minBackoff + time.Duration(share(s.incarnation)*float64(minBackoff))
	b.MaxInterval = maxBackoff
	return b
}

// tail folds the stream until the context ends.
func (s *Stream) tail(ctx context.Context) {
	pause := s.newBackoff()
	booted := false
	for ctx.Err() == nil {
		var err error
		if booted {
			err = s.readOn(ctx)
		} else {
			err = s.boot(ctx)
			booted = err == nil
		}
		if err == nil {
			pause.Reset()
			continue
		}
		var gap *platform.GapError
		if errors.As(err, &gap) && booted {
			s.counters.gaps.Inc()
			s.logger.Error("stream gap", "stream", s.name, "from", gap.From, "oldest", gap.Oldest)
			booted = false
			continue
		}
		s.fail(ctx, err)
		delay.Wait(ctx, pause.NextBackOff())
	}
}

func (s *Stream) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.counters.readErrors.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable {
		s.logger.Warn("stream read failed", "stream", s.name, "error", err)
	}
	s.reachable = false
	s.notify()
}

// boot sets reader and fold to the newest checkpoint, or to the empty state if
// the stream is kept from its start.
func (s *Stream) boot(ctx context.Context) error {
	oldest := int64(0)
	_, err := s.read(ctx, 0, 1, 0)
	var gap *platform.GapError
	if errors.As(err, &gap) {
		oldest = gap.Oldest
	} else if err != nil {
		return err
	}
	scanner, err := s.scan(ctx, oldest)
	if err != nil {
		return err
	}
	data, found, err := scanner.Newest()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = fence.New()
	var state []byte
	if found {
		if state, err = s.reader.RestoreCheckpoint(data); err != nil {
			return err
		}
	}
	s.resolveSkipped()
	return s.fold.Restore(state)
}

func (s *Stream) scan(ctx context.Context, oldest int64) (*fence.CheckpointScanner, error) {
	scanner := fence.NewCheckpointScanner(oldest)
	for next := oldest; ; {
		batch, err := s.read(ctx, next, readLimit, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			scanner.Add(r.Data)
			next = r.Offset + 1
		}
		if next >= batch.Next || len(batch.Records) == 0 {
			return scanner, nil
		}
	}
}

// resolveSkipped answers own appends that a checkpoint covers, whose verdict is
// therefore not known. The caller holds mu.
func (s *Stream) resolveSkipped() {
	last := s.reader.Sequence(s.incarnation)
	for sequence := range s.waiting {
		if sequence <= last {
			s.answer(sequence, verdict{skipped: true})
		}
	}
}

// answer tells the writer what became of one of its records, unless it knows
// already. The caller holds mu.
func (s *Stream) answer(sequence uint64, v verdict) {
	select {
	case s.waiting[sequence] <- v:
	default:
	}
}

func (s *Stream) read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return s.log.Read(ctx, s.name, from, limit, wait)
}

func (s *Stream) readOn(ctx context.Context) error {
	s.mu.Lock()
	next := s.reader.Next()
	wait := s.readWait
	if !s.ready || !s.reachable {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.read(ctx, next, readLimit, wait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = true
	s.answered = time.Now()
	checkpoint := s.reader.Checkpoint()
	for _, r := range batch.Records {
		if err := s.apply(r); err != nil {
			return err
		}
	}
	if s.reader.Checkpoint() != checkpoint {
		s.since = time.Now()
	}
	if s.reader.Next() >= batch.Next {
		s.ready = true
	}
	s.notify()
	return nil
}

// apply applies one record and answers the append that wrote it. The caller
// holds mu.
func (s *Stream) apply(r platform.Record) error {
	result, err := s.reader.Apply(r.Offset, r.Time, r.Data)
	if err != nil {
		return err
	}
	s.counters.records[result.Decision].Inc()
	record := &result.Record
	if result.Decision == fence.Accepted && record.Kind == fence.Entries {
		s.fold.Apply(Position{Offset: r.Offset, Time: s.reader.Now()}, record.Bodies)
	}
	if record.Writer != s.incarnation || result.Decision == fence.Duplicate {
		return nil
	}
	s.answer(record.Sequence, verdict{Decision: result.Decision, offset: r.Offset})
	return nil
}
