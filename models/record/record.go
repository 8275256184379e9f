// Package record defines the records of the platform's store and the operations on
// them. The store has compacted topics: each record has an offset in a partition, and
// the latest record of each key is retained.
package record

import (
	"fmt"
	"time"
)

// Record is a keyed record of a topic.
type Record struct {
	Key string
	// Value is nil for a tombstone, which removes its key.
	Value  []byte
	Offset int64
}

// Partition identifies an ordered sequence of records of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Read describes a read of a partition.
type Read struct {
	Partition
	// From is the offset of the first record to read.
	From int64
	// Wait is the maximum time that the store waits for a record if there is none.
	Wait time.Duration
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset from which to continue.
	Next int64
	// End is the offset after the last record in the store.
	End int64
	// Unreadable is the number of records that could not be decoded.
	Unreadable int
	// Era is the store's era.
	Era int64
}

// Position is how far a partition was read.
type Position struct {
	// Era is the store's era, or 0 if unknown.
	Era int64
	// Next is the offset that follows the last record that was read.
	Next int64
}

// Before reports whether the position is an earlier one than q. Offsets of different eras can't be compared, as the
// store gives them out again when it returns from a copy.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Next < q.Next
}

// KnownAt returns the latest time at which the state after the batch is known to have been the store's, for
// a read that was sent and returned at these times. That is when it was sent, or the end of its wait if the
// store held it that long for nothing. When the result was returned proves nothing else: the process may not
// have run since the store answered. It returns false if the store has more records.
func (r Read) KnownAt(b Batch, sentAt, returnedAt time.Duration) (time.Duration, bool) {
	switch {
	case b.Next < b.End:
		return 0, false
	case len(b.Records) > 0 || b.Unreadable > 0:
		return sentAt, true
	default:
		return sentAt + min(r.Wait.Truncate(time.Millisecond), returnedAt-sentAt), true
	}
}

// Snapshot holds the latest record of each key, and the offset from which to continue
// reading.
type Snapshot struct {
	Records []Record
	Next    int64
	// Era is the store's era. It rises when the store returns from an older copy: what was
	// written since is gone then, and offsets are given out again.
	Era int64
}

// Condition is a condition under which a write takes effect.
type Condition interface{ isCondition() }

// ExpectedEnd is the condition that the partition ends at this offset.
type ExpectedEnd int64

// ProducerSequence is the condition that a write is the next one of its producer, so
// that writes take effect in order and exactly once. A repeated write, or one that
// arrives after a later one, has no effect. A write with a higher epoch fences all lower
// epochs.
type ProducerSequence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

func (ExpectedEnd) isCondition()      {}
func (ProducerSequence) isCondition() {}

// Write is an atomic write of one or more records.
type Write struct {
	Partition
	Condition Condition
	Records   []Record
	// Era is the era in which the write was decided, or 0 if it is valid in any.
	Era int64
}

// EraError is returned if the store is in another era than expected. A write may have been
// executed in that era.
type EraError struct {
	Expected int64
	Era      int64
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("store is in era %d, not in era %d", e.Era, e.Expected)
}

// ExpiredError is returned if the record at an offset is no longer retained.
type ExpiredError struct {
	Partition
	From     int64
	Earliest int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of %s/%d from offset %d have expired, the earliest offset is %d", e.Topic, e.Number, e.From, e.Earliest)
}

// ConflictError is returned if a write did not take effect because the partition did not
// end at the expected offset.
type ConflictError struct {
	Partition
	At  int64
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%d ends at offset %d, not at %d", e.Topic, e.Number, e.End, e.At)
}

// SequenceError is returned if a write with a ProducerSequence did not take effect.
type SequenceError struct {
	// Fenced is whether the producer has written with a higher epoch.
	Fenced bool
	// Expected is the sequence number that the next write must have.
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	if e.Fenced {
		return "fenced: a later process writes as this producer"
	}
	return fmt.Sprintf("write out of order: expected sequence number %d", e.Expected)
}

// RefusedError is returned if the store refused a call, which then has had no effect.
type RefusedError struct {
	Call   string
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %s", e.Call, e.Status, e.Reason)
}
