// Package platform is the client of the platform's append-only log and list of
// instances.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	// Time is when the log appended the record, by the log's clock.
	Time time.Time
	Data []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Oldest is the offset of the oldest retained record.
	Oldest int64
	// Next is the offset of the next record to be appended.
	Next int64
}

// Log is the platform's append-only log. The offsets of a stream are consecutive and
// start at 0.
type Log interface {
	// Append appends one record and returns its offset. If it returns an error other
	// than a *LimitError, the record may have been appended.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records, starting at the offset from. If there is none,
	// it waits up to wait for the first. It returns a *GapError if the record at the
	// offset has expired.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// GapError is returned if records expired before they were read.
type GapError struct {
	Stream string
	// From is the requested offset.
	From int64
	// Oldest is the offset of the oldest retained record.
	Oldest int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: records %d to %d are gone", e.Stream, e.From, e.Oldest-1)
}

// LimitError is returned if the log refused an append because of its rate limit.
type LimitError struct {
	Stream string
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("stream %s: append limit reached", e.Stream)
}

// UnavailableError is returned if a call failed. An append may have taken effect.
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
