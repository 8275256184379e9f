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

// newBackoff returns retry delays that depend on the writer. They differ between
// processes without being random, so that a simulation is reproducible.
func (s *Stream) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.RandomizationFactor = 0
	b.InitialInterval = minBackoff + time.Duration(hashFraction(s.writer)*float64(minBackoff))
	b.MaxInterval = maxBackoff
	return b
}

// readLoop reads the stream and applies its records until the context ends.
func (s *Stream) readLoop(ctx context.Context) {
	retryDelays := s.newBackoff()
	restored := false
	for ctx.Err() == nil {
		var err error
		if restored {
			err = s.readNext(ctx)
		} else {
			err = s.restore(ctx)
			restored = err == nil
		}
		if err == nil {
			retryDelays.Reset()
			continue
		}
		var gap *platform.GapError
		if errors.As(err, &gap) && restored {
			s.counters.gaps.Inc()
			s.logger.Error("stream gap", "stream", s.name, "from", gap.From, "oldest", gap.Oldest)
			restored = false
			continue
		}
		s.recordReadError(ctx, err)
		delay.Wait(ctx, retryDelays.NextBackOff())
	}
}

// recordReadError marks the log as unreachable, unless the context has ended.
func (s *Stream) recordReadError(ctx context.Context, err error) {
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

// restore sets the reader and the state machine to the newest checkpoint, or to the
// empty state if there is no checkpoint and the log still has the stream's first
// record.
func (s *Stream) restore(ctx context.Context) error {
	oldest := int64(0)
	_, err := s.read(ctx, 0, 1, 0)
	var gap *platform.GapError
	if errors.As(err, &gap) {
		oldest = gap.Oldest
	} else if err != nil {
		return err
	}
	scanner, err := s.scanCheckpoints(ctx, oldest)
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
	s.resolveCompacted()
	return s.machine.Restore(state)
}

// scanCheckpoints reads all records from oldest on into a scanner.
func (s *Stream) scanCheckpoints(ctx context.Context, oldest int64) (*fence.CheckpointScanner, error) {
	scanner := fence.NewCheckpointScanner(oldest)
	for next := oldest; ; {
		batch, err := s.readBatch(ctx, next, 0)
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

// resolveCompacted sends a result for each unconfirmed record that the restored
// checkpoint covers. The decisions on these records are unknown. The caller must
// hold mu.
func (s *Stream) resolveCompacted() {
	last := s.reader.Sequence(s.writer)
	for sequence := range s.unconfirmed {
		if sequence <= last {
			s.confirm(sequence, recordResult{compacted: true})
		}
	}
}

// confirm sends the result of one of this writer's records, unless one was sent
// already or the append has returned. The caller must hold mu.
func (s *Stream) confirm(sequence uint64, result recordResult) {
	select {
	case s.unconfirmed[sequence] <- result:
	default:
	}
}

func (s *Stream) read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return s.log.Read(ctx, s.name, from, limit, wait)
}

// readBatch reads records as far as they arrive within the timeout: fewer after each read
// that took longer.
func (s *Stream) readBatch(ctx context.Context, from int64, wait time.Duration) (platform.Batch, error) {
	start := time.Now()
	batch, err := s.read(ctx, from, s.limit, wait)
	took := time.Since(start)
	switch {
	case err == nil && took < readTimeout/4:
		s.limit = min(2*s.limit, readLimit)
	case err != nil && ctx.Err() == nil && took >= wait+readTimeout:
		s.limit = max(s.limit/2, 1)
	}
	return batch, err
}

// readNext reads and applies the next records.
func (s *Stream) readNext(ctx context.Context) error {
	s.mu.Lock()
	next := s.reader.Next()
	wait := s.readWait
	if !s.ready || !s.reachable {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.readBatch(ctx, next, wait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = true
	s.lastReadAt = time.Now()
	checkpoint := s.reader.Checkpoint()
	for _, r := range batch.Records {
		if err := s.apply(r); err != nil {
			return err
		}
	}
	if s.reader.Checkpoint() != checkpoint {
		s.checkpointReadAt = time.Now()
	}
	if s.reader.Next() >= batch.Next {
		s.ready = true
	}
	s.notify()
	return nil
}

// apply applies one record, and sends its result if this writer appended it. The
// caller must hold mu.
func (s *Stream) apply(r platform.Record) error {
	result, err := s.reader.Apply(r.Offset, r.Time, r.Data)
	if err != nil {
		return err
	}
	s.counters.records[result.Decision].Inc()
	record := &result.Record
	if result.Decision == fence.Accepted && record.Kind == fence.Entries {
		s.machine.Apply(Position{Offset: r.Offset, Time: s.reader.Now()}, record.Bodies)
	}
	if record.Writer != s.writer || result.Decision == fence.Duplicate {
		return nil
	}
	s.confirm(record.Sequence, recordResult{Decision: result.Decision, offset: r.Offset})
	return nil
}
