package stream

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/platform"
)

// QueueFullError is the error if too many appends are queued. Nothing was
// appended.
type QueueFullError struct {
	Stream string
}

// Error implements error.
func (e *QueueFullError) Error() string { return fmt.Sprintf("stream %s: append queue full", e.Stream) }

// UnsentError is the error if an append was cancelled before it was sent. The
// append has no effect.
type UnsentError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("stream %s: append not sent: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// UnconfirmedError is the error if an append was sent but not read back. The
// append may have taken effect, or may still do so later.
type UnconfirmedError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("stream %s: append not read back: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// FencedError is the error if another writer began a new epoch before the record
// was appended. The append has no effect.
type FencedError struct {
	Stream string
	Epoch  uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("stream %s: epoch %d is over", e.Stream, e.Epoch)
}

// errCompacted is the cause if the stream was restored from a checkpoint that
// covers the record, so that the decision on the record is unknown.
var errCompacted = errors.New("its record was compacted before it was read")

// recordResult is the result of reading back one of this stream's own records.
type recordResult struct {
	fence.Decision
	offset int64
	// compacted is set if the record was not read, because the stream was
	// restored from a checkpoint that covers it.
	compacted bool
}

// pendingAppend is a call to append that is queued or in flight.
type pendingAppend struct {
	ctx   context.Context
	kind  fence.Kind
	epoch uint64
	// bodies is set for entries, chunk for a checkpoint.
	bodies [][]byte
	chunk  *fence.Chunk
	// size is the total size of bodies.
	size int
	// taken is set by the writer before it sends the append, or by the caller if
	// its context ends first.
	taken  atomic.Bool
	result chan appendResult
}

type appendResult struct {
	offset int64
	err    error
}

// Append appends bodies that are valid in any epoch. All bodies are in the same
// record, which may also have the bodies of other calls. Append returns the
// record's offset after the record was read back and applied.
func (s *Stream) Append(ctx context.Context, bodies ...[]byte) (int64, error) {
	return s.AppendInEpoch(ctx, 0, bodies...)
}

// AppendInEpoch appends bodies that are valid only in the given epoch, which this
// writer must have claimed. It returns a *FencedError if the epoch has ended.
func (s *Stream) AppendInEpoch(ctx context.Context, epoch uint64, bodies ...[]byte) (int64, error) {
	a := &pendingAppend{kind: fence.Entries, epoch: epoch, bodies: bodies}
	for _, b := range bodies {
		a.size += len(b)
	}
	return s.enqueue(ctx, a)
}

// Claim begins an epoch that is owned by this writer. The epoch must be the
// current epoch plus one. Claim returns a *FencedError if another writer has begun
// that epoch first.
func (s *Stream) Claim(ctx context.Context, epoch uint64) error {
	_, err := s.enqueue(ctx, &pendingAppend{kind: fence.Claim, epoch: epoch})
	return err
}

// enqueue queues an append and waits for its result.
func (s *Stream) enqueue(ctx context.Context, a *pendingAppend) (int64, error) {
	a.ctx = ctx
	a.result = make(chan appendResult, 1)
	select {
	case s.queue <- a:
	default:
		s.counters.queueFull.Inc()
		return 0, &QueueFullError{Stream: s.name}
	}
	select {
	case result := <-a.result:
		return result.offset, result.err
	case <-ctx.Done():
	}
	if a.taken.CompareAndSwap(false, true) {
		return 0, &UnsentError{Stream: s.name, Cause: ctx.Err()}
	}
	select {
	case result := <-a.result:
		return result.offset, result.err
	default:
		return 0, &UnconfirmedError{Stream: s.name, Cause: ctx.Err()}
	}
}

// writeLoop sends the queued appends, one record at a time, until the context ends.
func (s *Stream) writeLoop(ctx context.Context) {
	var next *pendingAppend
	for {
		if next == nil {
			select {
			case next = <-s.queue:
			case <-ctx.Done():
				return
			}
		}
		if err := s.Wait(ctx, func(st Status) bool { return st.Ready }); err != nil {
			return
		}
		delay.Wait(ctx, time.Until(s.lastAppendAt.Add(s.appendInterval)))
		if err := s.limiter.Wait(ctx); err != nil {
			return
		}
		var batch []*pendingAppend
		batch, next = s.nextBatch(next)
		if len(batch) > 0 {
			s.send(ctx, batch)
			s.lastAppendAt = time.Now()
		}
	}
}

// nextBatch takes the appends of the next record from the queue, starting with
// first. It returns the append, if any, that it took from the queue but that
// belongs to a later record.
func (s *Stream) nextBatch(first *pendingAppend) (batch []*pendingAppend, leftover *pendingAppend) {
	size := 0
	for a := first; ; {
		fits := len(batch) == 0 || (a.kind == fence.Entries && batch[0].kind == fence.Entries &&
			a.epoch == batch[0].epoch && size+a.size <= maxBatchBytes)
		if !fits {
			return batch, a
		}
		if a.taken.CompareAndSwap(false, true) {
			batch = append(batch, a)
			size += a.size
		}
		select {
		case a = <-s.queue:
		default:
			return batch, nil
		}
	}
}

// send appends the batch as one record and sends the result to its callers.
func (s *Stream) send(ctx context.Context, batch []*pendingAppend) {
	s.sequence++
	confirmation := make(chan recordResult, 1)
	s.mu.Lock()
	s.unconfirmed[s.sequence] = confirmation
	s.mu.Unlock()
	result, err := s.appendUntilConfirmed(ctx, batch, confirmation)
	s.mu.Lock()
	delete(s.unconfirmed, s.sequence)
	s.mu.Unlock()
	if err == nil && result.compacted {
		err = &UnconfirmedError{Stream: s.name, Cause: errCompacted}
	}
	if err == nil && result.Decision != fence.Accepted {
		err = &FencedError{Stream: s.name, Epoch: batch[0].epoch}
	}
	for _, a := range batch {
		a.result <- appendResult{offset: result.offset, err: err}
	}
}

// appendUntilConfirmed appends the record repeatedly, with the same sequence
// number, until it is read back or the contexts of all its callers have ended. A
// stale record is appended again, because a new attempt has the current log time.
func (s *Stream) appendUntilConfirmed(ctx context.Context, batch []*pendingAppend, confirmation chan recordResult) (recordResult, error) {
	retryDelays := s.newBackoff()
	for {
		wait, err := s.appendOnce(ctx, batch)
		if err != nil {
			wait = retryDelays.NextBackOff()
		}
		timer := time.NewTimer(wait)
		select {
		case result := <-confirmation:
			timer.Stop()
			if result.Decision != fence.Stale || result.compacted {
				return result, nil
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return recordResult{}, &UnconfirmedError{Stream: s.name, Cause: ctx.Err()}
		}
		if abandoned(batch) {
			s.counters.abandoned.Inc()
			return recordResult{}, &UnconfirmedError{Stream: s.name, Cause: context.Canceled}
		}
	}
}

// appendOnce sends the record once. It returns how long to wait until the record
// is read back.
func (s *Stream) appendOnce(ctx context.Context, batch []*pendingAppend) (time.Duration, error) {
	record := fence.Record{
		Writer:   s.writer,
		Sequence: s.sequence,
		Epoch:    batch[0].epoch,
		Seen:     s.Status().LogTime,
		Kind:     batch[0].kind,
		Chunk:    batch[0].chunk,
	}
	for _, a := range batch {
		record.Bodies = append(record.Bodies, a.bodies...)
	}
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	s.counters.appends.Inc()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, s.name, data)
	if err != nil {
		s.countAppendError(err)
	}
	return appendTimeout, err
}

func (s *Stream) countAppendError(err error) {
	var limit *platform.LimitError
	if errors.As(err, &limit) {
		s.counters.limited.Inc()
		return
	}
	s.counters.appendErrors.Inc()
}

// abandoned reports whether the contexts of all callers have ended.
func abandoned(batch []*pendingAppend) bool {
	for _, a := range batch {
		if a.ctx.Err() == nil {
			return false
		}
	}
	return true
}
