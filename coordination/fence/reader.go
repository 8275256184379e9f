package fence

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// DefaultDedupWindow is the default of WithDedupWindow.
const DefaultDedupWindow = time.Hour

// Decision is a reader's decision about a record. Only accepted records take effect.
type Decision int

// Values of Decision. The sequence number of a Duplicate is not above the writer's
// highest, a Fenced record belongs to an epoch that is not current, a Stale record was
// created too long before its log time to detect duplicates, and a Malformed record
// cannot be decoded or is not valid.
const (
	Accepted  Decision = iota // accepted
	Duplicate                 // duplicate
	Fenced                    // fenced
	Stale                     // stale
	Malformed                 // malformed
)

// Result is the decision about one record. The record is empty if it is malformed.
type Result struct {
	Decision Decision
	Record   Record
}

// GapError reports that a record was applied out of order.
type GapError struct {
	// Want is the offset after the last applied record.
	Want int64
	// Got is the offset of the rejected record.
	Got int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record at offset %d is out of order, want offset %d", e.Got, e.Want)
}

// writerState is the state that a reader keeps for one writer.
type writerState struct {
	// Sequence is the writer's highest sequence number.
	Sequence uint64 `json:"sequence"`
	// Seen is the log time of the writer's last record.
	Seen time.Time `json:"seen"`
	// Chunks is the number of accepted chunks of the checkpoint at ChunkNext.
	Chunks    int   `json:"chunks,omitempty"`
	ChunkNext int64 `json:"chunkNext,omitempty"`
}

// Reader decides which records of a stream take effect. It is not safe for
// concurrent use.
type Reader struct {
	dedupWindow time.Duration
	state       readerState
	// activity lists the writers' records in the order of their log times.
	activity []writerActivity
	// oldest is the index of the oldest activity that has not expired.
	oldest int
}

// writerActivity is the log time of one record of a writer.
type writerActivity struct {
	writer string
	at     time.Time
}

// readerState is the part of a Reader that is stored in checkpoints.
type readerState struct {
	Next    int64                  `json:"next"`
	Now     time.Time              `json:"now"`
	Epoch   uint64                 `json:"epoch"`
	Owner   string                 `json:"owner"`
	Writers map[string]writerState `json:"writers"`
	// Checkpoint is the Next of the newest complete checkpoint in the stream.
	Checkpoint int64 `json:"checkpoint"`
}

// Option configures a Reader.
type Option func(*Reader)

// WithDedupWindow sets the log time after which the state of an inactive writer is
// discarded. A record whose Seen is older than the window is stale. All readers of a
// stream must use the same window.
func WithDedupWindow(d time.Duration) Option {
	return func(r *Reader) { r.dedupWindow = d }
}

