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

// QueueFullError says that too many appends wait. Nothing was appended.
type QueueFullError struct {
	Stream string
}

// Error implements error.
func (e *QueueFullError) Error() string { return fmt.Sprintf("stream %s: append queue full", e.Stream) }

// UnsentError says that an append was given up before it was sent. It has no
// effect.
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

// UnconfirmedError says that an append was sent but not read back. It may take
// effect, even later.
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

// FencedError says that a record came too late: another writer had claimed the
// stream. It has no effect.
type FencedError struct {
	Stream string
	Epoch  uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("stream %s: epoch %d is over", e.Stream, e.Epoch)
}

// errSkipped is the cause when a checkpoint covers the record.
var errSkipped = errors.New("its record was compacted before it was read")

// verdict is what the tailer tells the writer of one of its records.
type verdict struct {
	fence.Decision
	offset  int64
	skipped bool
}

// item is one append that waits or is under way.
type item struct {
	ctx   context.Context
	kind  fence.Kind
	epoch uint64
	// bodies of entries, chunk of a checkpoint.
	bodies [][]byte
	chunk  *fence.Chunk
	size   int
	// taken is set by the writer when it sends the item, or by the caller when
	// it gives it up first.
	taken  atomic.Bool
	result chan outcome
}

type outcome struct {
	offset int64
	err    error
}

// Append appends bodies, valid in any epoch, as part of one record. It returns
// the record's offset once the record was read back and applied.
func (s *Stream) Append(ctx context.Context, bodies ...[]byte) (int64, error) {
	return s.AppendInEpoch(ctx, 0, bodies...)
}

// AppendInEpoch appends bodies that are valid only in the given epoch, which this
// process must have claimed. It returns a *FencedError if the epoch is over.
func (s *Stream) AppendInEpoch(ctx context.Context, epoch uint64, bodies ...[]byte) (int64, error) {
	it := &item{kind: fence.Entries, epoch: epoch, bodies: bodies}
	for _, b := range bodies {
		it.size += len(b)
	}
	return s.enqueue(ctx, it)
}

// Claim begins an epoch owned by this process. It names the epoch that follows
// the one whose owner it is to replace, and returns a *FencedError if another
// writer began that epoch first.
func (s *Stream) Claim(ctx context.Context, epoch uint64) error {
	_, err := s.enqueue(ctx, &item{kind: fence.Claim, epoch: epoch})
	return err
}

func (s *Stream) enqueue(ctx context.Context, it *item) (int64, error) {
	it.ctx = ctx
	it.result = make(chan outcome, 1)
	select {
	case s.queue <- it:
	default:
		s.counters.queueFull.Inc()
		return 0, &QueueFullError{Stream: s.name}
	}
	select {
	case o := <-it.result:
		return o.offset, o.err
	case <-ctx.Done():
	}
	if it.taken.CompareAndSwap(false, true) {
		return 0, &UnsentError{Stream: s.name, Cause: ctx.Err()}
	}
	select {
	case o := <-it.result:
		return o.offset, o.err
	default:
		return 0, &UnconfirmedError{Stream: s.name, Cause: ctx.Err()}
	}
}

// write appends what is queued, one record at a time, until the context ends.
func (s *Stream) write(ctx context.Context) {
	var next *item
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
		delay.Wait(ctx, time.Until(s.last.Add(s.interval)))
		if err := s.limiter.Wait(ctx); err != nil {
			return
		}
		var batch []*item
		batch, next = s.gather(next)
		if len(batch) > 0 {
			s.send(ctx, batch)
			s.last = time.Now()
		}
	}
}

// gather takes the items of the next record from the queue. It returns the item
// that it took but that did not fit.
func (s *Stream) gather(first *item) (batch []*item, left *item) {
	size := 0
	for it := first; ; {
		fits := len(batch) == 0 || (it.kind == fence.Entries && batch[0].kind == fence.Entries &&
			it.epoch == batch[0].epoch && size+it.size <= maxBatchBytes)
		if !fits {
			return batch, it
		}
		if it.taken.CompareAndSwap(false, true) {
			batch = append(batch, it)
			size += it.size
		}
		select {
		case it = <-s.queue:
		default:
			return batch, nil
		}
	}
}

// send appends one record and answers its items once it was read back.
func (s *Stream) send(ctx context.Context, batch []*item) {
	s.sequence++
	answer := make(chan verdict, 1)
	s.mu.Lock()
	s.waiting[s.sequence] = answer
	s.mu.Unlock()
	v, err := s.resolve(ctx, batch, answer)
	s.mu.Lock()
	delete(s.waiting, s.sequence)
	s.mu.Unlock()
	if err == nil && v.skipped {
		err = &UnconfirmedError{Stream: s.name, Cause: errSkipped}
	}
	if err == nil && v.Decision != fence.Accepted {
		err = &FencedError{Stream: s.name, Epoch: batch[0].epoch}
	}
	for _, it := range batch {
		it.result <- outcome{offset: v.offset, err: err}
	}
}

// resolve appends the record, with the same sequence number again and again,
// until it was read back or nobody waits for it any more.
func (s *Stream) resolve(ctx context.Context, batch []*item, answer chan verdict) (verdict, error) {
	pause := s.newBackoff()
	for {
		wait, err := s.attempt(ctx, batch)
		if err != nil {
			wait = pause.NextBackOff()
		}
		timer := time.NewTimer(wait)
		select {
		case v := <-answer:
			timer.Stop()
			if v.Decision != fence.Stale || v.skipped {
				return v, nil
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return verdict{}, &UnconfirmedError{Stream: s.name, Cause: ctx.Err()}
		}
		if abandoned(batch) {
			s.counters.abandoned.Inc()
			return verdict{}, &UnconfirmedError{Stream: s.name, Cause: context.Canceled}
		}
	}
}

// attempt appends the record once. It returns how long to wait for the record
// to be read back.
func (s *Stream) attempt(ctx context.Context, batch []*item) (time.Duration, error) {
	record := fence.Record{
		Writer:   s.incarnation,
		Sequence: s.sequence,
		Epoch:    batch[0].epoch,
		Seen:     s.Status().LogTime,
		Kind:     batch[0].kind,
		Chunk:    batch[0].chunk,
	}
	for _, it := range batch {
		record.Bodies = append(record.Bodies, it.bodies...)
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

func abandoned(batch []*item) bool {
	for _, it := range batch {
		if it.ctx.Err() == nil {
			return false
		}
	}
	return true
}
