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

// Read says what to read.
type Read struct {
	Topic string
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

// Newest is the newest record of each key, and where to follow from.
type Newest struct {
	Records []Record
	Next    int64
}

// ExpiredError says that records at an offset are no longer kept.
type ExpiredError struct {
	Topic    string
	From     int64
	Earliest int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of %s from offset %d have expired, the first is %d", e.Topic, e.From, e.Earliest)
}

// ConflictError says that a write was not made since the topic did not end at
// the expected offset.
type ConflictError struct {
	Topic string
	At    int64
	End   int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s ends at offset %d, not at %d", e.Topic, e.End, e.At)
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