// New returns a reader that starts at offset 0 with an empty state.
func New(opts ...Option) *Reader {
	r := &Reader{dedupWindow: DefaultDedupWindow}
	r.state.Writers = map[string]writerState{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Next returns the offset of the next record to apply.
func (r *Reader) Next() int64 { return r.state.Next }

// Now returns the log time of the last record applied.
func (r *Reader) Now() time.Time { return r.state.Now }

// Epoch returns the current epoch. It is 0 before the first claim.
func (r *Reader) Epoch() uint64 { return r.state.Epoch }

// Owner returns the writer of the claim that started the current epoch.
func (r *Reader) Owner() string { return r.state.Owner }

// Checkpoint returns the offset of the first record to apply after the newest
// checkpoint has been restored. It is 0 before the first checkpoint.
func (r *Reader) Checkpoint() int64 { return r.state.Checkpoint }

// Writers returns the number of writers whose state is kept.
func (r *Reader) Writers() int { return len(r.state.Writers) }

// Sequence returns the highest sequence number of a writer. It is 0 if the writer is
// unknown or its state was discarded.
func (r *Reader) Sequence(writer string) uint64 { return r.state.Writers[writer].Sequence }

// Apply applies the record at an offset. The time at is the record's log time. Only
// the bodies of an accepted record may take effect. A malformed record is not an
// error: every reader skips it.
func (r *Reader) Apply(offset int64, at time.Time, data []byte) (Result, error) {
	if offset != r.state.Next {
		return Result{}, &GapError{Want: r.state.Next, Got: offset}
	}
	r.state.Next++
	first := r.state.Now.IsZero()
	if at.After(r.state.Now) {
		r.state.Now = at.UTC()
	}
	r.expireWriters()
	return r.evaluate(data, first), nil
}

func (r *Reader) evaluate(data []byte, first bool) Result {
	record, err := Decode(data)
	if err != nil {
		return Result{Decision: Malformed}
	}
	return Result{Decision: r.decide(&record, first), Record: record}
}

func (r *Reader) decide(record *Record, first bool) Decision {
	if !first && r.state.Now.Sub(record.Seen) > r.dedupWindow {
		return Stale
	}
	if record.Sequence <= r.state.Writers[record.Writer].Sequence {
		return Duplicate
	}
	w := r.state.Writers[record.Writer]
	w.Sequence, w.Seen = record.Sequence, r.state.Now
	r.state.Writers[record.Writer] = w
	r.activity = append(r.activity, writerActivity{writer: record.Writer, at: r.state.Now})
	switch record.Kind {
	case Claim:
		if record.Epoch != r.state.Epoch+1 {
			return Fenced
		}
		r.state.Epoch = record.Epoch
		r.state.Owner = record.Writer
	default:
		if record.Epoch != 0 && (record.Epoch != r.state.Epoch || record.Writer != r.state.Owner) {
			return Fenced
		}
		if record.Kind == Checkpoint {
			r.addChunk(record.Writer, record.Chunk)
		}
	}
	return Accepted
}

// addChunk counts an accepted chunk and updates the newest complete checkpoint.
func (r *Reader) addChunk(writer string, c *Chunk) {
	w := r.state.Writers[writer]
	switch {
	case c.Index == 0:
		w.Chunks, w.ChunkNext = 1, c.Next
	case c.Next == w.ChunkNext && c.Index == w.Chunks:
		w.Chunks++
	}
	if c.Next == w.ChunkNext && w.Chunks == c.Count && c.Index == c.Count-1 {
		r.state.Checkpoint = max(r.state.Checkpoint, c.Next)
	}
	r.state.Writers[writer] = w
}

// expireWriters discards the state of writers that were inactive for longer than the
// window. A later duplicate of one of their records is stale, because its Seen is not
// after the log time of the first copy.
func (r *Reader) expireWriters() {
	for r.oldest < len(r.activity) && r.state.Now.Sub(r.activity[r.oldest].at) > r.dedupWindow {
		a := r.activity[r.oldest]
		if w, ok := r.state.Writers[a.writer]; ok && w.Seen.Equal(a.at) {
			delete(r.state.Writers, a.writer)
		}
		r.oldest++
	}
	if r.oldest > len(r.activity)/2 {
		r.activity = append([]writerActivity(nil), r.activity[r.oldest:]...)
		r.oldest = 0
	}
}

// Snapshot encodes the reader's state for a checkpoint. A checkpoint also contains the
// application's state.
func (r *Reader) Snapshot() ([]byte, error) {
	data, err := encoding.Marshal(r.state)
	return data, errors.Wrap(err, "encode reader state")
}

// Restore sets the reader to the state of a Snapshot.
func (r *Reader) Restore(data []byte) error {
	var state readerState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode reader state")
	}
	if state.Writers == nil {
		state.Writers = map[string]writerState{}
	}
	r.state = state
	r.oldest = 0
	r.activity = r.activity[:0]
	for writer, w := range state.Writers {
		r.activity = append(r.activity, writerActivity{writer: writer, at: w.Seen})
	}
	sortActivity(r.activity)
	return nil
}
