package fence

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// DefaultDedupWindow is how long, by the log's clock, a reader remembers a
// silent writer.
const DefaultDedupWindow = time.Hour

// Decision says whether a record counts.
type Decision int

// The verdicts.
const (
	Accepted  Decision = iota // accepted
	Duplicate                 // duplicate
	Fenced                    // fenced
	Stale                     // stale
	Malformed                 // malformed
)

// Result is what became of one record.
type Result struct {
	Decision Decision
	Record   Record
}

// GapError says that a reader was given a record that does not follow the last.
type GapError struct {
	// Want is the offset that follows the last record applied.
	Want int64
	// Got is the offset of the record given.
	Got int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d given, want %d", e.Got, e.Want)
}

type writer struct {
	// Sequence is the highest applied.
	Sequence uint64 `json:"sequence"`
	// Seen is the log time of the writer's last record.
	Seen time.Time `json:"seen"`
	// Chunks counts the chunks accepted of the checkpoint at ChunkNext.
	Chunks    int   `json:"chunks,omitempty"`
	ChunkNext int64 `json:"chunkNext,omitempty"`
}

// Reader folds a stream. It is not safe for concurrent use.
type Reader struct {
	window  time.Duration
	state   readerState
	expires []expiry
	// head is the index of the first expiry not yet handled.
	head int
}

type expiry struct {
	name string
	at   time.Time
}

type readerState struct {
	Next    int64             `json:"next"`
	Now     time.Time         `json:"now"`
	Epoch   uint64            `json:"epoch"`
	Owner   string            `json:"owner"`
	Writers map[string]writer `json:"writers"`
	// Checkpoint is the Next of the newest whole checkpoint met in the stream.
	Checkpoint int64 `json:"checkpoint"`
}

// Option configures a Reader.
type Option func(*Reader)

// WithDedupWindow sets how long, by the log's clock, a silent writer is
// remembered. All readers of a stream must use the same window.
func WithDedupWindow(d time.Duration) Option {
	return func(r *Reader) { r.window = d }
}

// New returns a reader that stands before offset 0 of an empty stream.
func New(opts ...Option) *Reader {
	r := &Reader{window: DefaultDedupWindow}
	r.state.Writers = map[string]writer{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Next returns the offset of the next record to apply.
func (r *Reader) Next() int64 { return r.state.Next }

// Now returns the log time of the last record applied.
func (r *Reader) Now() time.Time { return r.state.Now }

// Epoch returns the current epoch. 0 means that there was no claim yet.
func (r *Reader) Epoch() uint64 { return r.state.Epoch }

// Owner returns the writer of the claim that began the current epoch.
func (r *Reader) Owner() string { return r.state.Owner }

// Checkpoint returns the offset from which a reader that starts from the newest
// checkpoint goes on. 0 means that there was no checkpoint yet.
func (r *Reader) Checkpoint() int64 { return r.state.Checkpoint }

// Writers returns the number of writers remembered.
func (r *Reader) Writers() int { return len(r.state.Writers) }

// Sequence returns the highest sequence number met of a writer. 0 means that
// the writer is not known or was forgotten.
func (r *Reader) Sequence(writer string) uint64 { return r.state.Writers[writer].Sequence }

// Apply applies the record at offset, which the log took at the time at. Only
// the bodies of an accepted record may take effect. A malformed record is
// passed over by every reader alike.
func (r *Reader) Apply(offset int64, at time.Time, data []byte) (Result, error) {
	if offset != r.state.Next {
		return Result{}, &GapError{Want: r.state.Next, Got: offset}
	}
	r.state.Next++
	first := r.state.Now.IsZero()
	if at.After(r.state.Now) {
		r.state.Now = at.UTC()
	}
	r.forget()
	return r.result(data, first), nil
}

func (r *Reader) result(data []byte, first bool) Result {
	record, err := Decode(data)
	if err != nil {
		return Result{Decision: Malformed}
	}
	return Result{Decision: r.decide(&record, first), Record: record}
}

func (r *Reader) decide(record *Record, first bool) Decision {
	if !first && r.state.Now.Sub(record.Seen) > r.window {
		return Stale
	}
	if record.Sequence <= r.state.Writers[record.Writer].Sequence {
		return Duplicate
	}
	w := r.state.Writers[record.Writer]
	w.Sequence, w.Seen = record.Sequence, r.state.Now
	r.state.Writers[record.Writer] = w
	r.expires = append(r.expires, expiry{name: record.Writer, at: r.state.Now})
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

// addChunk notes the newest checkpoint of which all chunks were accepted.
func (r *Reader) addChunk(name string, c *Chunk) {
	w := r.state.Writers[name]
	switch {
	case c.Index == 0:
		w.Chunks, w.ChunkNext = 1, c.Next
	case c.Next == w.ChunkNext && c.Index == w.Chunks:
		w.Chunks++
	}
	if c.Next == w.ChunkNext && w.Chunks == c.Count && c.Index == c.Count-1 {
		r.state.Checkpoint = max(r.state.Checkpoint, c.Next)
	}
	r.state.Writers[name] = w
}

// forget drops writers that were silent for longer than the window. A late
// duplicate of a record of theirs is stale by then, because its Seen is no
// newer than the first copy.
func (r *Reader) forget() {
	for r.head < len(r.expires) && r.state.Now.Sub(r.expires[r.head].at) > r.window {
		e := r.expires[r.head]
		if w, ok := r.state.Writers[e.name]; ok && w.Seen.Equal(e.at) {
			delete(r.state.Writers, e.name)
		}
		r.head++
	}
	if r.head > len(r.expires)/2 {
		r.expires = append([]expiry(nil), r.expires[r.head:]...)
		r.head = 0
	}
}

// Snapshot returns the reader's state, to be kept in a checkpoint beside the
// state that was folded from the accepted records.
func (r *Reader) Snapshot() ([]byte, error) {
	data, err := encoding.Marshal(r.state)
	return data, errors.Wrap(err, "encode reader")
}

// Restore sets the reader to the state of a Snapshot.
func (r *Reader) Restore(data []byte) error {
	var state readerState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode reader")
	}
	if state.Writers == nil {
		state.Writers = map[string]writer{}
	}
	r.state = state
	r.head = 0
	r.expires = r.expires[:0]
	for name, w := range state.Writers {
		r.expires = append(r.expires, expiry{name: name, at: w.Seen})
	}
	sortExpiries(r.expires)
	return nil
}
