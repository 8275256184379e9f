package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/modules/delay"
)

// checkpointPoll is how often the schedule of checkpoints is looked at.
const checkpointPoll = time.Second

// keepCheckpoints writes checkpoints when they are due, until the context ends.
func (s *Stream) keepCheckpoints(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Wait(ctx, checkpointPoll)
		if !s.due(time.Now()) || !s.checkpoints() {
			continue
		}
		if err := s.Checkpoint(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("checkpoint failed", "stream", s.name, "error", err)
		}
	}
}

func (s *Stream) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.reachable && s.schedule.Due(s.reader.Next(), s.reader.Checkpoint(), s.since, now)
}

// Checkpoint writes the state of the fold to the stream, and returns once it
// was read back. A process that starts later begins from there.
func (s *Stream) Checkpoint(ctx context.Context) error {
	next, data, err := s.snapshot()
	if err != nil {
		return err
	}
	for _, chunk := range fence.SplitCheckpoint(next, data, fence.DefaultChunkSize) {
		if _, err := s.enqueue(ctx, &item{kind: fence.Checkpoint, chunk: &chunk}); err != nil {
			return err
		}
	}
	s.counters.checkpoints.Inc()
	s.logger.Debug("checkpoint written", "stream", s.name, "next", next, "bytes", len(data))
	return nil
}

func (s *Stream) snapshot() (int64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, nil, errors.New("stream not read yet")
	}
	state, err := s.fold.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	data, err := fence.EncodeCheckpoint(s.reader, state)
	return s.reader.Next(), data, err
}
