package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/modules/delay"
)

// checkpointPollInterval is the time between two checks whether a checkpoint is due.
const checkpointPollInterval = time.Second

// checkpointLoop writes checkpoints when they are due, until the context ends.
func (s *Stream) checkpointLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Wait(ctx, checkpointPollInterval)
		if !s.checkpointDue(time.Now()) || !s.mayCheckpoint() {
			continue
		}
		if err := s.Checkpoint(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("checkpoint failed", "stream", s.name, "error", err)
		}
	}
}

func (s *Stream) checkpointDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.reachable && s.schedule.Due(s.reader.Next(), s.reader.Checkpoint(), s.checkpointReadAt, now)
}

// Checkpoint writes a snapshot of the state machine to the stream. It returns after
// the snapshot was read back. A process that starts later restores it and reads
// only the records after it.
func (s *Stream) Checkpoint(ctx context.Context) error {
	next, data, err := s.snapshot()
	if err != nil {
		return err
	}
	for _, chunk := range fence.SplitCheckpoint(next, data, fence.DefaultChunkSize) {
		if _, err := s.enqueue(ctx, &pendingAppend{kind: fence.Checkpoint, chunk: &chunk}); err != nil {
			return err
		}
	}
	s.counters.checkpoints.Inc()
	s.logger.Debug("checkpoint written", "stream", s.name, "next", next, "bytes", len(data))
	return nil
}

// snapshot returns the data of a checkpoint and the offset of the first record that
// it does not cover.
func (s *Stream) snapshot() (int64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, nil, errors.New("stream not read yet")
	}
	state, err := s.machine.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	data, err := fence.EncodeCheckpoint(s.reader, state)
	return s.reader.Next(), data, err
}
