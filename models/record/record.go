// Package record describes the store that entries follow and write: topics of
// records at offsets, of which the newest of each key stays.
package record

import (
	"fmt"
	"time"
)

// Record is one record of a topic with keys.
type Record struct {
	Key string
	// Value is nil for a record that drops its key.
	Value  []byte
	Offset int64
}

// Partition is one sequence of records of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Read says what to read.
type Read struct {
	Partition
	// From is the offset of the first record.
	From int64
	// Wait is how long the store may wait for a record.
	Wait time.Duration
}

// Batch is what a read returned.
type Batch struct {
	Records []Record
	// Next is the offset to go on from.
	Next int64
	// End is the offset after the newest record that the store has.
	End int64
	// Unreadable counts records whose frame could not be decoded.
	Unreadable int
}

// Snapshot is the newest record of each key, and where to follow from.
type Snapshot struct {
	Records []Record
	Next    int64
}

// Condition says under what condition a write is made.
type Condition interface{ isCondition() }

// ExpectedEnd makes a write only if the partition ends at the offset.
type ExpectedEnd int64

// ProducerSequence makes the writes of one producer in order, each once: a write that is
// made again has no effect, and one that comes after a later one neither. An
// epoch ends all lower ones.
type ProducerSequence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

func (ExpectedEnd) isCondition()      {}
func (ProducerSequence) isCondition() {}

// Write is a write of some records, all or none.
type Write struct {
	Partition
	Condition Condition
	Records   []Record
}

// ExpiredError says that records at an offset are no longer kept.
type ExpiredError struct {
	Partition
	From     int64
	Earliest int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of %s/%d from offset %d have expired, the first is %d", e.Topic, e.Number, e.From, e.Earliest)
}

// ConflictError says that a write was not made since the topic did not end at
// the expected offset.
type ConflictError struct {
	Partition
	At  int64
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%d ends at offset %d, not at %d", e.Topic, e.Number, e.End, e.At)
}

// SequenceError says that an ordered write was not made.
type SequenceError struct {
	// Fenced says that a higher epoch was seen.
	Fenced bool
	// Expected is the sequence that would follow.
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	if e.Fenced {
		return "a later process writes under this name"
	}
	return fmt.Sprintf("the write is out of order: sequence %d would follow", e.Expected)
}

// RefusedError says that the store did nothing.
type RefusedError struct {
	Call   string
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused %s with status %d: %s", e.Call, e.Status, e.Reason)
}
