// Package platform is the client of the platform's append-only log and of its
// list of instances.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	// Time is when the log took the record, by the log's clock.
	Time time.Time
	Data []byte
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Oldest is the oldest offset kept.
	Oldest int64
	// Next is the offset that the next append gets.
	Next int64
}

// Log is the platform's append-only log. Offsets of a stream start at 0 and
// have no holes.
type Log interface {
	// Append adds one record and returns its offset. After any error but a
	// *LimitError the record may have been added nevertheless.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns at most limit records from the offset on, waiting up to wait
	// for the first. It returns a *GapError when the offset is no longer kept.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// GapError says that records were gone before they were read.
type GapError struct {
	Stream string
	// From is the offset asked for.
	From int64
	// Oldest is the oldest offset kept.
	Oldest int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: records %d to %d are gone", e.Stream, e.From, e.Oldest-1)
}

// LimitError says that the log refused an append for its rate.
type LimitError struct {
	Stream string
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("stream %s: append limit reached", e.Stream)
}

// UnavailableError says that the log did not answer. An append may have taken
// effect.
type UnavailableError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stream %s: platform log unavailable: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}
